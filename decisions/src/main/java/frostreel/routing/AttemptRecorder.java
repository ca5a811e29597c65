package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Report;
import frostreel.routing.Router.Role;

/** Records attempts, and updates the state of members from their outcomes and reports. */
final class AttemptRecorder {
    /**
     * Share of the latency objective above which the expected latency of a member indicates a queue. A higher threshold
     * would leave no reserve for slower responses.
     */
    private static final double QUEUEING_LATENCY_SHARE = 0.5;
    /** Assumed age, in microseconds, of a report without a position. */
    private static final long ASSUMED_REPORT_AGE_US = 500_000;

    private final ActiveSettings settings;
    private final LocalityPolicy localityPolicy;
    private final SlowStart slowStart;
    private final ClassLatencies latencies;
    private final Freshness freshness;
    private final PrimaryTracker primaryTracker;
    private final HealthChecker healthChecker;

    AttemptRecorder(RoutingComponents components) {
        settings = components.settings;
        localityPolicy = components.localityPolicy;
        slowStart = components.slowStart;
        latencies = components.latencies;
        freshness = components.freshness;
        primaryTracker = components.primaryTracker;
        healthChecker = components.healthChecker;
    }

    /** Records that an attempt is sent to a member. */
    void recordSend(long nowUs, PendingRequest request, MemberState member) {
        GroupState group = request.group;
        int classIndex = request.classIndex();
        freshness.recordSend(nowUs, request);
        latencies.recordSend(classIndex);
        member.outliers.recordSend(nowUs, member.inFlight, latencies.meanUs(classIndex));
        boolean usesOpenConnection = member.hasFreeConnection(nowUs, settings.limits());
        group.sendsSinceConnect = usesOpenConnection ? group.sendsSinceConnect + 1 : 0;
        member.recordSend(nowUs, settings.limits());
        if (!request.needsPrimary) {
            localityPolicy.onAttemptSent(nowUs, member.localityHandle, classIndex, latencies.meanUs(classIndex));
        }
        request.currentMember = member;
        request.sentAtUs = nowUs;
        request.attempts++;
        chargeSlowStart(request);
    }

    /** Charges an attempt to the slow-start budget of its member. */
    void chargeSlowStart(PendingRequest request) {
        SlowStart.MemberBudget slowStartState = request.currentMember.slowStart;
        request.chargeVoidFromUs = slowStart.recordSend(slowStartState, request.classIndex());
        request.memberStartedUs = slowStartState.startedUs();
    }

    /** Records a load report, from a health check or a response. */
    void recordReport(long nowUs, GroupState group, MemberState member, Report report) {
        slowStart.recordUtilization(member.slowStart, report.utilization());
        boolean hasPosition = hasPosition(report.positionUs());
        if (hasPosition) {
            slowStart.recordPosition(nowUs, report.positionUs());
            freshness.recordReport(nowUs, member, report.positionUs());
        }
        long asOfUs = hasPosition ? report.positionUs() : nowUs - ASSUMED_REPORT_AGE_US;
        primaryTracker.recordRole(group, member, report.role(), asOfUs, RoleEvidence.REPORT);
    }

    /**
     * Records the end of an attempt.
     *
     * @param positionUs the position in the response, or {@link Router#NO_POSITION}
     * @param report the report in the response, or null
     */
    void recordOutcome(
            long nowUs,
            PendingRequest request,
            MemberState member,
            Outcome outcome,
            long tookUs,
            Role role,
            long positionUs,
            Report report) {
        member.recordEnd(nowUs);
        localityPolicy.onAttemptEnded(nowUs, member.localityHandle, outcome, latencies.meanUs(request.classIndex()));
        recordProgress(nowUs, member, outcome);
        if (report != null) {
            recordReport(nowUs, request.group, member, report);
        }
        recordRoleAndPosition(nowUs, request.group, member, role, positionUs);
        freshness.recordOutcome(nowUs, request, outcome, positionUs);
        switch (outcome) {
            case OK -> recordSuccess(nowUs, request, member, tookUs);
            case WRONG_ROLE_OR_STALE -> recordWrongRoleOrStale(nowUs, request, member, positionUs);
            case REJECTED -> recordRejection(nowUs, request, member);
            case ERROR, TIMEOUT, CONNECT_FAILED, RESET -> recordFailure(nowUs, request, member, outcome);
            case CANCELLED, NOT_SENT -> {} // These say nothing about the member.
        }
    }

    /** Records what a response reported of its member. */
    void recordRoleAndPosition(long nowUs, GroupState group, MemberState member, Role role, long positionUs) {
        if (hasPosition(positionUs)) {
            slowStart.recordPosition(nowUs, positionUs);
            member.recordPosition(nowUs, positionUs);
        }
        primaryTracker.recordRole(group, member, role, nowUs, RoleEvidence.RESPONSE);
    }

    private static void recordProgress(long nowUs, MemberState member, Outcome outcome) {
        boolean responded = outcome == Outcome.OK
                || outcome == Outcome.ERROR
                || outcome == Outcome.REJECTED
                || outcome == Outcome.WRONG_ROLE_OR_STALE;
        if (responded) {
            member.outliers.recordResponse(nowUs);
            member.verified |= outcome != Outcome.ERROR; // Any server may respond with an error.
        }
        if (member.inFlight == 0) {
            member.outliers.recordIdle();
        }
    }

    private static boolean hasPosition(long positionUs) {
        return positionUs > Router.NO_POSITION;
    }

    private void recordSuccess(long nowUs, PendingRequest request, MemberState member, long tookUs) {
        int classIndex = request.classIndex();
        member.outliers.recordSuccess(nowUs, tookUs / latencies.meanUs(classIndex));
        latencies.recordResponse(classIndex, tookUs);
        primaryTracker.recordSuccess(request.group, member);
        slowStart.recordResponse(nowUs, member.slowStart, classIndex, tookUs);
        if (tookUs > request.requestClass.latencyObjectiveUs() || isQueueing(nowUs, request, member)) {
            member.window.shrink(nowUs, member.inFlight, latencies.meanUs(classIndex));
        } else {
            member.window.grow(member.inFlight);
        }
    }

    /** Whether the latency of a member indicates a queue; that of long-running queries is due to their own work. */
    private boolean isQueueing(long nowUs, PendingRequest request, MemberState member) {
        double expectedUs = member.outliers.expectedLatencyUs(nowUs, latencies.meanUs(request.classIndex()));
        return !latencies.isLongRunning(request)
                && expectedUs > QUEUEING_LATENCY_SHARE * request.requestClass.latencyObjectiveUs();
    }

    private void recordWrongRoleOrStale(long nowUs, PendingRequest request, MemberState member, long positionUs) {
        if (request.requestClass.access() == Access.WRITE) {
            primaryTracker.recordRole(request.group, member, Role.REPLICA, nowUs, RoleEvidence.RESPONSE);
            return;
        }
        member.staleAtUs = nowUs;
        if (positionUs == Router.NO_POSITION) { // Otherwise the response shows how far behind it is.
            healthChecker.check(nowUs, member);
        }
    }

    private void recordRejection(long nowUs, PendingRequest request, MemberState member) {
        double meanUs = latencies.meanUs(request.classIndex());
        member.window.shrink(nowUs, member.inFlight, meanUs);
        member.window.pause(nowUs, meanUs);
    }

    private void recordFailure(long nowUs, PendingRequest request, MemberState member, Outcome outcome) {
        double meanUs = latencies.meanUs(request.classIndex());
        if (outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED) {
            member.recordConnectionLoss();
        }
        member.outliers.recordFailure(nowUs);
        if (outcome != Outcome.ERROR) { // An error response is not a sign of a queue.
            member.window.shrink(nowUs, member.inFlight, meanUs);
        }
        if (outcome == Outcome.CONNECT_FAILED) {
            member.window.pause(nowUs, meanUs);
            primaryTracker.recordConnectFailure(nowUs, request.group, member);
        }
    }
}
