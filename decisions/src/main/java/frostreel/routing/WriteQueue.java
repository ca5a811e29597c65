package frostreel.routing;

import frostreel.routing.Router.Idempotency;
import java.util.List;

/**
 * Releases the writes of a group that wait unsent, as the window of its primary allows. The newest goes first:
 * if the oldest did, a backlog would make every write late; this way only those wait on that already are.
 */
final class WriteQueue {
    /** All of the primary's window may be used for writes. */
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

    /** Sends what may be sent now, and takes it from the queue. */
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
     * A write waits for its backoff. It is sent to a suspected primary only as a trial, and not if it must not be
     * executed twice.
     */
    private boolean mayBeSent(long nowUs, PendingRequest request) {
        return nowUs >= request.notBeforeUs && (!request.group.primarySuspected || mayBeTrial(nowUs, request));
    }

    private boolean mayBeTrial(long nowUs, PendingRequest request) {
        return primaryTracker.isTrialDue(nowUs, request.group)
                && request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT;
    }

    /** Gives up the writes that can no longer be served. */
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
