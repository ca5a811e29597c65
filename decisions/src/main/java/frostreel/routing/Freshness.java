package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.SessionTracking;
import frostreel.routing.Router.Settings;
import frostreel.routing.Router.StalenessCheck;

/**
 * Determines which log position a read requires, and which members have it or may have it. A position is the time in
 * microseconds up to which all commits are applied.
 */
final class Freshness {
    /**
     * Added to required positions, in microseconds: positions and the ages of writes are both reported in milliseconds,
     * which can add up to an error of 2 ms.
     */
    private static final long ROUNDING_US = 2000;
    /** Position required by a read that must see the latest commit; no replica reaches it. */
    private static final long LATEST_POSITION_US = Long.MAX_VALUE;
    /** Time, in microseconds, for which a member that declined a read as too stale is not assumed to be fresh. */
    private static final long STALE_HOLD_OFF_US = 500_000;
    /** Typical lag before the first report, in microseconds. */
    private static final double INITIAL_TYPICAL_LAG_US = 250_000;
    /** Share of a report's lag by which the typical lag rises; a smaller lag replaces the typical one at once. */
    private static final double TYPICAL_LAG_RISE = 0.01;
    /** Minimum interval, in microseconds, between health checks of a member for reads: checks are work for it too. */
    private static final long MIN_CHECK_INTERVAL_US = 250_000;
    /** Minimum time, in seconds, that a replica needs to apply one second of the log. */
    private static final double MIN_CATCH_UP_RATIO = 0.7;
    /** Commits are remembered for the longest deadline of a request class times this. */
    private static final long RETENTION_DEADLINES = 20;

    private final SessionCommits sessionCommits = new SessionCommits();
    private final PeerCommits peerCommits;
    private final ActiveSettings settings;
    private long retentionUs;
    /** Lag of the reports of replicas that keep up, which is mostly the age of the report itself. */
    private double typicalLagUs = INITIAL_TYPICAL_LAG_US;

    Freshness(ActiveSettings settings, PeerCommits peerCommits) {
        this.settings = settings;
        this.peerCommits = peerCommits;
        onSettings(settings.get());
    }

    /** Applies new settings. The retention never shrinks, so that commits required under earlier settings are kept. */
    void onSettings(Settings newSettings) {
        for (RequestClass requestClass : newSettings.classes()) {
            retentionUs = Math.max(retentionUs, RETENTION_DEADLINES * requestClass.deadlineUs());
        }
    }

    /**
     * Returns how long, in microseconds, the commits of sessions are remembered, and members after they left the
     * endpoint list.
     */
    long retentionUs() {
        return retentionUs;
    }

    /** Records that an attempt is sent; writes of sessions are remembered if the settings require it. */
    void recordSend(long nowUs, PendingRequest request) {
        if (isTrackedWrite(request)) {
            sessionCommits.recordSend(nowUs, request.original.session());
        }
    }

    /** Records the end of an attempt. */
    void recordOutcome(long nowUs, PendingRequest request, Outcome outcome, long positionUs) {
        if (isTrackedWrite(request)) {
            long deadlineUs = request.original.deadlineUs();
            sessionCommits.recordOutcome(
                    nowUs, request.original.session(), deadlineUs, outcome, positionUs, retentionUs);
        }
    }

    private boolean isTrackedWrite(PendingRequest request) {
        return request.requestClass.access() == Access.WRITE
                && settings.get().sessionTracking() == SessionTracking.REMEMBERED;
    }

    /** Records the position that a member reported. */
    void recordReport(long nowUs, MemberState member, long positionUs) {
        member.recordPosition(nowUs, positionUs);
        typicalLagUs = Math.min(typicalLagUs + member.lagUs * TYPICAL_LAG_RISE, (double) member.lagUs);
    }

    /** Returns the position that a member must have applied to serve the request, or {@link Router#NO_POSITION}. */
    long requiredPositionUs(long nowUs, PendingRequest request) {
        return switch (request.requestClass.access()) {
            case BOUNDED -> nowUs - request.requestClass.stalenessBoundUs() + ROUNDING_US;
            case SESSION -> sessionPositionUs(nowUs, request);
            case ANY -> Router.NO_POSITION;
            case WRITE, FRESH -> LATEST_POSITION_US;
        };
    }

    private long sessionPositionUs(long nowUs, PendingRequest request) {
        if (settings.get().sessionTracking() == SessionTracking.CARRIED) {
            long sinceWriteUs = request.original.sinceWriteUs();
            boolean hasWritten = sinceWriteUs > Router.NO_WRITE;
            return hasWritten ? request.arrivedUs - sinceWriteUs + ROUNDING_US : Router.NO_POSITION;
        }
        long session = request.original.session();
        return Math.max(
                sessionCommits.requiredPositionUs(nowUs, session), peerCommits.requiredPositionUs(nowUs, session));
    }

    /**
     * Whether a request may be sent to a member according to its reported position. A position is not required for
     * writes, from members that check staleness themselves, or from the group's primary while the latest evidence of
     * its role says that it is the primary.
     */
    boolean isFreshEnough(long nowUs, PendingRequest request, MemberState member) {
        return settings.get().stalenessCheck() != StalenessCheck.SILENT
                || request.requestClass.access() == Access.WRITE
                || member.appliedUpToUs >= requiredPositionUs(nowUs, request)
                || (member == request.group.primary && member.primaryAtUs > member.replicaAtUs);
    }

    /** Records, when an attempt is sent, which position its response has to show, unless the member has it already. */
    void recordRequirement(long nowUs, PendingRequest request, MemberState member) {
        boolean isChecked = settings.get().stalenessCheck() != StalenessCheck.SILENT
                || request.requestClass.access() == Access.WRITE;
        long requiredUs = isChecked ? Router.NO_POSITION : requiredPositionUs(nowUs, request);
        request.unprovenPositionUs = member.appliedUpToUs >= requiredUs ? Router.NO_POSITION : requiredUs;
    }

    /**
     * Whether the response to the current attempt of a request reflects the data that the request requires: its member
     * had the required position before or has it by this response, is the primary, or checks staleness itself.
     */
    boolean provesFresh(PendingRequest request, Role role, long positionUs) {
        return request.unprovenPositionUs == Router.NO_POSITION
                || role == Role.PRIMARY
                || positionUs >= request.unprovenPositionUs;
    }

    /**
     * Whether a member has the required position, or checks staleness itself and has probably reached that position.
     */
    boolean isProbablyFresh(long nowUs, MemberState member, long requiredUs) {
        return member.appliedUpToUs >= requiredUs
                || (settings.get().stalenessCheck() != StalenessCheck.SILENT
                        && nowUs - member.staleAtUs > STALE_HOLD_OFF_US
                        && nowUs - requiredUs + settings.limits().staleReadWaitUs() >= excessLagUs(member));
    }

    /** Returns by how much the lag of a member's last report exceeds the typical lag. */
    double excessLagUs(MemberState member) {
        return member.lagUs - Math.min(typicalLagUs, (double) member.lagUs);
    }

    /**
     * Whether a health check might prove that a member has the required position: the position is older than the
     * typical lag, the member was not checked within {@link #MIN_CHECK_INTERVAL_US}, and it may have caught up since
     * its last report. Checking again and again for a waiting read costs more than it gains.
     */
    boolean mayBeProvenFresh(long nowUs, MemberState member, long requiredUs) {
        long missingUs = member.lagUs - (nowUs - requiredUs);
        return nowUs - requiredUs > typicalLagUs
                && nowUs - member.healthCheckAtUs > MIN_CHECK_INTERVAL_US
                && nowUs - member.positionAtUs > MIN_CATCH_UP_RATIO * missingUs;
    }
}
