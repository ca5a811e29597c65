package frostreel.lab.model;

import frostreel.routing.Router.Role;
import java.util.List;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * A server's copy of its group's log: whether it leads, and up to when it has applied the commits. Positions
 * are times in microseconds; none ever goes back.
 */
final class ReplicaLog {
    private static final long NONE = -1;

    private final Scheduler scheduler;
    private final ServerParameters parameters;
    /** The commits that it answered, where they may be lost with it. */
    private final TreeSet<Long> commits = new TreeSet<>();

    private boolean primary;
    private long primarySinceUs;
    /** Whether the primary's log reaches it. */
    private boolean connected = true;

    private double replayRate;
    private long appliedUs;
    private long updatedAtUs;
    /** Where its log ended when it took over from a lost primary, until it commits something; or NONE. */
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

    /** When it last became primary, 0 for never. */
    long primarySinceUs() {
        return primarySinceUs;
    }

    /** A time up to which it has applied every commit that there still is. */
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

    /** What it reports: a primary that inherited its log knows of nothing beyond that log's end. */
    long reportedUs() {
        return inheritedEndUs == NONE ? appliedUs() : inheritedEndUs;
    }

    /** Seconds of the log that it applies in a second from now on. */
    void replayRate(double rate) {
        appliedUs();
        replayRate = rate;
    }

    void connected(boolean isConnected) {
        appliedUs();
        connected = isConnected;
    }

    void promote(boolean isPrimary) {
        appliedUs();
        primary = isPrimary;
        inheritedEndUs = NONE;
        primarySinceUs = isPrimary ? scheduler.now() : primarySinceUs;
    }

    /** It takes over from a lost primary, and has no more than it has applied. */
    void succeedLostPrimary() {
        long endUs = appliedUs();
        promote(true);
        inheritedEndUs = parameters.commitsWait() ? NONE : endUs;
    }

    /** Its process ends: it leads no more, and its log stands where it is. */
    void stop() {
        appliedUs();
        primary = false;
        inheritedEndUs = NONE;
    }

    /** It answered a write. */
    void commit() {
        inheritedEndUs = NONE;
        if (!parameters.commitsWait()) {
            commits.add(appliedUs());
        }
    }

    /** Forgets the commits after a position, and returns them: the log goes on without them. */
    List<Long> dropAfter(long positionUs) {
        NavigableSet<Long> later = commits.tailSet(positionUs, false);
        List<Long> dropped = List.copyOf(later);
        later.clear();
        return dropped;
    }
}
