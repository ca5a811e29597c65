package frostreel.lab.model;

import frostreel.routing.Router.Role;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * A server's copy of its group's log: its role, and how far it has applied the commits. Positions are times in
 * Unix microseconds and never decrease.
 */
final class ReplicaLog {
    private static final long NONE = -1;

    private final Scheduler scheduler;
    private final ServerParameters parameters;
    /** The commits that this server acknowledged; kept only where they may be lost with it. */
    private final TreeSet<Long> commits = new TreeSet<>();

    private boolean primary;
    private long primarySinceUs;
    /** Whether this server receives the primary's log. */
    private boolean connected = true;

    private double replayRate;
    private long appliedUs;
    private long updatedAtUs;
    /** The end of the log inherited from a lost primary, until the first commit after it; otherwise NONE. */
    private long inheritedEndUs = NONE;

    ReplicaLog(Scheduler scheduler, ServerParameters parameters) {
        this.scheduler = scheduler;
        this.parameters = parameters;
        replayRate = parameters.replayRate();
        appliedUs = scheduler.now() - parameters.logDelayUs();
        updatedAtUs = scheduler.now();
    }

    boolean primary() {
        return primary;
    }

    Role role() {
        return primary ? Role.PRIMARY : Role.REPLICA;
    }

    /** When this server last became primary, 0 for never. */
    long primarySinceUs() {
        return primarySinceUs;
    }

    /** The time up to which every commit that still exists is applied. */
    long appliedUs() {
        long nowUs = scheduler.now();
        if (primary) {
            appliedUs = nowUs;
        } else if (connected) {
            long replayedUs = appliedUs + (long) (replayRate * (nowUs - updatedAtUs));
            appliedUs = Math.max(appliedUs, Math.min(nowUs - parameters.logDelayUs(), replayedUs));
        }
        updatedAtUs = nowUs;
        return appliedUs;
    }

    /** The position to report: a new primary knows of nothing beyond the end of the log that it inherited. */
    long reportedUs() {
        return inheritedEndUs == NONE ? appliedUs() : inheritedEndUs;
    }

    /** Sets how many seconds of the log are applied per second from now on. */
    void replayRate(double rate) {
        appliedUs();
        replayRate = rate;
    }

    /** Sets whether this server receives the primary's log from now on. */
    void connected(boolean isConnected) {
        appliedUs();
        connected = isConnected;
    }

    /** Sets the role, by a handover that loses nothing. */
    void promote(boolean isPrimary) {
        appliedUs();
        primary = isPrimary;
        inheritedEndUs = NONE;
        primarySinceUs = isPrimary ? scheduler.now() : primarySinceUs;
    }

    /** Takes over from a lost primary, with only those commits that this server has applied. */
    void succeedLostPrimary() {
        long endUs = appliedUs();
        promote(true);
        inheritedEndUs = parameters.commitsWait() ? NONE : endUs;
    }

    /** The process ends: the server is no longer primary, and its log stops at its present position. */
    void stop() {
        appliedUs();
        primary = false;
        inheritedEndUs = NONE;
    }

    /** Records that a write was acknowledged now. */
    void commit() {
        inheritedEndUs = NONE;
        if (!parameters.commitsWait()) {
            commits.add(appliedUs());
        }
    }

    /** Drops the commits after a position, which the log continues without, and returns them. */
    List<Long> dropAfter(long positionUs) {
        NavigableSet<Long> later = commits.tailSet(positionUs, false);
        List<Long> dropped = List.copyOf(later);
        later.clear();
        return dropped;
    }
}
