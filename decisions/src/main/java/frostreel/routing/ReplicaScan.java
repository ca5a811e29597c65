package frostreel.routing;

/**
 * The result of one pass over a group's replicas for one read. A selector reuses one object for all passes, so that
 * none is allocated.
 */
final class ReplicaScan {
    /** A replica replaces the best so far only if it is cheaper by this factor: closer ones take turns. */
    private static final double REPLACEMENT_COST_RATIO = 1.25;
    /** Any replica is cheaper than none. */
    private static final double NO_CANDIDATE_COST = Double.MAX_VALUE;

    /** The position that the read requires. */
    long requiredPositionUs;
    /** The only replica that the read may be sent to, null if it may be sent to any. */
    MemberState requiredReplica;
    /** The part of a replica's concurrency window that the read may use. */
    double windowShare;
    /** A replica might serve the read later. */
    boolean mayServeLater;
    /** The locality policy permits no more reads to a replica that could serve this one. */
    boolean deniedByPolicy;

    private MemberState best;
    private double bestCost;
    private MemberState unproven;
    private double unprovenCost;

    /** Begins a pass. */
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

    /** A replica can serve the read now. */
    void offer(MemberState replica, double cost) {
        if (cost * REPLACEMENT_COST_RATIO < bestCost) {
            bestCost = cost;
            best = replica;
        }
    }

    /** A health check might prove that a replica is fresh enough to serve the read. */
    void offerUnproven(MemberState replica, double cost) {
        if (cost * REPLACEMENT_COST_RATIO < unprovenCost) {
            unprovenCost = cost;
            unproven = replica;
        }
    }

    /** The cheapest replica that can serve the read now, null for none. */
    MemberState best() {
        return best;
    }

    /** The cheapest replica that a health check might prove to be fresh enough, null for none. */
    MemberState unproven() {
        return unproven;
    }

    /** Whether only the locality policy keeps the read from being served, now and later. */
    boolean isDeniedByPolicyOnly() {
        return deniedByPolicy && !mayServeLater && unproven == null;
    }
}
