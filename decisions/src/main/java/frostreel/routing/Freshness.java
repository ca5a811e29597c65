package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.SessionTracking;
import frostreel.routing.Router.Settings;
import frostreel.routing.Router.StalenessCheck;

/**
 * Tells which position of the log a read needs, and which members have it or may have it. A position is the
 * time up to which all commits are applied, in microseconds.
 */
final class Freshness {
    /** Added to a required position, in microseconds: positions and ages are reported in milliseconds. */
    private static final long ROUNDING_US = 2000;
    /** What a read of the latest commit requires: no replica has it. */
    private static final long LATEST_POSITION_US = Long.MAX_VALUE;
    /** A member that found itself too stale isn't taken for fresh for so many microseconds. */
    private static final long STALE_HOLD_OFF_US = 500_000;
    /** The usual lag of reports, in microseconds, before the first one. */
    private static final double INITIAL_TYPICAL_LAG_US = 250_000;
    /** Weight of one report's lag in the usual lag; that falls at once and rises slowly. */
    private static final double TYPICAL_LAG_RISE = 0.01;
    /** A member is checked for a read at most this often, in microseconds: checks are work for it too. */
    private static final long MIN_CHECK_INTERVAL_US = 250_000;
    /** Seconds that a replica needs, at the least, to apply one second of the log. */
    private static final double MIN_CATCH_UP_RATIO = 0.7;
    /** Commits are remembered for this many of the longest deadlines. */
    private static final long RETENTION_DEADLINES = 20;

    private final SessionCommits sessionCommits = new SessionCommits();
    private final PeerCommits peerCommits;
    private final ActiveSettings settings;
    private long retentionUs;
    /** How far reports are behind where a replica keeps up: mostly their own age. */
    private double typicalLagUs = INITIAL_TYPICAL_LAG_US;

    Freshness(ActiveSettings settings, PeerCommits peerCommits) {
        this.settings = settings;
        this.peerCommits = peerCommits;
        onSettings(settings.get());
    }

    /** New settings are in force; what older ones required to be remembered still is. */
    void onSettings(Settings newSettings) {
        for (RequestClass requestClass : newSettings.classes()) {
            retentionUs = Math.max(retentionUs, RETENTION_DEADLINES * requestClass.deadlineUs());
        }
    }

    /** How long the commits of sessions and of members that are gone are remembered. */
    long retentionUs() {
        return retentionUs;
    }

    /** An attempt is sent; writes of sessions are remembered where the settings say so. */
    void recordSend(long nowUs, PendingRequest request) {
        if (isTrackedWrite(request)) {
            sessionCommits.recordSend(nowUs, request.original.session());
        }
    }

    /** An attempt ended. */
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

    /** A member reported its position. */
    void recordReport(long nowUs, MemberState member, long positionUs) {
        member.recordPosition(nowUs, positionUs);
        typicalLagUs = Math.min(typicalLagUs + member.lagUs * TYPICAL_LAG_RISE, (double) member.lagUs);
    }

    /** The position that a member must have applied to answer the request, or {@link Router#NO_POSITION}. */
    long requiredPositionUs(long nowUs, PendingRequest request) {
        return switch (request.requestClass.access()) {
            case BOUNDED -> nowUs - request.requestClass.boundUs() + ROUNDING_US;
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
     * Whether a request may be sent to a member by what that reported. The primary is excused until it, or
     * another member as primary, reports that it is a replica.
     */
    boolean isFreshEnough(long nowUs, PendingRequest request, MemberState member) {
        return settings.get().stalenessCheck() != StalenessCheck.SILENT
                || request.requestClass.access() == Access.WRITE
                || member.appliedUpToUs >= requiredPositionUs(nowUs, request)
                || (member == request.group.primary && member.primaryAtUs > member.replicaAtUs);
    }

    /** Whether a member has the required position, or else checks that itself and probably has it. */
    boolean isProbablyFresh(long nowUs, MemberState member, long requiredUs) {
        return member.appliedUpToUs >= requiredUs
                || (settings.get().stalenessCheck() != StalenessCheck.SILENT
                        && nowUs - member.staleAtUs > STALE_HOLD_OFF_US
                        && nowUs - requiredUs + settings.limits().holdsForUs() >= excessLagUs(member));
    }

    /** By how much a member's last report was further behind than reports usually are. */
    double excessLagUs(MemberState member) {
        return member.lagUs - Math.min(typicalLagUs, (double) member.lagUs);
    }

    /**
     * Whether a health check might prove that a member has the required position: that isn't too recent, the
     * member wasn't checked just now, and it can have caught up since its last report. A waiting read that
     * checks again and again costs more than it is worth.
     */
    boolean mayBeProvenFresh(long nowUs, MemberState member, long requiredUs) {
        long missingUs = member.lagUs - (nowUs - requiredUs);
        return nowUs - requiredUs > typicalLagUs
                && nowUs - member.healthCheckAtUs > MIN_CHECK_INTERVAL_US
                && nowUs - member.positionAtUs > MIN_CATCH_UP_RATIO * missingUs;
    }
}
