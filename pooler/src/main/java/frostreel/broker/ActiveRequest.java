package frostreel.broker;

import frostreel.request.Payload;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.time.Deadlines;
import frostreel.util.BufferMemory;
import frostreel.util.SlotTable;

/**
 * State of one request, from its submission until it is closed and its last attempt has ended. Owned by the {@link
 * Broker} and used only on the I/O thread.
 */
final class ActiveRequest {
    /** Value of {@link #firstMaybeExecutedUs} while no attempt can have been executed. */
    static final long NOT_EXECUTED = Long.MAX_VALUE;

    private static final int US_PER_MS = 1000;

    final RequestAttributes attributes;
    final Payload payload;
    final ResponseHandler handler;
    /** Its class in the settings that were in effect at its submission. */
    final Router.RequestClass requestClass;

    final int maxAttempts;

    /** Its handle in the {@link RequestTable}. */
    long handle;
    /** Its id in calls to and from the router, derived from the handle. */
    String routerId;

    /** The memory of its payload, which is held as long as it is in the {@link RequestTable}. */
    BufferMemory.Account memory;

    /** Whether it has its final response, or the beginning of a long one, or no longer needs one. */
    boolean closed;
    /** Whether a long response has begun, whose bytes are forwarded as they arrive. */
    boolean streaming;

    /** Number of attempts that the router has requested, including those that were not sent. */
    int attemptCount;
    /** The back end's handle of the attempt in flight, or {@link SlotTable#NONE}. */
    long attemptHandle = SlotTable.NONE;
    /** Member to which the last attempt was sent, or null if none was. */
    String lastMemberId;

    long lastSentUs;
    /** Outcome of the last attempt that ended, or null. */
    Outcome lastOutcome;
    /** Time at which the first attempt that may have been executed was sent. */
    long firstMaybeExecutedUs = NOT_EXECUTED;

    Deadlines.Deadline attemptTimeout;
    Deadlines.Deadline overdueTimeout;

    ActiveRequest(
            RequestAttributes attributes,
            Payload payload,
            ResponseHandler handler,
            Router.RequestClass requestClass,
            int maxAttempts) {
        this.attributes = attributes;
        this.payload = payload;
        this.handler = handler;
        this.requestClass = requestClass;
        this.maxAttempts = maxAttempts;
    }

    /** Closes it and cancels its overdue timeout. */
    void markClosed(Deadlines deadlines) {
        closed = true;
        deadlines.cancel(overdueTimeout);
    }

    boolean hasAttemptInFlight() {
        return attemptHandle != SlotTable.NONE;
    }

    boolean isLatestAttempt(int attempt) {
        return attempt == attemptCount - 1;
    }

    boolean isWrite() {
        return requestClass.access() == Router.Access.WRITE;
    }

    /** Time from which no attempt may begin: the deadline, or the end of the period in which a retry is safe. */
    long noAttemptFromUs() {
        long deadlineUs = attributes.deadlineUs();
        if (firstMaybeExecutedUs == NOT_EXECUTED) {
            return deadlineUs;
        }
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> deadlineUs;
            case KEYED -> Math.min(deadlineUs, firstMaybeExecutedUs + requestClass.deduplicationWindowUs());
            case NON_IDEMPOTENT -> firstMaybeExecutedUs; // In the past: there is no retry.
        };
    }

    /** Describes it for the log: the client's id for it, its attempts and the remaining time. */
    String describe(long nowUs) {
        return "request " + attributes.id() + " of class " + requestClass.name()
                + ", attempts " + attemptCount + describeLastAttempt()
                + ", " + (attributes.deadlineUs() - nowUs) / US_PER_MS + " ms left";
    }

    private String describeLastAttempt() {
        if (attemptCount == 0) {
            return "";
        }
        return ", last to " + lastMemberId + (hasAttemptInFlight() ? " in flight" : " ended " + lastOutcome);
    }
}
