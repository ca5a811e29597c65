package frostreel.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Every decision of the query router; its interface, events in and actions out, is {@link Router}.
 *
 * <p>The mechanism. Each group's members form a chain, ordered by id; its head is the member last heard as
 * primary. Writes and fresh reads go to the head. An answer that says primary fixes the head; a miss or a
 * failed connection proves that a write never ran, so it moves on to the next member of the chain; after a
 * time-out a write is sent again only by its key. A full round of misses puts the group on hold: writes wait
 * unsent while a walk probes one member after another, and are released when one answers as primary. Other
 * reads go to an own-zone replica known to be new enough, else to another zone's, and reach the primary only
 * when no replica can serve. Every send passes {@link #send}, which holds the rules; every request ends in an
 * OK or in {@link #giveUp}. */
public final class ChainRouter implements Router {
    // ---- Constants: each a ratio of a handed setting, or a starting value of the design page. ----

    /** How often, in microseconds, the subscription to the endpoint list is retried, and the usual Retry-After. */
    private static final long HALF_SECOND_US = 500_000;

    private static final String SUBSCRIBE_TIMER = "subscribe";

    private static final double TARGET = 0.5; // Of an aim: a mean time beyond it only makes a queue.

    private final RoutingComponents components;
    private final ActiveSettings settings;
    private final SlowStart slowStart;
    private final Actions actions;
    private final LocalityPolicy localityPolicy;
    private final long sweepUs;
    private final ClassLatencies latencies;
    private final Freshness freshness;
    private final RetryPolicy retryPolicy;
    private final HealthChecker healthChecker;
    private final PrimaryTracker primaryTracker;
    private final PrimarySearch primarySearch;
    private final ReplicaSelector replicaSelector;
    private final WriteQueue writeQueue;
    private final WaitingRequests waiting;
    private final MemberDirectory directory;
    private final LoadShedder loadShedder;
    private boolean started;
    private final Map<String, PendingRequest> requests = new HashMap<>();

    public ChainRouter(Settings settings, Actions actions) {
        this(settings, actions, new NearestZonePolicy(settings.zone()));
    }

    public ChainRouter(Settings settings, Actions actions, LocalityPolicy localityPolicy) {
        this(settings, actions, localityPolicy, (now, session) -> 0);
    }

    public ChainRouter(Settings settings, Actions actions, LocalityPolicy localityPolicy, PeerCommits peerCommits) {
        this.actions = actions;
        this.localityPolicy = localityPolicy;
        components = new RoutingComponents(settings, actions, localityPolicy, peerCommits);
        this.settings = components.settings;
        sweepUs = components.sweepIntervalUs;
        slowStart = components.slowStart;
        latencies = components.latencies;
        freshness = components.freshness;
        retryPolicy = components.retryPolicy;
        healthChecker = components.healthChecker;
        primaryTracker = components.primaryTracker;
        loadShedder = components.loadShedder;
        primarySearch = new PrimarySearch(this.settings, healthChecker, this::send);
        replicaSelector = new ReplicaSelector(components, primarySearch, this::send);
        writeQueue = new WriteQueue(components, primarySearch, this::send, this::giveUp);
        waiting = new WaitingRequests(actions, sweepUs);
        directory = new MemberDirectory(components);
    }

    @Override
    public void onSettings(Settings newSettings) {
        components.onSettings(newSettings);
    }

    // ---- The chain: who heads a group, and by what evidence. ----

    @Override
    public void onMembers(long now, ListKind kind, List<Member> entries) {
        boolean initial = !started;
        started = true;
        if (initial && settings.limits().subscribe()) {
            actions.subscribe();
        }
        if (kind != ListKind.FAILED) {
            directory.update(now, kind, entries, initial);
        } else if (!initial && settings.limits().subscribe()) {
            actions.setTimer(HALF_SECOND_US, SUBSCRIBE_TIMER);
        }
    }

    @Override
    public void onProbe(long now, String memberId, boolean ok, long tookUs, Report report) {
        MemberState member = directory.member(memberId);
        if (member == null) {
            return;
        }
        GroupState group = directory.group(member.groupNumber);
        member.healthCheckPending = false;
        group.lastFreshnessCheckUs = 0;
        member.verified |= ok;
        localityPolicy.probed(now, member.localityHandle, ok);
        if (ok && report != null) {
            recordReport(now, group, member, report);
        }
        releaseWaiting(now, group);
    }

    private void recordReport(long now, GroupState group, MemberState member, Report report) {
        slowStart.reported(member.slowStart, report.util());
        if (report.positionUs() > 0) {
            freshness.recordReport(now, member, report.positionUs());
        }
        long at = report.positionUs() > 0 ? report.positionUs() : now - HALF_SECOND_US;
        primaryTracker.recordRole(group, member, report.role(), at, false);
    }

    // ---- Writes, and reads that must be current. ----

    @Override
    public void onRequest(long now, Request original) {
        retryPolicy.recordArrival();
        GroupState group = directory.group(original.group());
        RequestClass requestClass = settings.get().classes().get(original.cls());
        PendingRequest request = new PendingRequest(
                original, requestClass, group, settings.limits().maxAttempts(), now);
        requests.put(original.id(), request);
        request.countsForGoodput = loadShedder.sheds(now, request);
        if (request.countsForGoodput) {
            giveUp(now, request);
        } else {
            route(now, request);
        }
        if (loadShedder.isNearLimit(requests.size())) {
            waiting.oldest().ifPresent(oldest -> {
                waiting.remove(oldest);
                giveUp(now, oldest);
            });
        }
    }

    private void recordEnd(long now, PendingRequest request, boolean answered) {
        loadShedder.recordEnd(now, request, answered);
        request.ended = true;
    }

    private void route(long now, PendingRequest request) {
        if (!request.needsPrimary) {
            routeRead(now, request);
        } else if (retryPolicy.isExhausted(now, request)) {
            giveUp(now, request);
        } else {
            waiting.addWrite(request);
            releaseWaiting(now, request.group);
        }
    }

    /** Sends what waits in a group as far as that is possible now: first writes, then reads, the newest first. */
    private void releaseWaiting(long now, GroupState group) {
        primaryTracker.suspectIfSilent(now, group);
        WaitingRequests.Queues queues = waiting.of(group);
        writeQueue.release(now, group, queues.writes);
        for (int i = queues.reads.size() - 1; i >= 0; i--) {
            PendingRequest request = queues.reads.get(i);
            request.waitsAsRead = false;
            routeRead(now, request);
        }
        queues.reads.removeIf(request -> !request.waitsAsRead);
    }

    // ---- Reads: the pick of a replica. ----

    private void routeRead(long now, PendingRequest request) {
        switch (replicaSelector.route(now, request)) {
            case SENT -> {}
            case WAIT -> waiting.addRead(request);
            case GIVE_UP -> giveUp(now, request);
        }
    }

    // ---- Health: what outcomes say of a member, against its peers. ----

    @Override
    public void onOutcome(
            long now,
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
        request.countsForGoodput = outcome == Outcome.OK || outcome == Outcome.REJECTED || outcome == Outcome.TIMEOUT;
        member.recordEnd(now);
        localityPolicy.ended(now, member.localityHandle, outcome, latencies.meanUs(request.classIndex()));
        recordOutcome(now, request, member, outcome, tookUs, role, positionUs, report);
        if (!outcome.provesNotRun) {
            retryPolicy.recordUncertainAttempt(request, member);
        }
        if (closed || request.ended || outcome == Outcome.OK) {
            recordEnd(now, request, outcome == Outcome.OK);
            requests.remove(requestId);
        } else {
            retry(now, request, member, outcome);
        }
        releaseWaiting(now, request.group);
    }

    private void recordOutcome(
            long now,
            PendingRequest request,
            MemberState member,
            Outcome outcome,
            long tookUs,
            Role role,
            long positionUs,
            Report report) {
        GroupState group = request.group;
        boolean write = request.requestClass.access() == Access.WRITE;
        if (outcome == Outcome.OK
                || outcome == Outcome.ERROR
                || outcome == Outcome.REJECTED
                || outcome == Outcome.WRONG_ROLE_OR_STALE) {
            member.outliers.recordProgress(now);
            member.verified |= outcome != Outcome.ERROR;
        }
        if (member.inFlight == 0) {
            member.outliers.recordIdle();
        }
        if (report != null) {
            recordReport(now, group, member, report);
        }
        if (positionUs > 0) {
            member.recordPosition(now, positionUs);
        }
        primaryTracker.recordRole(group, member, role, now, true);
        freshness.recordOutcome(now, request, outcome, positionUs);
        if (outcome == Outcome.OK) {
            member.outliers.recordSuccess(now, tookUs / latencies.meanUs(request.classIndex()));
            latencies.recordAnswer(request.classIndex(), tookUs);
            primaryTracker.recordSuccess(group, member);
            slowStart.served(now, member.slowStart, request.classIndex(), tookUs);
            if (tookUs > request.requestClass.latencyObjectiveUs()
                    || !latencies.isLongRunning(request)
                            && member.outliers.expectedLatencyUs(now, latencies.meanUs(request.classIndex()))
                                    > TARGET * request.requestClass.latencyObjectiveUs()) {
                member.window.shrink(now, member.inFlight, latencies.meanUs(request.classIndex()));
            } else {
                member.window.grow(member.inFlight);
            }
        } else if (outcome == Outcome.WRONG_ROLE_OR_STALE) {
            if (write) {
                primaryTracker.recordRole(group, member, Role.REPLICA, now, true);
            } else {
                member.staleAtUs = now;
                if (positionUs == 0) { // Else the answer has told how far behind it stands.
                    healthChecker.check(now, member);
                }
            }
        } else if (outcome == Outcome.REJECTED) {
            member.window.shrink(now, member.inFlight, latencies.meanUs(request.classIndex()));
            member.window.pause(now, latencies.meanUs(request.classIndex()));
        } else if (outcome != Outcome.CANCELLED && outcome != Outcome.NOT_SENT) {
            if (outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED) {
                member.recordConnectionLoss();
            }
            member.outliers.recordFailure(now);
            if (outcome != Outcome.ERROR) { // That came in time: a spoilt answer is no sign of a queue.
                member.window.shrink(now, member.inFlight, latencies.meanUs(request.classIndex()));
            }
            if (outcome == Outcome.CONNECT_FAILED) {
                member.window.pause(now, latencies.meanUs(request.classIndex()));
                primaryTracker.recordConnectFailure(now, group, member);
            }
        }
    }

    /** What becomes of a request whose attempt did not serve it. */
    private void retry(long now, PendingRequest request, MemberState member, Outcome outcome) {
        if (outcome != Outcome.REJECTED || !request.needsPrimary) {
            request.triedMembers.add(member);
        }
        if (!retryPolicy.admitRetry(now, request, outcome)) {
            giveUp(now, request);
            return;
        }
        if (!request.needsPrimary) {
            routeRead(now, request);
            return;
        }
        retryPolicy.backOff(now, request, outcome);
        primarySearch.continueRound(request);
        waiting.addWrite(request);
    }

    @Override
    public void onTimer(long now, String name) {
        if (!name.equals(WaitingRequests.SWEEP_TIMER)) {
            actions.subscribe();
            return;
        }
        for (WaitingRequests.Queues queues : waiting.groupsToSweep()) {
            writeQueue.removeExpired(now, queues.group, queues.writes);
            primarySearch.search(now, queues.group, queues.writes);
            releaseWaiting(now, queues.group);
        }
        waiting.endSweep();
    }

    @Override
    public void onClientDisconnected(long now, String requestId) {
        PendingRequest request = requests.get(requestId);
        if (request == null || request.ended) {
            return;
        }
        recordEnd(now, request, false);
        waiting.remove(request);
        if (request.currentMember == null) {
            requests.remove(requestId);
        } else if (settings.limits().cancel()) {
            actions.cancel(requestId, request.attempts - 1);
        }
    }

    // ---- Guards: the one place that sends, and the one that ends. ----

    /** Also whether its member was told to have started meanwhile: then it goes as one that is sent now. */
    @Override
    public boolean mayStillBegin(long now, String requestId) {
        PendingRequest request = requests.get(requestId);
        if (request == null
                || request.currentMember == null
                || request.memberStartedUs == request.currentMember.slowStart.startedUs()) {
            return request == null
                    || request.currentMember == null
                    || freshness.isFreshEnough(now, request, request.currentMember);
        }
        boolean stands = freshness.isFreshEnough(now, request, request.currentMember)
                && slowStart.admits(now, request.currentMember.slowStart, request.classIndex());
        if (stands) {
            chargeSlowStart(request);
        }
        return stands;
    }

    private void chargeSlowStart(PendingRequest request) {
        slowStart.sent(request.currentMember.slowStart, request.classIndex());
        request.memberStartedUs = request.currentMember.slowStart.startedUs();
    }

    /** The send gate: draining, group, attempts, deadline, repeats, freshness, cold members are held here. */
    private boolean send(long now, PendingRequest request, MemberState member, long timeoutUs) {
        if (request.ended
                || request.currentMember != null
                || !member.isUsable(settings.rules())
                || member.groupNumber != request.group.number
                || retryPolicy.isExhausted(now, request)
                || !slowStart.admits(now, member.slowStart, request.classIndex())) {
            return false;
        }
        if (!freshness.isFreshEnough(now, request, member) || !request.mayGoToZone(member.zone)) {
            return false;
        }
        freshness.recordSend(now, request);
        double effort = latencies.meanUs(request.classIndex());
        latencies.recordSend(request.classIndex());
        member.outliers.recordSend(now, member.inFlight, effort);
        GroupState group = request.group;
        group.sendsSinceConnect = member.hasFreeConnection(now, settings.limits()) ? group.sendsSinceConnect + 1 : 0;
        member.recordSend(now, settings.limits());
        if (!request.needsPrimary) {
            localityPolicy.sent(now, member.localityHandle, request.classIndex(), effort);
        }
        request.currentMember = member;
        request.sentAtUs = now;
        chargeSlowStart(request);
        request.attempts++;
        actions.send(
                request.original.id(),
                member.id,
                Math.max(1, Math.min(timeoutUs, request.original.deadlineUs() - now)));
        return true;
    }

    /** The final answer, at once: a refusal where trying again is harmless, else a failure. */
    private void giveUp(long now, PendingRequest request) {
        recordEnd(now, request, false);
        requests.remove(request.original.id());
        if (RetryPolicy.isClientRetryHarmless(request)) {
            actions.reject(
                    request.original.id(),
                    settings.limits().retryAfterAllowed()
                            ? Math.min(HALF_SECOND_US, settings.limits().maxRetryAfterUs())
                            : 0);
        } else {
            actions.fail(request.original.id());
        }
    }
}
