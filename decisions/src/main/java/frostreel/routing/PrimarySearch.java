package frostreel.routing;

import java.util.List;

/**
 * Finds the primary of a group when none is known, along the failover chain. A write that was certainly not
 * executed moves on to the next member; when a full round of members has declined, the group holds its writes
 * and the search looks at one member after another until one answers as primary.
 */
final class PrimarySearch {
    /**
     * A full round of the chain takes this long, in microseconds, if at least as many writes wait: a failover
     * is noticed within half a second, and the checks of hundreds of routers don't load the members.
     */
    private static final long ROUND_US = 500_000;
    /** A primary that was heard within this time, in microseconds, is not searched for. */
    private static final long RECENT_US = 2_000_000;

    private final HealthChecker healthChecker;
    private final AttemptSender sender;
    private final ActiveSettings settings;

    PrimarySearch(ActiveSettings settings, HealthChecker healthChecker, AttemptSender sender) {
        this.settings = settings;
        this.healthChecker = healthChecker;
        this.sender = sender;
    }

    /**
     * The next member to try: each once, from where the primary was last known, those that were never verified
     * and those of zones that don't know the request's key last. Null after a full round.
     */
    MemberState nextCandidate(PendingRequest request) {
        List<MemberState> chain = request.group.chain;
        int start = firstIndexOfRound(request.group);
        MemberState lastResort = null;
        for (int i = 0; i < chain.size(); i++) {
            MemberState member = chain.get((start + i) % chain.size());
            if (!member.isUsable(settings.rules()) || request.triedMembers.contains(member)) {
                continue;
            }
            if (member.verified && request.mayGoToZone(member.zone)) {
                return member;
            }
            lastResort = lastResort == null ? member : lastResort;
        }
        return lastResort;
    }

    private static int firstIndexOfRound(GroupState group) {
        return group.firstCandidate == null ? 0 : Math.max(0, group.chain.indexOf(group.firstCandidate));
    }

    /** Starts the next round for a write whose attempt failed; after a round without a primary writes are held. */
    void continueRound(PendingRequest request) {
        GroupState group = request.group;
        boolean roundOver = group.primary == null && nextCandidate(request) == null;
        group.writesBlocked |= roundOver;
        if (roundOver || group.primary != null) {
            request.triedMembers.clear();
        }
    }

    /**
     * Looks at the next member, by a health check or else by a waiting write that was certainly not executed
     * yet. Slower where few writes wait, as every router searches.
     */
    void search(long nowUs, GroupState group, List<PendingRequest> writes) {
        if (!isSearchDue(nowUs, group, writes)) {
            return;
        }
        group.lastProbeUs = nowUs;
        for (int i = 0; i < group.chain.size(); i++) {
            MemberState member = group.chain.get(group.nextProbeIndex++ % group.chain.size());
            boolean mayBeProbed = member.isUsable(settings.rules()) && !member.healthCheckPending;
            if (mayBeProbed && probe(nowUs, group, member, writes)) {
                return;
            }
        }
    }

    private static boolean isSearchDue(long nowUs, GroupState group, List<PendingRequest> writes) {
        if (group.chain.isEmpty()) {
            return false;
        }
        boolean heardRecently = nowUs - group.primaryAtUs < RECENT_US;
        boolean wanted = isUrgent(group) || !(writes.isEmpty() || heardRecently);
        long intervalUs = ROUND_US / Math.max(1, Math.min(group.chain.size(), writes.size()));
        return wanted && nowUs - group.lastProbeUs >= intervalUs;
    }

    private static boolean isUrgent(GroupState group) {
        return group.primary == null || group.writesBlocked || group.primarySuspected;
    }

    /** Has a member show whether it is the primary, if there is a way to do so. */
    private boolean probe(long nowUs, GroupState group, MemberState member, List<PendingRequest> writes) {
        if (healthChecker.reportsPositions()) {
            healthChecker.check(nowUs, member);
            return true;
        }
        return isUrgent(group) && sendTrialWrite(nowUs, member, writes);
    }

    private boolean sendTrialWrite(long nowUs, MemberState member, List<PendingRequest> writes) {
        for (int i = 0; i < writes.size(); i++) {
            PendingRequest request = writes.get(i);
            if (!request.mayHaveRun && sender.send(nowUs, request, member, ROUND_US)) {
                writes.remove(i);
                return true;
            }
        }
        return false;
    }
}
