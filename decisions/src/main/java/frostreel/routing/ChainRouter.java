package frostreel.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Routes requests along the failover chain of each replica group. This class coordinates the classes that make the
 * individual decisions.
 *
 * <p>The members of a group form a chain, ordered by id. Writes and fresh reads go to the last known primary, whose
 * responses confirm its role. A member that declines a write, or cannot be connected to, has certainly not executed
 * it, so the write moves on to the next member of the chain. After a timeout a write is retried only if it is
 * idempotent or has an idempotency key. After a full round without a primary the writes of the group stay queued
 * while {@link PrimarySearch} probes one member after another; they are sent when a member is known as primary. Other
 * reads go to the cheapest replica that is fresh enough, members of the local zone costing less, and to the primary
 * only if no replica can serve them.
 *
 * <p>{@link #send} starts every attempt and enforces the rules for it; {@link #giveUp} sends the final response to
 * requests that were not served.
 */
public final class ChainRouter implements Router {
    /** Delay, in microseconds, before the subscription is retried after a failed endpoint list update. */
    private static final long SUBSCRIBE_RETRY_US = 500_000;
    /** Retry-After of rejected requests in microseconds: about the duration of a failover. */
    private static final long RETRY_AFTER_US = 500_000;

    private static final String SUBSCRIBE_TIMER = "subscribe";

    private final RoutingComponents components;
    private final ActiveSettings settings;
    private final Actions actions;
    private final SlowStart slowStart;
    private final Freshness freshness;
    private final RetryPolicy retryPolicy;
    private final LoadShedder loadShedder;
    private final PrimarySearch primarySearch;
    private final ReplicaSelector replicaSelector;
    private final WriteQueue writeQueue;
    private final WaitingRequests waiting;
    private final MemberDirectory directory;
    private final AttemptRecorder attemptRecorder;
    /** The open requests by id. */
    private final Map<String, PendingRequest> requests = new HashMap<>();
    /** Whether an endpoint list update, even a failed one, was reported. */
    private boolean listReported;

    /** A router that prefers replicas of its zone and has no peer process. */
    public ChainRouter(Settings settings, Actions actions) {
        this(settings, actions, new NearestZonePolicy(settings.zone()));
    }

    /** A router without a peer process. */
    public ChainRouter(Settings settings, Actions actions, LocalityPolicy localityPolicy) {
        this(settings, actions, localityPolicy, PeerCommits.NONE, PeerRoles.NONE);
    }

    /**
     * A router of one of the processes of a pooler. Its session reads also reflect the commits made through the others,
     * and what the others have been told about the roles of members counts for it as well.
     */
    public ChainRouter(
            Settings settings,
            Actions actions,
            LocalityPolicy localityPolicy,
            PeerCommits peerCommits,
            PeerRoles peerRoles) {
        this.actions = actions;
        components = new RoutingComponents(settings, actions, localityPolicy, peerCommits, peerRoles);
        this.settings = components.settings;
        slowStart = components.slowStart;
        freshness = components.freshness;
        retryPolicy = components.retryPolicy;
        loadShedder = components.loadShedder;
        primarySearch = new PrimarySearch(this.settings, components.healthChecker, this::send);
        replicaSelector = new ReplicaSelector(components, primarySearch, this::send);
        writeQueue = new WriteQueue(components, primarySearch, this::send, this::giveUp);
        waiting = new WaitingRequests(actions, components.recheckIntervalUs);
        directory = new MemberDirectory(components);
        attemptRecorder = new AttemptRecorder(components);
    }

    @Override
    public void onSettings(Settings newSettings) {
        components.onSettings(newSettings);
    }

    @Override
    public void onMembers(long nowUs, ListKind kind, List<Member> entries) {
        boolean initial = !listReported;
        listReported = true;
        if (initial && settings.limits().subscribe()) {
            actions.subscribe();
        }
        if (kind != ListKind.FAILED) {
            directory.update(nowUs, kind, entries, initial);
        } else if (!initial && settings.limits().subscribe()) {
            actions.setTimer(SUBSCRIBE_RETRY_US, SUBSCRIBE_TIMER);
        }
    }

    @Override
    public void onHealthCheck(long nowUs, String memberId, boolean ok, long tookUs, Report report) {
        MemberState member = directory.member(memberId);
        if (member == null) {
            return;
        }
        GroupState group = directory.group(member.groupNumber);
        member.healthCheckPending = false;
        member.verified |= ok;
        group.lastFreshnessCheckUs = GroupState.NO_FRESHNESS_CHECK;
        components.localityPolicy.onHealthCheck(nowUs, member.localityHandle, ok);
        if (ok && report != null) {
            attemptRecorder.recordReport(nowUs, group, member, report);
        }
        releaseWaiting(nowUs, group);
    }

    @Override
    public void onRequest(long nowUs, Request original) {
        retryPolicy.recordArrival();
        GroupState group = directory.group(original.group());
        RequestClass requestClass = settings.get().classes().get(original.classIndex());
        PendingRequest request = new PendingRequest(
                original, requestClass, group, settings.limits().maxAttempts(), nowUs);
        requests.put(original.id(), request);
        components.primaryTracker.mergePeerRoles(nowUs, group);
        boolean shed = loadShedder.shouldShed(nowUs, request);
        request.countsForGoodput = shed;
        if (shed) {
            giveUp(nowUs, request);
        } else if (request.needsPrimary) {
            routeWrite(nowUs, request);
        } else {
            routeRead(nowUs, request);
        }
        if (loadShedder.isNearLimit(requests.size())) {
            giveUpOldestWaiting(nowUs);
        }
    }

    private void giveUpOldestWaiting(long nowUs) {
        waiting.oldest().ifPresent(oldest -> {
            waiting.remove(oldest);
            giveUp(nowUs, oldest);
        });
    }

    private void routeWrite(long nowUs, PendingRequest request) {
        if (retryPolicy.isExhausted(nowUs, request)) {
            giveUp(nowUs, request);
        } else {
            waiting.addWrite(request);
            releaseWaiting(nowUs, request.group);
        }
    }

    private void routeRead(long nowUs, PendingRequest request) {
        switch (replicaSelector.route(nowUs, request)) {
            case SENT -> {}
            case WAIT -> waiting.addRead(request);
            case GIVE_UP -> giveUp(nowUs, request);
        }
    }

    /**
     * Sends as many of a group's queued requests as possible: first writes, then reads. Both begin with the most
     * recently queued; reads that clients marked as retries come last.
     */
    private void releaseWaiting(long nowUs, GroupState group) {
        components.primaryTracker.mergePeerRoles(nowUs, group);
        components.primaryTracker.suspectIfSilent(nowUs, group);
        WaitingRequests.Queues queues = waiting.of(group);
        writeQueue.release(nowUs, group, queues.writes);
        for (int i = queues.reads.size() - 1; i >= 0; i--) {
            PendingRequest request = queues.reads.get(i);
            request.inReadQueue = false;
            routeRead(nowUs, request);
        }
        queues.reads.removeIf(request -> !request.inReadQueue);
    }

    @Override
    public void onOutcome(
            long nowUs,
            String requestId,
            int attempt,
            String memberId,
            Outcome outcome,
            boolean closed,
            long tookUs,
            Role role,
            long positionUs,
            Report report) {
        PendingRequest request = requests.get(requestId);
        MemberState member = directory.member(memberId);
        if (member == null || request == null || request.currentMember == null) {
            return;
        }
        request.currentMember = null;
        request.group.readWithoutProofInFlight &= !request.sentWithoutProof;
        request.sentWithoutProof = false;
        request.countsForGoodput = outcome == Outcome.OK || outcome == Outcome.REJECTED || outcome == Outcome.TIMEOUT;
        attemptRecorder.recordOutcome(nowUs, request, member, outcome, tookUs, role, positionUs, report);
        if (!outcome.provesNotRun) {
            retryPolicy.recordUncertainAttempt(request, member);
        }
        if (closed || request.ended || outcome == Outcome.OK) {
            recordEnd(nowUs, request, outcome == Outcome.OK);
            requests.remove(requestId);
        } else {
            retry(nowUs, request, member, outcome);
        }
        releaseWaiting(nowUs, request.group);
    }

    /** Retries a request whose attempt did not serve it, or gives it up if it may not be retried. */
    private void retry(long nowUs, PendingRequest request, MemberState member, Outcome outcome) {
        if (outcome != Outcome.REJECTED || !request.needsPrimary) {
            request.triedMembers.add(member);
        }
        if (!retryPolicy.admitRetry(nowUs, request, outcome)) {
            giveUp(nowUs, request);
        } else if (!request.needsPrimary) {
            routeRead(nowUs, request);
        } else {
            retryPolicy.backOff(nowUs, request, outcome);
            primarySearch.continueRound(request);
            waiting.addWrite(request);
        }
    }

    @Override
    public void onTimer(long nowUs, String name) {
        if (!name.equals(WaitingRequests.RECHECK_TIMER)) {
            actions.subscribe();
            return;
        }
        for (WaitingRequests.Queues queues : waiting.groupsToRecheck()) {
            writeQueue.removeExpired(nowUs, queues.group, queues.writes);
            primarySearch.search(nowUs, queues.group, queues.writes);
            releaseWaiting(nowUs, queues.group);
        }
        waiting.finishRecheck();
    }

    @Override
    public void onClientDisconnected(long nowUs, String requestId) {
        PendingRequest request = requests.get(requestId);
        if (request == null || request.ended) {
            return;
        }
        recordEnd(nowUs, request, false);
        waiting.remove(request);
        if (request.currentMember == null) {
            requests.remove(requestId);
        } else if (settings.limits().cancel()) {
            actions.cancel(requestId, request.attempts - 1);
        }
    }

    /**
     * If the member has restarted since the attempt was sent, or the attempt has waited for too long, slow start must
     * also admit the attempt again.
     */
    @Override
    public boolean mayStillBegin(long nowUs, String requestId) {
        PendingRequest request = requests.get(requestId);
        if (request == null || request.currentMember == null) {
            return true;
        }
        MemberState member = request.currentMember;
        components.primaryTracker.mergePeerRoles(nowUs, request.group);
        if (!request.sentWithoutProof && !freshness.isFreshEnough(nowUs, request, member)) {
            return false;
        }
        freshness.recordRequirement(nowUs, request, member);
        boolean restarted = request.memberStartedUs != member.slowStart.startedUs();
        boolean isCharged = !restarted && nowUs < request.chargeVoidFromUs;
        return isCharged || chargeAgain(nowUs, request, member);
    }

    @Override
    public void onLongResponseEnded(long nowUs, String memberId, Role role, long positionUs) {
        MemberState member = directory.member(memberId);
        if (member != null) {
            GroupState group = directory.group(member.groupNumber);
            attemptRecorder.recordRoleAndPosition(nowUs, group, member, role, positionUs);
            releaseWaiting(nowUs, group);
        }
    }

    @Override
    public boolean mayServe(long nowUs, String requestId, Role role, long positionUs) {
        PendingRequest request = requests.get(requestId);
        boolean isUnknown = request == null || request.currentMember == null;
        if (isUnknown
                || !components.primaryTracker.mayHavePeers()
                || freshness.provesFresh(request, role, positionUs)) {
            return true;
        }
        components.primaryTracker.mergePeerRoles(nowUs, request.group);
        return role == Role.UNKNOWN && components.primaryTracker.isKnownPrimary(request.group, request.currentMember);
    }

    /** Charges an attempt to the slow start of its member once more if that admits it. */
    private boolean chargeAgain(long nowUs, PendingRequest request, MemberState member) {
        boolean admitted =
                slowStart.admitsWaiting(nowUs, member.slowStart, request.classIndex(), nowUs - request.sentAtUs);
        if (admitted) {
            attemptRecorder.chargeSlowStart(request);
        }
        return admitted;
    }

    /** Starts an attempt if every rule permits it; no other method does. */
    private boolean send(long nowUs, PendingRequest request, MemberState member, long timeoutUs) {
        if (!mayBeSent(nowUs, request, member)) {
            return false;
        }
        freshness.recordRequirement(nowUs, request, member);
        attemptRecorder.recordSend(nowUs, request, member);
        long leftUs = request.original.deadlineUs() - nowUs;
        actions.send(request.original.id(), member.id, Math.max(1, Math.min(timeoutUs, leftUs)));
        return true;
    }

    /**
     * Checks the rules for an attempt. A request has at most one attempt in flight, none after its deadline or its
     * last permitted attempt, and none after one that may have run unless it may be retried. The member must be usable
     * by the endpoint list, belong to the group, have slow-start budget left, be fresh enough unless the response is to
     * show that, and be in a zone that knows the request's idempotency key.
     */
    private boolean mayBeSent(long nowUs, PendingRequest request, MemberState member) {
        return !request.ended
                && request.currentMember == null
                && member.isUsable(settings.rules())
                && member.groupNumber == request.group.number
                && !retryPolicy.isExhausted(nowUs, request)
                && slowStart.admits(nowUs, member.slowStart, request.classIndex())
                && (request.sentWithoutProof || freshness.isFreshEnough(nowUs, request, member))
                && request.mayGoToZone(member.zone);
    }

    /** Ends a request that was not served: rejects it if a retry by the client is harmless, else fails it. */
    private void giveUp(long nowUs, PendingRequest request) {
        recordEnd(nowUs, request, false);
        requests.remove(request.original.id());
        if (RetryPolicy.isClientRetryHarmless(request)) {
            actions.reject(request.original.id(), retryAfterUs());
        } else {
            actions.fail(request.original.id());
        }
    }

    private long retryAfterUs() {
        Limits limits = settings.limits();
        return limits.retryAfterAllowed() ? Math.min(RETRY_AFTER_US, limits.maxRetryAfterUs()) : Actions.NO_RETRY_AFTER;
    }

    private void recordEnd(long nowUs, PendingRequest request, boolean served) {
        loadShedder.recordEnd(nowUs, request, served);
        request.ended = true;
    }
}
