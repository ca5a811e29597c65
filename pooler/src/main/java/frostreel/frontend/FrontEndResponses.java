package frostreel.frontend;

import frostreel.operation.ReadinessStatus;
import frostreel.pg.Messages;
import frostreel.pg.SqlState;

/** Creates the responses that the front end sends to clients without a server: errors and readiness. */
final class FrontEndResponses {
    private static final String NO_DETAIL = null;
    private static final long US_PER_MS = 1_000;

    private FrontEndResponses() {}

    /** Returns the message followed by ReadyForQuery. */
    static byte[] withReadyForQuery(byte[] message) {
        byte[] ready = Messages.readyForQuery();
        byte[] response = new byte[message.length + ready.length];
        System.arraycopy(message, 0, response, 0, message.length);
        System.arraycopy(ready, 0, response, message.length, ready.length);
        return response;
    }

    /** Returns the response to an empty query, which clients send as a readiness check. */
    static byte[] readiness(ReadinessStatus status) {
        if (status == ReadinessStatus.READY) {
            return Messages.emptyQueryResponse();
        }
        return error(SqlState.CANNOT_CONNECT_NOW, "takes no clients: " + status.wireName());
    }

    /** Returns the error for a rejected request; {@code retryAfterUs} is its Retry-After, 0 for none. */
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

    /** Returns an error after which the connection stays open. */
    static byte[] error(String code, String text) {
        return Messages.error(false, code, text, NO_DETAIL);
    }

    /** Returns an error after which the connection is closed. */
    static byte[] fatal(String code, String text) {
        return Messages.error(true, code, text, NO_DETAIL);
    }
}
