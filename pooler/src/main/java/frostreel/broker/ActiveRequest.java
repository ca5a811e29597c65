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
    /** {@link #firstMaybeRunUs} while no attempt can have reached a server. */
    static final long NEVER_RAN = Long.MAX_VALUE;

    final RequestAttributes attributes;
    final Payload payload;
    final ResponseHandler handler;
    /** The rules of its class, as the settings had them when it came. */
    final Router.RequestClass requestClass;

    final int maxAttempts;

    /** Its slot in the table of requests, and the same as the name by which the decisions know it. */
    long handle;

    String id;

    boolean answered;
    /** A long response has begun, and its bytes are passed on as they come. */
    boolean streaming;

    int attempts;
    /** The back end's handle of the attempt in flight, {@link SlotTable#NONE} for none. */
    long attemptHandle = SlotTable.NONE;

    String memberId;
    long sentUs;
    /** How the last attempt ended, null while none has. */
    Outcome lastOutcome;
    /** When the first attempt was sent that may have been executed. */
    long firstMaybeRunUs = NEVER_RAN;

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

    /** It has its answer, or needs none any more. */
    void close(Deadlines deadlines) {
        answered = true;
        deadlines.cancel(overdueTimeout);
    }

    boolean hasAttemptInFlight() {
        return attemptHandle != SlotTable.NONE;
    }

    boolean isLatestAttempt(int attempt) {
        return attempt == attempts - 1;
    }

    /** From when on no attempt may begin: the deadline, or the end of the time in which a retry is safe. */
    long beginByUs() {
        if (firstMaybeRunUs == NEVER_RAN || requestClass.idempotency() == Router.Idempotency.IDEMPOTENT) {
            return attributes.deadlineUs();
        }
        return requestClass.idempotency() == Router.Idempotency.NON_IDEMPOTENT
                ? firstMaybeRunUs
                : Math.min(attributes.deadlineUs(), firstMaybeRunUs + requestClass.windowUs());
    }

    /** What is known of it, for the log: its sender's id, its attempts and the time left. */
    String describe(long nowUs) {
        return "request " + attributes.id() + " of class " + requestClass.name() + ", attempts " + attempts
                + (attempts == 0
                        ? ""
                        : ", last to " + memberId + (hasAttemptInFlight() ? " and out" : " ended " + lastOutcome))
                + ", left " + (attributes.deadlineUs() - nowUs) / 1000 + " ms";
    }
}
