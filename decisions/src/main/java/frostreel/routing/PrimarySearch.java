package frostreel.routing;

import java.util.List;

/**
 * Searches the failover chain of a group for its primary. A write that was certainly not executed moves on to the
 * next member. After a full round of members without a primary, the writes of the group stay queued, and one member
 * after another is probed until one is known as primary.
 */
final class PrimarySearch {
    /**
     * Duration, in microseconds, of a full round of probes if at least as many writes are queued as the chain has
     * members: a failover is noticed within half a second, and the probes of hundreds of routers do not load the
     * members. Also the timeout of a trial write.
     */
    private static final long ROUND_US = 500_000;
    /** Time, in microseconds, after the last evidence for a primary in which there is no need to search for another. */
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
     * The next member to try, null after a full round. Each member is tried once per round, beginning with the last
     * known or listed primary. Members that were never verified, or whose zone does not know the request's idempotency
     * key, come last.
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

    /**
     * Prepares the next attempt of a write: begins another round if the primary is known or a full round found none. In
     * the latter case the writes of the group stay queued.
     */
    void continueRound(PendingRequest request) {
        GroupState group = request.group;
        boolean roundOver = group.primary == null && nextCandidate(request) == null;
        group.writesBlocked |= roundOver;
        if (roundOver || group.primary != null) {
            request.triedMembers.clear();
        }
    }

    /**
     * Probes the next member if a probe is due: by a health check if those report roles, else by a queued write that
     * was certainly not executed yet. Probes are less frequent if few writes are queued, as every router searches.
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

    /** Starts a check of whether a member is the primary; returns whether it could. */
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
