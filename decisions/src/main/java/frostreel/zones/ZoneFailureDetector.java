package frostreel.zones;

import java.util.ArrayList;
import java.util.List;

/**
 * Detects that a whole zone has failed from the failures of the replicas of all groups in it. If each group gets few
 * reads, their sum shows an outage sooner.
 */
final class ZoneFailureDetector {
    /** How long after a success failures are ignored, because their requests may have been sent before it. */
    static final long SUCCESS_GRACE_US = 200_000;
    /** Time of the last success if there was none; half of the range, so that the time since then does not overflow. */
    static final long NEVER_US = Long.MIN_VALUE / 2;

    /** Consecutive failures, in replicas of at least two groups, after which the zone counts as failed. */
    private static final int FAILURES_TO_MARK_ZONE_DOWN = 4;

    final int zone;
    private final List<ZoneReplicas> replicaSets = new ArrayList<>();
    private int failures;
    /** The replicas with the first failure since the last success; null if there was no failure. */
    private ZoneReplicas firstFailed;
    /** Whether replicas of another group than {@link #firstFailed} have also failed. */
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
