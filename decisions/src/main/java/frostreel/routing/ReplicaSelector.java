package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.StalenessCheck;

/**
 * Chooses the member for a read: the replica with the lowest cost that is fresh enough and has capacity. If none is
 * known to be fresh enough, a health check may prove that one is. The primary serves such reads only if no replica can.
 * Replicas of the local zone cost less than others.
 */
final class ReplicaSelector {
    /**
     * Share of a replica's concurrency window for short reads of {@link Access#ANY}; the rest is reserved for other
     * reads.
     */
    private static final double ANY_READ_SHARE = 0.8;
    /** Share of a replica's concurrency window for all other reads. */
    private static final double WHOLE_WINDOW = 1;
    /**
     * Share of the primary's concurrency window for reads that no replica can serve; the rest is reserved for writes.
     */
    private static final double PRIMARY_READ_SHARE = 0.6;
    /** A read waits for a health check for at most its latency objective divided by this. */
    private static final int HEALTH_CHECK_WAIT_DIVISOR = 10;
    /** Lower limit of that wait in ticks of the clock: a response is not noticed any earlier. */
    private static final int MIN_WAIT_TICKS = 2;
    /** Interval, in microseconds, between two rounds of reads to members that may not be fresh enough. */
    private static final long UNPROVEN_ROUND_US = 500_000;
    /** Delay in microseconds before a read that was tried on all members is tried on them again. */
    private static final long RETRY_ROUND_DELAY_US = 50_000;

    private final ReplicaScan scan = new ReplicaScan();
    private final int rotationSeed;
    private final long recheckIntervalUs;
    private final LocalityPolicy localityPolicy;
    private final SlowStart slowStart;
    private final ClassLatencies latencies;
    private final Freshness freshness;
    private final LongQueryPlacement longQueries;
    private final ReplicaCost replicaCost;
    private final RetryPolicy retryPolicy;
    private final HealthChecker healthChecker;
    private final PrimaryTracker primaryTracker;
    private final PrimarySearch primarySearch;
    private final AttemptSender sender;
    private final ActiveSettings settings;

    ReplicaSelector(RoutingComponents components, PrimarySearch primarySearch, AttemptSender sender) {
        this.primarySearch = primarySearch;
        this.sender = sender;
        settings = components.settings;
        rotationSeed = components.rotationSeed;
        recheckIntervalUs = components.recheckIntervalUs;
        localityPolicy = components.localityPolicy;
        slowStart = components.slowStart;
        latencies = components.latencies;
        freshness = components.freshness;
        retryPolicy = components.retryPolicy;
        healthChecker = components.healthChecker;
        primaryTracker = components.primaryTracker;
        longQueries = new LongQueryPlacement(settings, localityPolicy, latencies, freshness);
        replicaCost = new ReplicaCost(settings, longQueries);
    }

    /** Sends a read if a member can take it now; otherwise decides whether it waits or is given up. */
    ReadDecision route(long nowUs, PendingRequest request) {
        if (shouldGiveUp(nowUs, request)) {
            return ReadDecision.GIVE_UP;
        }
        if (nowUs < request.notBeforeUs) {
            return ReadDecision.WAIT;
        }
        if (sendTrial(nowUs, request) || sendToReplica(nowUs, request)) {
            return ReadDecision.SENT;
        }
        if (awaitsHealthCheck(nowUs, request)) {
            return ReadDecision.WAIT;
        }
        if (scan.requiredReplica == null && (sendToPrimary(nowUs, request) || sendWithoutProof(nowUs, request))) {
            return ReadDecision.SENT;
        }
        if (scan.isDeniedByPolicyOnly()) {
            return ReadDecision.GIVE_UP;
        }
        startNextRoundIfAllWereTried(nowUs, request);
        return ReadDecision.WAIT;
    }

    private boolean shouldGiveUp(long nowUs, PendingRequest request) {
        return retryPolicy.isTooLateForRead(nowUs, request)
                || retryPolicy.hasWaitedTooLong(nowUs, request)
                || retryPolicy.isExhausted(nowUs, request);
    }

    private void startNextRoundIfAllWereTried(long nowUs, PendingRequest request) {
        if (primarySearch.nextCandidate(request) == null) {
            request.triedMembers.clear();
            request.notBeforeUs = nowUs + RETRY_ROUND_DELAY_US;
        }
    }

    private boolean send(long nowUs, PendingRequest request, MemberState member) {
        return sender.send(nowUs, request, member, retryPolicy.readTimeoutUs(nowUs, request, member));
    }

    /** Sends an idempotent read to a suspected primary as a trial, which shows whether it still responds. */
    private boolean sendTrial(long nowUs, PendingRequest request) {
        GroupState group = request.group;
        if (primaryTracker.isTrialDue(nowUs, group)
                && request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                && !request.triedMembers.contains(group.primary)
                && send(nowUs, request, group.primary)) {
            primaryTracker.recordTrial(nowUs, group);
            return true;
        }
        return false;
    }

    /**
     * Sends a read to the replica with the lowest cost that can serve it. If none can, health-checks one that might.
     */
    private boolean sendToReplica(long nowUs, PendingRequest request) {
        scanReplicas(nowUs, request);
        if (scan.best() != null && send(nowUs, request, scan.best())) {
            request.group.rotation++;
            return true;
        }
        if (scan.unproven() != null) {
            checkFreshness(nowUs, request.group, scan.unproven());
        }
        return false;
    }

    /** Examines each replica once, starting at the group's rotation offset. */
    private void scanReplicas(long nowUs, PendingRequest request) {
        GroupState group = request.group;
        boolean usesPartOfWindow = request.requestClass.access() == Access.ANY && !latencies.isLongRunning(request);
        scan.reset(
                freshness.requiredPositionUs(nowUs, request),
                longQueries.requiredReplica(nowUs, request),
                usesPartOfWindow ? ANY_READ_SHARE : WHOLE_WINDOW);
        int size = group.chain.size();
        for (int i = 0; i < size; i++) {
            MemberState member = group.chain.get((rotationSeed + group.rotation + i) % size);
            if (isCandidate(nowUs, request, member)) {
                consider(nowUs, request, member);
            }
        }
    }

    private boolean isCandidate(long nowUs, PendingRequest request, MemberState member) {
        return member != request.group.primary
                && member.isUsable(settings.rules())
                && !request.triedMembers.contains(member)
                && !healthChecker.awaitsVerification(nowUs, member)
                && (scan.requiredReplica == null || member == scan.requiredReplica);
    }

    private void consider(long nowUs, PendingRequest request, MemberState member) {
        double costFactor = localityPolicy.costFactor(nowUs, member.localityHandle);
        if (costFactor == LocalityPolicy.EXCLUDED) {
            checkHealthIfDue(nowUs, member);
        } else if (freshness.isProbablyFresh(nowUs, member, scan.requiredPositionUs)) {
            considerFresh(nowUs, request, member, costFactor);
        } else {
            considerUnproven(nowUs, request, member, costFactor);
        }
    }

    private void checkHealthIfDue(long nowUs, MemberState member) {
        if (!member.healthCheckPending && localityPolicy.healthCheckDue(nowUs, member.localityHandle)) {
            healthChecker.check(nowUs, member);
        }
    }

    private void considerFresh(long nowUs, PendingRequest request, MemberState member, double costFactor) {
        if (!hasCapacity(nowUs, request, member)) {
            scan.mayServeLater = true;
        } else if (!localityPolicy.admits(nowUs, member.localityHandle, request.classIndex())) {
            scan.deniedByPolicy = true;
        } else {
            scan.offer(member, replicaCost.of(nowUs, request, member, costFactor));
        }
    }

    private void considerUnproven(long nowUs, PendingRequest request, MemberState member, double costFactor) {
        if (mayBeProvenFresh(nowUs, member)) {
            scan.offerUnproven(member, replicaCost.of(nowUs, request, member, costFactor));
        } else {
            scan.mayServeLater = true;
        }
    }

    private boolean hasCapacity(long nowUs, PendingRequest request, MemberState member) {
        return member.window.hasRoom(nowUs, member.inFlight, scan.windowShare)
                && slowStart.admits(nowUs, member.slowStart, request.classIndex());
    }

    private boolean mayBeProvenFresh(long nowUs, MemberState member) {
        return !member.healthCheckPending
                && healthChecker.reportsPositions()
                && freshness.mayBeProvenFresh(nowUs, member, scan.requiredPositionUs);
    }

    /**
     * Health-checks a replica that may be fresh enough: at most one of the group per recheck interval, unless a health
     * check of the group has ended since.
     */
    private void checkFreshness(long nowUs, GroupState group, MemberState member) {
        if (nowUs - group.lastFreshnessCheckUs >= recheckIntervalUs) {
            group.lastFreshnessCheckUs = nowUs;
            healthChecker.check(nowUs, member);
        }
    }

    /** Whether a read waits for a pending health check, which may prove that a replica is fresh enough. */
    private boolean awaitsHealthCheck(long nowUs, PendingRequest request) {
        if (settings.get().stalenessCheck() != StalenessCheck.SILENT) {
            return false;
        }
        if (request.healthCheckWaitUntilUs == PendingRequest.NO_WAIT_YET) {
            request.healthCheckWaitUntilUs = nowUs + maxHealthCheckWaitUs(request);
        }
        return nowUs < request.healthCheckWaitUntilUs
                && healthChecker.reportsPositions()
                && isHealthCheckPending(request);
    }

    private long maxHealthCheckWaitUs(PendingRequest request) {
        long shareUs = request.requestClass.latencyObjectiveUs() / HEALTH_CHECK_WAIT_DIVISOR;
        return Math.max(MIN_WAIT_TICKS * settings.get().tickUs(), shareUs);
    }

    private boolean isHealthCheckPending(PendingRequest request) {
        for (MemberState member : request.group.chain) {
            if (member.healthCheckPending
                    && member.isUsable(settings.rules())
                    && !request.triedMembers.contains(member)) {
                return true;
            }
        }
        return false;
    }

    private boolean sendToPrimary(long nowUs, PendingRequest request) {
        GroupState group = request.group;
        return group.primary != null
                && !group.primarySuspected
                && !request.triedMembers.contains(group.primary)
                && hasRoomForReads(nowUs, request, group.primary)
                && send(nowUs, request, group.primary);
    }

    private boolean hasRoomForReads(long nowUs, PendingRequest request, MemberState member) {
        return member.window.hasRoom(nowUs, member.inFlight, PRIMARY_READ_SHARE)
                && localityPolicy.costFactor(nowUs, member.localityHandle) != LocalityPolicy.EXCLUDED
                && localityPolicy.admits(nowUs, member.localityHandle, request.classIndex());
    }

    /**
     * Sends a read along the failover chain while the primary is not known; its response shows whether the member could
     * serve it. One read of a group at a time, and one round of the chain in {@link #UNPROVEN_ROUND_US}, as each may be
     * in vain. Only where another process may have known the primary: otherwise a write finds it, or the list names it.
     */
    private boolean sendWithoutProof(long nowUs, PendingRequest request) {
        GroupState group = request.group;
        boolean isDue = !group.readWithoutProofInFlight && nowUs >= group.noReadWithoutProofBeforeUs;
        if (!isDue || group.primary != null || !primaryTracker.mayHavePeers()) {
            return false;
        }
        MemberState member = primarySearch.nextCandidate(request);
        if (member == null) {
            group.noReadWithoutProofBeforeUs = nowUs + UNPROVEN_ROUND_US;
            return false;
        }
        request.sentWithoutProof = true;
        group.readWithoutProofInFlight = hasRoomForReads(nowUs, request, member) && send(nowUs, request, member);
        request.sentWithoutProof = group.readWithoutProofInFlight;
        return group.readWithoutProofInFlight;
    }
}
