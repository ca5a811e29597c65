package frostreel.request;

import frostreel.routing.Router;

/**
 * Carries attempts and health checks to servers, and reports the end of each once, at the earliest within the call
 * that began it. Used on the I/O thread alone.
 */
public interface BackEnd {
    /**
     * How an attempt ended, with what the response reported of its server.
     *
     * @param positionUs the commit position that the server reported, 0 for none
     * @param report the server's load report, null for none
     * @param response the bytes of the response, set for {@link Router.Outcome#OK} alone
     */
    @SuppressWarnings("ArrayRecordComponent") // Never compared; the bytes are passed on.
    record Result(Router.Outcome outcome, Router.Role role, long positionUs, Router.Report report, byte[] response) {
        /** A result without a response, from which nothing is known of the server. */
        public static Result of(Router.Outcome outcome) {
            return new Result(outcome, Router.Role.UNKNOWN, 0, null, null);
        }
    }

    /** The source of a long response, which can be paused for a slow reader. */
    interface ResponseSource {
        /** Delivers nothing more until {@link #resume}, except what was read already. */
        void pause();

        /** Delivers again. */
        void resume();
    }

    /** Receives a long response piece by piece. */
    interface ResponseStream {
        /** Takes the next bytes, which are not changed afterwards. */
        void write(byte[] bytes);
    }

    /** Is notified of the progress of one attempt or health check. */
    interface AttemptListener {
        /** It has ended; for a long response, {@code result} holds the part of it that follows the pieces. */
        void ended(Result result);

        /**
         * A response too long to be buffered begins; it is delivered as it arrives, and has no timeout from now on.
         *
         * @return the receiver of the response, null where it is no longer wanted
         */
        default ResponseStream longResponseBegins(ResponseSource source) {
            return null;
        }

        /**
         * Asked right before the first byte is written of an attempt that had to wait for its connection. If it
         * may not begin any more, it ends as {@link Router.Outcome#NOT_SENT}.
         */
        default boolean mayBegin() {
            return true;
        }
    }

    /**
     * Starts an attempt.
     *
     * @param timeoutUs how long its sender will wait for the response
     * @return the handle of the attempt
     */
    long start(String memberId, Payload payload, long timeoutUs, AttemptListener listener);

    /** Whether a byte of the attempt may have been written; true for an attempt that has ended. */
    boolean hasBegun(long attemptHandle);

    /** Abandons an attempt; its listener is not called any more. True where the request may have reached the server. */
    boolean abandon(long attemptHandle);

    /** Asks a server for its load report. */
    void checkHealth(String memberId, AttemptListener listener);
}
