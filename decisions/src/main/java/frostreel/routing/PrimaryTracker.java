package frostreel.routing;

import frostreel.routing.Router.Role;

/**
 * Tracks which member of a group is its primary. Evidence is ranked: a response of the member outranks a load report,
 * which outranks the endpoint list. Evidence that is not newer than that for the current primary is ignored.
 */
final class PrimaryTracker {
    /** Interval, in microseconds, between trial requests to a suspected primary; few clients notice half a second. */
    private static final long TRIAL_INTERVAL_US = 500_000;

    /** Time of an endpoint list entry: before any report, as it is not known how late the list is. */
    private static final long LISTED_AT_US = 0;

    private final ActiveSettings settings;
    private final PeerRoles peerRoles;
    /** Reused for each call of {@link PeerRoles#read}. */
    private final PeerRoles.Evidence peerEvidence = new PeerRoles.Evidence();

    PrimaryTracker(ActiveSettings settings, PeerRoles peerRoles) {
        this.settings = settings;
        this.peerRoles = peerRoles;
    }

    /** Records the role of a member as of {@code atUs}, and tells the other processes of the pooler. */
    void recordRole(GroupState group, MemberState member, Role role, long atUs, RoleEvidence evidence) {
        if (role == Role.REPLICA || (role == Role.PRIMARY && evidence == RoleEvidence.RESPONSE)) {
            peerRoles.publish(member.roleKey, role, atUs);
        }
        apply(group, member, role, atUs, evidence);
    }

    /** Whether the pooler may have other processes, which may know members' roles better than the endpoint list. */
    boolean mayHavePeers() {
        return peerRoles != PeerRoles.NONE;
    }

    /** Takes over what the other processes of the pooler have been told about the members of a group. */
    void mergePeerRoles(long nowUs, GroupState group) {
        if (!mayHavePeers()) {
            return;
        }
        peerRoles.refresh(nowUs);
        for (int i = 0; i < group.chain.size(); i++) {
            MemberState member = group.chain.get(i);
            peerRoles.read(member.roleKey, peerEvidence);
            if (peerEvidence.replicaAtUs() > member.replicaAtUs) {
                apply(group, member, Role.REPLICA, peerEvidence.replicaAtUs(), RoleEvidence.PEER);
            }
            if (peerEvidence.primaryAtUs() > member.primaryAtUs) {
                apply(group, member, Role.PRIMARY, peerEvidence.primaryAtUs(), RoleEvidence.PEER);
            }
        }
    }

    /**
     * Whether a member is the primary as far as this pooler has been told, whichever of its processes was. Not so if a
     * process may have been told otherwise without this one knowing.
     */
    boolean isKnownPrimary(GroupState group, MemberState member) {
        peerRoles.read(member.roleKey, peerEvidence);
        return peerEvidence.complete() && member == group.primary && member.primaryAtUs > member.replicaAtUs;
    }

    private void apply(GroupState group, MemberState member, Role role, long atUs, RoleEvidence evidence) {
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
                || evidence == RoleEvidence.PEER
                || group.primary == null
                || group.primarySuspected
                || !group.primaryConfirmed;
    }

    /** Records that the endpoint list names a usable member as primary, which counts only without other evidence. */
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

    /** Clears the primary, which is no longer known. */
    void clearPrimary(GroupState group) {
        group.primary = null;
        group.primaryConfirmed = false;
        group.primarySuspected = false;
    }

    /** Records that a member served a request; a primary that does is no longer suspected. */
    void recordSuccess(GroupState group, MemberState member) {
        if (member == group.primary) {
            group.primarySuspected = false;
        }
    }

    /** Records that a member cannot be connected to; evidence from before must not make it primary again. */
    void recordConnectFailure(long nowUs, GroupState group, MemberState member) {
        if (member == group.primary) {
            clearPrimary(group);
            group.primaryAtUs = nowUs;
        }
    }

    /** Suspects a primary that has attempts in flight but has not responded for long. */
    void suspectIfSilent(long nowUs, GroupState group) {
        MemberState primary = group.primary;
        if (primary != null && !group.primarySuspected && primary.outliers.isSilent(nowUs, primary.inFlight)) {
            group.primarySuspected = true;
            group.lastTrialUs = nowUs;
        }
    }

    /** Whether the primary is suspected and due for a trial request. */
    boolean isTrialDue(long nowUs, GroupState group) {
        return group.primarySuspected && nowUs - group.lastTrialUs >= TRIAL_INTERVAL_US;
    }

    /** Records that a trial request was sent to a suspected primary. */
    void recordTrial(long nowUs, GroupState group) {
        group.lastTrialUs = nowUs;
    }
}
