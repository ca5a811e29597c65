package frostreel.zones;

import java.util.ArrayList;
import java.util.List;

/**
 * Detects that a whole zone has failed, from the failures of all groups' replicas in it: where each group has few
 * reads, their sum shows it sooner.
 */
final class ZoneFailureDetector {
    /** After a success failures are not counted for this time: their requests may be older than it. */
    static final long SUCCESS_GRACE_US = 200_000;
    /** Before the first success; half of the range, so that the time since then does not overflow. */
    static final long NEVER_US = Long.MIN_VALUE / 2;

    /** Consecutive failures, in the replicas of two groups or more, that mean the whole zone. */
    private static final int FAILURES_TO_MARK_ZONE_DOWN = 4;

    final int zone;
    private final List<ZoneReplicas> replicaSets = new ArrayList<>();
    private int failures;
    /** The replicas that failed first since the last success, null for none. */
    private ZoneReplicas firstFailed;
    /** Whether other replicas have failed, too. */
    private boolean severalGroupsFailed;

    private long lastSuccessUs = NEVER_US;

    ZoneFailureDetector(int zone) {
        this.zone = zone;
    }

    void add(ZoneReplicas replicas) {
        replicaSets.add(replicas);
    }

    /** The replicas of all groups in this zone. */
    List<ZoneReplicas> replicaSets() {
        return replicaSets;
    }

    void recordSuccess(long nowUs) {
        failures = 0;
        severalGroupsFailed = false;
        firstFailed = null;
        lastSuccessUs = nowUs;
    }

    void recordFailure(long nowUs, ZoneReplicas replicas) {
        if (nowUs - lastSuccessUs <= SUCCESS_GRACE_US) {
            return;
        }
        failures++;
        if (firstFailed == null) {
            firstFailed = replicas;
        }
        severalGroupsFailed |= firstFailed != replicas;
    }

    boolean hasFailed() {
        return severalGroupsFailed && failures >= FAILURES_TO_MARK_ZONE_DOWN;
    }
}
