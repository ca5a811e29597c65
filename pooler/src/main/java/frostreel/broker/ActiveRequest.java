package frostreel.broker;

import frostreel.request.Payload;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.time.Deadlines;
import frostreel.util.SlotTable;

/**
 * The state of one request from its submission until it is answered and its last attempt has ended. Owned by the
 * {@link Broker}, on the I/O thread.
 */
final class ActiveRequest {
    /** {@link #firstMaybeExecutedUs} while no attempt can have been executed. */
    static final long NOT_EXECUTED = Long.MAX_VALUE;

    private static final int US_PER_MS = 1000;

    final RequestAttributes attributes;
    final Payload payload;
    final ResponseHandler handler;
    /** The rules of its class, from the settings at its submission. */
    final Router.RequestClass requestClass;

    final int maxAttempts;

    /** Its slot in the {@link RequestTable}. */
    long handle;
    /** The name by which the router knows it, made of the handle. */
    String routerId;

    /** It has its response, or needs none any more. */
    boolean closed;
    /** A long response has begun, and its bytes are forwarded as they arrive. */
    boolean streaming;

    /** How many attempts the router has asked for, including those that were not sent. */
    int attemptCount;
    /** The back end's handle of the attempt in flight, {@link SlotTable#NONE} for none. */
    long attemptHandle = SlotTable.NONE;
    /** Where the last attempt was sent, null while none was. */
    String lastMemberId;

    long lastSentUs;
    /** How the last attempt ended, null while none has. */
    Outcome lastOutcome;
    /** When the first attempt was sent that may have been executed. */
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

    /** Marks it as answered, also where it needs no response any more. */
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

    /** From when on no attempt may begin: the deadline, or the end of the time in which a retry is safe. */
    long latestBeginUs() {
        long deadlineUs = attributes.deadlineUs();
        if (firstMaybeExecutedUs == NOT_EXECUTED) {
            return deadlineUs;
        }
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> deadlineUs;
            case KEYED -> Math.min(deadlineUs, firstMaybeExecutedUs + requestClass.deduplicationWindowUs());
            case NON_IDEMPOTENT -> firstMaybeExecutedUs;
        };
    }

    /** Describes it for the log: its sender's id, its attempts and the time left. */
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
