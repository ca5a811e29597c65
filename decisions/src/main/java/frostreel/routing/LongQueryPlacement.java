package frostreel.routing;

import frostreel.routing.Router.Access;

/**
 * Concentrates the long-running reads of a group on one replica. A replica may stop applying the log while it executes
 * such a read; spread over all replicas, these reads would leave none that is fresh enough for other reads.
 */
final class LongQueryPlacement {
    /** Share of its latency objective for which a long-running read waits for that replica. */
    private static final double MAX_WAIT_SHARE = 0.25;
    /** Lag, in microseconds, by which another replica must exceed the chosen one to replace it. */
    private static final long SWITCH_MARGIN_US = 1_000_000;
    /** Mean latency of a class, in microseconds, from which its preference for lagging replicas has full strength. */
    private static final long FULL_PREFERENCE_LATENCY_US = 500_000;
    /** Lag, in microseconds, that adds 1 to a preference of full strength. */
    private static final long PREFERENCE_LAG_UNIT_US = 500_000;
    /** Lag, in microseconds, above which the preference for a replica does not increase further. */
    private static final long MAX_PREFERRED_LAG_US = 2_000_000;

    /** Lag while there is no candidate; below the lag of any replica. */
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

    /** Returns the only replica that a read may be sent to now, null if it may be sent to any. */
    MemberState requiredReplica(long nowUs, PendingRequest request) {
        boolean mayWait = nowUs - request.arrivedUs < MAX_WAIT_SHARE * request.requestClass.latencyObjectiveUs();
        return mayWait && latencies.isLongRunning(request) ? chooseReplica(nowUs, request) : null;
    }

    /**
     * Chooses the replica with the greatest lag, so that routers agree on one; a higher locality cost makes its lag
     * count for less. Keeps the choice until another replica exceeds it by {@link #SWITCH_MARGIN_US} or it can no
     * longer serve.
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
     * Returns how strongly a read prefers a replica, 1 for no preference. Reads that any member may serve prefer
     * replicas with excess lag, which can serve few other reads; the longer the reads run, the stronger the preference.
     */
    double preference(PendingRequest request, MemberState member) {
        if (request.requestClass.access() != Access.ANY) {
            return 1;
        }
        double strength = Math.min(1, latencies.meanUs(request.classIndex()) / FULL_PREFERENCE_LATENCY_US);
        return 1 + strength * Math.min(freshness.excessLagUs(member), MAX_PREFERRED_LAG_US) / PREFERENCE_LAG_UNIT_US;
    }
}
