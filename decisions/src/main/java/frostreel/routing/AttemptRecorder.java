package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Report;
import frostreel.routing.Router.Role;

/** Records attempts, and updates what is known of members from their outcomes and reports. */
final class AttemptRecorder {
    /**
     * Part of the latency objective beyond which the mean latency of a member is a sign of a queue. A longer mean
     * would leave no reserve for slower answers.
     */
    private static final double TARGET_SHARE = 0.5;
    /** A report without a position is taken to be this old, in microseconds. */
    private static final long REPORT_AGE_US = 500_000;

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

    /** An attempt is sent to a member. */
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

    /** Charges an attempt to what its member may be sent in slow start. */
    void chargeSlowStart(PendingRequest request) {
        SlowStart.MemberBudget slowStartState = request.currentMember.slowStart;
        slowStart.recordSend(slowStartState, request.classIndex());
        request.memberStartedUs = slowStartState.startedUs();
    }

    /** A member reported on itself, by a health check or with an answer. */
    void recordReport(long nowUs, GroupState group, MemberState member, Report report) {
        slowStart.recordUtilization(member.slowStart, report.utilization());
        boolean hasPosition = hasPosition(report.positionUs());
        if (hasPosition) {
            freshness.recordReport(nowUs, member, report.positionUs());
        }
        long asOfUs = hasPosition ? report.positionUs() : nowUs - REPORT_AGE_US;
        primaryTracker.recordRole(group, member, report.role(), asOfUs, RoleEvidence.REPORT);
    }

    /**
     * An attempt ended.
     *
     * @param positionUs the position in the answer, or {@link Router#NO_POSITION}
     * @param report the report that came with the answer, or null
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
        if (hasPosition(positionUs)) {
            member.recordPosition(nowUs, positionUs);
        }
        primaryTracker.recordRole(request.group, member, role, nowUs, RoleEvidence.ANSWER);
        freshness.recordOutcome(nowUs, request, outcome, positionUs);
        switch (outcome) {
            case OK -> recordSuccess(nowUs, request, member, tookUs);
            case WRONG_ROLE_OR_STALE -> recordWrongRoleOrStale(nowUs, request, member, positionUs);
            case REJECTED -> recordRejection(nowUs, request, member);
            case ERROR, TIMEOUT, CONNECT_FAILED, RESET -> recordFailure(nowUs, request, member, outcome);
            case CANCELLED, NOT_SENT -> {} // Nothing is learned of the member.
        }
    }

    private static void recordProgress(long nowUs, MemberState member, Outcome outcome) {
        boolean answered = outcome == Outcome.OK
                || outcome == Outcome.ERROR
                || outcome == Outcome.REJECTED
                || outcome == Outcome.WRONG_ROLE_OR_STALE;
        if (answered) {
            member.outliers.recordResponse(nowUs);
            member.verified |= outcome != Outcome.ERROR; // Any server may answer with an error.
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

    /** Whether the latency of a member is a sign of a queue; that of long-running queries is their own work. */
    private boolean isQueueing(long nowUs, PendingRequest request, MemberState member) {
        double expectedUs = member.outliers.expectedLatencyUs(nowUs, latencies.meanUs(request.classIndex()));
        return !latencies.isLongRunning(request)
                && expectedUs > TARGET_SHARE * request.requestClass.latencyObjectiveUs();
    }

    private void recordWrongRoleOrStale(long nowUs, PendingRequest request, MemberState member, long positionUs) {
        if (request.requestClass.access() == Access.WRITE) {
            primaryTracker.recordRole(request.group, member, Role.REPLICA, nowUs, RoleEvidence.ANSWER);
            return;
        }
        member.staleAtUs = nowUs;
        if (positionUs == Router.NO_POSITION) { // Otherwise the answer says how far behind it is.
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
        if (outcome != Outcome.ERROR) { // An error that came in time is no sign of a queue.
            member.window.shrink(nowUs, member.inFlight, meanUs);
        }
        if (outcome == Outcome.CONNECT_FAILED) {
            member.window.pause(nowUs, meanUs);
            primaryTracker.recordConnectFailure(nowUs, request.group, member);
        }
    }
}
