package frostreel.frontend;

import frostreel.operation.ReadinessStatus;
import frostreel.pg.Messages;
import frostreel.pg.SqlState;

/** The responses to clients that the front end makes itself. */
final class FrontEndResponses {
    private static final String NO_DETAIL = null;
    private static final long US_PER_MS = 1_000;

    private FrontEndResponses() {}

    /** The message followed by ReadyForQuery. */
    static byte[] withReadyForQuery(byte[] message) {
        byte[] ready = Messages.readyForQuery();
        byte[] response = new byte[message.length + ready.length];
        System.arraycopy(message, 0, response, 0, message.length);
        System.arraycopy(ready, 0, response, message.length, ready.length);
        return response;
    }

    /** The response to the empty query: whether this process accepts clients. */
    static byte[] readiness(ReadinessStatus status) {
        if (status == ReadinessStatus.READY) {
            return Messages.emptyQueryResponse();
        }
        return error(SqlState.CANNOT_CONNECT_NOW, "takes no clients: " + status.wireName());
    }

    /** The request was rejected; {@code retryAfterUs} is its Retry-After, 0 for none. */
    static byte[] rejected(long retryAfterUs) {
        return Messages.error(
                false,
                SqlState.TOO_MANY_CONNECTIONS,
                "refused: trying again is harmless",
                retryAfterUs <= 0 ? NO_DETAIL : Long.toString(roundedUpToMs(retryAfterUs)));
    }

    private static long roundedUpToMs(long us) {
        return (us + US_PER_MS - 1) / US_PER_MS;
    }

    static byte[] cancelled() {
        return error(SqlState.QUERY_CANCELED, "cancelled by its client");
    }

    static byte[] failed() {
        return error(SqlState.TRANSACTION_RESOLUTION_UNKNOWN, "failed: whether it took effect is not known");
    }

    /** An error after which the connection stays open. */
    static byte[] error(String code, String text) {
        return Messages.error(false, code, text, NO_DETAIL);
    }

    /** An error that ends the connection. */
    static byte[] fatal(String code, String text) {
        return Messages.error(true, code, text, NO_DETAIL);
    }
}
