package frostreel.routing;

import frostreel.routing.Router.Idempotency;
import java.util.List;

/**
 * Sends the queued writes of a group as the concurrency window of its primary allows, newest first. Oldest first, a
 * backlog would make every write late; newest first, only the oldest ones are late.
 */
final class WriteQueue {
    /** Share of the primary's window that writes may use. */
    private static final double WHOLE_WINDOW = 1;

    private final PrimaryTracker primaryTracker;
    private final PrimarySearch primarySearch;
    private final RetryPolicy retryPolicy;
    private final SlowStart slowStart;
    private final AttemptSender sender;
    private final RequestEnder ender;

    WriteQueue(RoutingComponents components, PrimarySearch primarySearch, AttemptSender sender, RequestEnder ender) {
        this.primarySearch = primarySearch;
        this.sender = sender;
        this.ender = ender;
        primaryTracker = components.primaryTracker;
        retryPolicy = components.retryPolicy;
        slowStart = components.slowStart;
    }

    /** Sends the writes that may be sent now, and removes them from the queue. */
    void release(long nowUs, GroupState group, List<PendingRequest> writes) {
        for (int i = writes.size() - 1; i >= 0; i--) {
            if (group.writesBlocked || isPrimaryFull(nowUs, group)) {
                return;
            }
            PendingRequest request = writes.get(i);
            if (!mayBeSent(nowUs, request)) {
                continue;
            }
            MemberState member = group.primary != null ? group.primary : primarySearch.nextCandidate(request);
            if (member == null) {
                group.writesBlocked = true;
                return;
            }
            if (send(nowUs, request, member)) {
                writes.remove(i);
            }
        }
    }

    private boolean send(long nowUs, PendingRequest request, MemberState member) {
        double utilization = slowStart.utilization(member.slowStart);
        long timeoutUs = retryPolicy.writeTimeoutUs(nowUs, request, member, utilization);
        boolean sent = sender.send(nowUs, request, member, timeoutUs);
        if (sent && request.group.primarySuspected) {
            primaryTracker.recordTrial(nowUs, request.group);
        }
        return sent;
    }

    private boolean isPrimaryFull(long nowUs, GroupState group) {
        return group.primary != null
                && !group.primarySuspected
                && !group.primary.window.hasRoom(nowUs, group.primary.inFlight, WHOLE_WINDOW);
    }

    /**
     * Whether the backoff of a write is over. To a suspected primary a write is sent only as a trial, and only if it
     * may be executed twice.
     */
    private boolean mayBeSent(long nowUs, PendingRequest request) {
        return nowUs >= request.notBeforeUs && (!request.group.primarySuspected || mayBeTrial(nowUs, request));
    }

    private boolean mayBeTrial(long nowUs, PendingRequest request) {
        return primaryTracker.isTrialDue(nowUs, request.group)
                && request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT;
    }

    /** Gives up the writes that can no longer be served. Called at each recheck. */
    void removeExpired(long nowUs, GroupState group, List<PendingRequest> writes) {
        for (int i = 0; i < writes.size(); i++) {
            PendingRequest request = writes.get(i);
            boolean waitedTooLong = group.primary == null && retryPolicy.hasWaitedTooLong(nowUs, request);
            if (waitedTooLong || retryPolicy.isExhausted(nowUs, request)) {
                writes.remove(i--);
                ender.giveUp(nowUs, request);
            }
        }
    }
}
