package frostreel.routing;

/**
 * Result of one pass over the replicas of a group for one read. A selector reuses one object for all passes to avoid
 * allocations.
 */
final class ReplicaScan {
    /**
     * A replica replaces the best one so far only if it is cheaper by this factor, so that replicas of similar cost
     * take turns.
     */
    private static final double REPLACEMENT_COST_RATIO = 1.25;
    /** Cost while there is no candidate; above the cost of any replica. */
    private static final double NO_CANDIDATE_COST = Double.MAX_VALUE;

    /** Position that the read requires. */
    long requiredPositionUs;
    /** Only replica that the read may be sent to, null if it may be sent to any. */
    MemberState requiredReplica;
    /** Share of a replica's concurrency window that the read may use. */
    double windowShare;
    /** Whether a replica that cannot serve the read now might serve it later. */
    boolean mayServeLater;
    /** Whether the locality policy denied the read to a replica that could otherwise serve it. */
    boolean deniedByPolicy;

    private MemberState best;
    private double bestCost;
    private MemberState unproven;
    private double unprovenCost;

    /** Starts a pass. */
    void reset(long newRequiredPositionUs, MemberState newRequiredReplica, double newWindowShare) {
        requiredPositionUs = newRequiredPositionUs;
        requiredReplica = newRequiredReplica;
        windowShare = newWindowShare;
        mayServeLater = false;
        deniedByPolicy = false;
        best = null;
        bestCost = NO_CANDIDATE_COST;
        unproven = null;
        unprovenCost = NO_CANDIDATE_COST;
    }

    /** Records a replica that can serve the read now. */
    void offer(MemberState replica, double cost) {
        if (cost * REPLACEMENT_COST_RATIO < bestCost) {
            bestCost = cost;
            best = replica;
        }
    }

    /** Records a replica that a health check might prove to be fresh enough. */
    void offerUnproven(MemberState replica, double cost) {
        if (cost * REPLACEMENT_COST_RATIO < unprovenCost) {
            unprovenCost = cost;
            unproven = replica;
        }
    }

    /** Returns the replica with the lowest cost that can serve the read now, null for none. */
    MemberState best() {
        return best;
    }

    /** Returns the replica with the lowest cost that a health check might prove to be fresh enough, null for none. */
    MemberState unproven() {
        return unproven;
    }

    /** Whether only the locality policy prevents the read from being served, and waiting would not change that. */
    boolean isDeniedByPolicyOnly() {
        return deniedByPolicy && !mayServeLater && unproven == null;
    }
}
