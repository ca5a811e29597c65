package frostreel.request;

import frostreel.routing.Router;

/**
 * Sends attempts and health checks to servers and reports the end of each exactly once, unless it was abandoned. It may
 * report the end before the call that started it returns. Used only on the I/O thread.
 */
public interface BackEnd {
    /**
     * Result of an attempt or a health check, with what the response reported about its server.
     *
     * @param positionUs the commit position that the server reported, or 0 for none
     * @param report the server's load report, or null for none
     * @param response the bytes of an attempt's response if the outcome is {@link Router.Outcome#OK}, else null
     */
    @SuppressWarnings("ArrayRecordComponent") // Results are never compared.
    record Result(Router.Outcome outcome, Router.Role role, long positionUs, Router.Report report, byte[] response) {
        /** Creates a result that contains nothing but the outcome. */
        public static Result of(Router.Outcome outcome) {
            return new Result(outcome, Router.Role.UNKNOWN, 0, null, null);
        }
    }

    /** What is known of an attempt that was abandoned. */
    enum Abandoned {
        /** It had ended before; its listener was called with the result. */
        ALREADY_ENDED,
        /** It cannot have reached its server, so it was not executed. */
        NOT_SENT,
        /** It may have reached its server. */
        MAY_HAVE_REACHED_SERVER
    }

    /** Source of a long response, which can be paused while its receiver is slow. */
    interface ResponseSource {
        /** Stops delivery until {@link #resume}; bytes that were read before are still delivered. */
        void pause();

        /** Resumes delivery. */
        void resume();
    }

    /** Receiver of a long response, piece by piece. */
    interface ResponseStream {
        /** Receives the next bytes. The caller does not modify the array afterwards. */
        void write(byte[] bytes);
    }

    /** Listener for one attempt or health check. */
    interface AttemptListener {
        /** Called when it has ended. For a long response, {@code result} contains what follows the streamed pieces. */
        void ended(Result result);

        /**
         * Called when a response begins that is too long to be buffered. It is delivered as it arrives, and the
         * attempt's timeout no longer applies.
         *
         * @return the receiver of the response, or null if it is no longer needed
         */
        default ResponseStream longResponseBegins(ResponseSource source) {
            return null;
        }

        /**
         * Whether an attempt that waited for a connection may still begin. Called immediately before its first byte is
         * written. If not, the attempt ends as {@link Router.Outcome#NOT_SENT}. The call may end or start any attempt,
         * also by way of events that it finds; the caller has to look at its state again.
         */
        default boolean mayBegin() {
            return true;
        }
    }

    /**
     * Starts an attempt.
     *
     * @param timeoutUs the remaining time for the response
     * @return the handle of the attempt
     */
    long start(String memberId, Payload payload, long timeoutUs, AttemptListener listener);

    /** Whether any byte of the attempt may have been sent; also true for an attempt that has ended. */
    boolean hasBegun(long attemptHandle);

    /** Abandons an attempt, whose listener is not called afterwards. */
    Abandoned abandon(long attemptHandle);

    /** Requests a server's load report. */
    void checkHealth(String memberId, AttemptListener listener);
}
