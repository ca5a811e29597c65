package frostreel.routing;

import frostreel.routing.Router.Role;

/**
 * Tracks which member of a group is its primary. Evidence is ranked: an answer of the member outranks a health
 * check, which outranks the endpoint list; evidence older than that for the present primary is ignored.
 */
final class PrimaryTracker {
    /** How often, in microseconds, a request is tried on a suspected primary: few clients notice half a second. */
    private static final long TRIAL_INTERVAL_US = 500_000;

    /** An entry of the list counts as older than any report, since it is not known how late the list is. */
    private static final long LISTED_AT_US = 0;

    private final ActiveSettings settings;

    PrimaryTracker(ActiveSettings settings) {
        this.settings = settings;
    }

    /** A member reported its role, as of this time. */
    void recordRole(GroupState group, MemberState member, Role role, long atUs, RoleEvidence evidence) {
        if (role == Role.PRIMARY && atUs > member.replicaAtUs) {
            member.primaryAtUs = Math.max(member.primaryAtUs, atUs);
            if (member.isUsable(settings.rules())) {
                acceptPrimary(group, member, atUs, evidence);
            }
        } else if (role == Role.REPLICA && atUs > member.primaryAtUs) {
            member.replicaAtUs = Math.max(member.replicaAtUs, atUs);
            if (group.primary == member) {
                clearPrimary(group);
            }
        }
    }

    private void acceptPrimary(GroupState group, MemberState member, long atUs, RoleEvidence evidence) {
        if (group.primary == member) {
            group.primaryAtUs = Math.max(group.primaryAtUs, atUs);
            group.primaryConfirmed |= evidence == RoleEvidence.RESPONSE;
        } else if (atUs > group.primaryAtUs && outranksPrimary(group, evidence)) {
            setPrimary(group, member, atUs, evidence);
        }
    }

    private static boolean outranksPrimary(GroupState group, RoleEvidence evidence) {
        return evidence == RoleEvidence.RESPONSE
                || group.primary == null
                || group.primarySuspected
                || !group.primaryConfirmed;
    }

    /** The endpoint list names a usable member as primary, which counts until anything else is known. */
    void recordListedPrimary(GroupState group, MemberState member) {
        group.firstCandidate = member;
        if (group.primaryAtUs == MemberState.NO_ROLE_EVIDENCE && member.replicaAtUs == MemberState.NO_ROLE_EVIDENCE) {
            member.primaryAtUs = Math.max(member.primaryAtUs, LISTED_AT_US);
            setPrimary(group, member, LISTED_AT_US, RoleEvidence.LIST);
        }
    }

    private void setPrimary(GroupState group, MemberState member, long atUs, RoleEvidence evidence) {
        if (group.writesBlocked || group.primarySuspected) {
            member.window.restart();
        }
        group.primary = member;
        group.firstCandidate = member;
        group.primaryAtUs = atUs;
        group.primaryConfirmed = evidence == RoleEvidence.RESPONSE;
        group.writesBlocked = false;
        group.primarySuspected = false;
    }

    /** The primary is no longer known. */
    void clearPrimary(GroupState group) {
        group.primary = null;
        group.primaryConfirmed = false;
        group.primarySuspected = false;
    }

    /** A member served a request: a primary that does is no longer suspected. */
    void recordSuccess(GroupState group, MemberState member) {
        if (member == group.primary) {
            group.primarySuspected = false;
        }
    }

    /** A member cannot be connected to: older evidence must not make it primary again. */
    void recordConnectFailure(long nowUs, GroupState group, MemberState member) {
        if (member == group.primary) {
            clearPrimary(group);
            group.primaryAtUs = nowUs;
        }
    }

    /** Suspects a primary that has attempts in flight and has long been silent. */
    void suspectIfSilent(long nowUs, GroupState group) {
        MemberState primary = group.primary;
        if (primary != null && !group.primarySuspected && primary.outliers.isSilent(nowUs, primary.inFlight)) {
            group.primarySuspected = true;
            group.lastTrialUs = nowUs;
        }
    }

    /** Whether the primary is suspected and one request may be sent to it now as a trial. */
    boolean isTrialDue(long nowUs, GroupState group) {
        return group.primarySuspected && nowUs - group.lastTrialUs >= TRIAL_INTERVAL_US;
    }

    /** A request was sent to a suspected primary. */
    void recordTrial(long nowUs, GroupState group) {
        group.lastTrialUs = nowUs;
    }
}
