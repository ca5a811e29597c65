package frostreel.request;

import frostreel.routing.Router;

/**
 * Carries attempts and health checks to servers, and reports the end of each once, at the earliest within the call
 * that began it. Used on the I/O thread alone.
 */
public interface BackEnd {
    /**
     * How an attempt ended, with what the answer told of its server.
     *
     * @param positionUs the commit position that the server told, 0 for none
     * @param report the server's load report, null for none
     * @param answer the bytes of the answer, set for {@link Router.Outcome#OK} alone
     */
    @SuppressWarnings("ArrayRecordComponent") // Never compared; the bytes are handed on.
    record Result(Router.Outcome outcome, Router.Role role, long positionUs, Router.Report report, byte[] answer) {
        /** A result without an answer, which tells nothing of the server. */
        public static Result of(Router.Outcome outcome) {
            return new Result(outcome, Router.Role.UNKNOWN, 0, null, null);
        }
    }

    /** The source of a long response, which can be made to wait for a slow reader. */
    interface ResponseSource {
        /** Delivers nothing more for now, but for what has been read already. */
        void pause();

        /** Delivers again. */
        void resume();
    }

    /** Takes a long response piece by piece. */
    interface ResponseStream {
        /** Takes the next bytes, which are not changed afterwards. */
        void write(byte[] bytes);
    }

    /** Is notified of the course of one attempt or health check. */
    interface AttemptListener {
        /** It has ended; for a long response, {@code result} holds what is left of it behind the pieces. */
        void ended(Result result);

        /**
         * A response too long to be buffered begins; it is delivered as it comes, and has no time-out from now on.
         *
         * @return what takes the response, null where nobody wants it any more
         */
        default ResponseStream longResponseBegins(ResponseSource source) {
            return null;
        }

        /**
         * Asked right before the first byte is written of an attempt that had to wait for its connection. Where it
         * must not begin any more, it has ended as {@link Router.Outcome#NOT_SENT}.
         */
        default boolean mayBegin() {
            return true;
        }
    }

    /**
     * Starts an attempt.
     *
     * @param timeoutUs for how long its sender will wait for the answer
     * @return the handle of the attempt
     */
    long start(String memberId, Payload payload, long timeoutUs, AttemptListener listener);

    /** Whether a byte of the attempt may have been written; an attempt that has ended has begun. */
    boolean hasBegun(long attemptHandle);

    /** Gives an attempt up; its listener is not called any more. True where the request may have reached the server. */
    boolean abandon(long attemptHandle);

    /** Asks a server for its load report. */
    void checkHealth(String memberId, AttemptListener listener);
}
