package frostreel.routing;

import frostreel.routing.Router.Access;

/**
 * Keeps the long-running reads of a group together on one replica. A replica that executes any may stop
 * applying the log meanwhile; spread over all replicas they would leave none that is fresh enough for other
 * reads.
 */
final class LongQueryPlacement {
    /** A long-running read waits for the group's one replica for this part of its objective. */
    private static final double MAX_WAIT_SHARE = 0.25;
    /** Another replica must be this much further behind, in microseconds, to take the place of the present one. */
    private static final long SWITCH_MARGIN_US = 1_000_000;
    /** Expected latency, in microseconds, from which a read prefers replicas that are behind in full. */
    private static final long FULL_PREFERENCE_LATENCY_US = 500_000;
    /** Lag, in microseconds, that adds 1 to a preference of full strength. */
    private static final long PREFERENCE_LAG_UNIT_US = 500_000;
    /** Lag, in microseconds, beyond which a replica isn't preferred any more strongly. */
    private static final long MAX_PREFERRED_LAG_US = 2_000_000;

    /** Any replica is further behind than none. */
    private static final double NO_CANDIDATE_LAG_US = -1;

    private final LocalityPolicy localityPolicy;
    private final ClassLatencies latencies;
    private final Freshness freshness;
    private final ActiveSettings settings;

    LongQueryPlacement(
            ActiveSettings settings, LocalityPolicy localityPolicy, ClassLatencies latencies, Freshness freshness) {
        this.settings = settings;
        this.localityPolicy = localityPolicy;
        this.latencies = latencies;
        this.freshness = freshness;
    }

    /** The one replica that a read may go to now, null if it may go to any. */
    MemberState requiredReplica(long nowUs, PendingRequest request) {
        boolean mayWait = nowUs - request.arrivedUs < MAX_WAIT_SHARE * request.requestClass.latencyObjectiveUs();
        return mayWait && latencies.isLongRunning(request) ? chooseReplica(nowUs, request) : null;
    }

    /**
     * Chooses the replica that is furthest behind, as all routers agree on that one, and keeps to it until
     * another is well behind it or it can't serve.
     */
    private MemberState chooseReplica(long nowUs, PendingRequest request) {
        GroupState group = request.group;
        MemberState best = null;
        double maxLagUs = NO_CANDIDATE_LAG_US;
        for (MemberState member : group.chain) {
            double costFactor = localityPolicy.costFactor(nowUs, member.localityHandle);
            if (isCandidate(nowUs, request, member) && costFactor != LocalityPolicy.EXCLUDED) {
                double weightedLagUs = lagWithMarginUs(nowUs, group, member) / costFactor;
                if (weightedLagUs > maxLagUs) {
                    maxLagUs = weightedLagUs;
                    best = member;
                }
            }
        }
        if (best != null) {
            group.longQueryReplica = best;
        }
        return best;
    }

    private boolean isCandidate(long nowUs, PendingRequest request, MemberState member) {
        return member != request.group.primary
                && member.isUsable(settings.rules())
                && member.verified
                && !request.triedMembers.contains(member)
                && !member.window.isPaused(nowUs)
                && !member.outliers.isSilent(nowUs, member.inFlight);
    }

    private static long lagWithMarginUs(long nowUs, GroupState group, MemberState member) {
        if (member.appliedUpToUs == Router.NO_POSITION) {
            return 0;
        }
        long lagUs = nowUs - member.appliedUpToUs;
        return member == group.longQueryReplica ? lagUs + SWITCH_MARGIN_US : lagUs;
    }

    /**
     * How strongly a read prefers a replica, 1 for not at all. Reads that any member may answer prefer those
     * that are behind and can serve little else, the more so the longer they run.
     */
    double preference(PendingRequest request, MemberState member) {
        if (request.requestClass.access() != Access.ANY) {
            return 1;
        }
        double strength = Math.min(1, latencies.meanUs(request.classIndex()) / FULL_PREFERENCE_LATENCY_US);
        return 1 + strength * Math.min(freshness.excessLagUs(member), MAX_PREFERRED_LAG_US) / PREFERENCE_LAG_UNIT_US;
    }
}
