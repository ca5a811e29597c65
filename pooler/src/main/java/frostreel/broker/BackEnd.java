package frostreel.broker;

import frostreel.routing.Router;

/**
 * Carries attempts and probes to servers, and reports each one's end once, at the earliest within the call.
 */
public interface BackEnd {
    /** How an attempt ended, with what the answer told of the server; {@code answer} is set for OK. */
    record Result(Router.Outcome outcome, Router.Role role, long positionUs, Router.Report report, byte[] answer) {
        public static Result of(Router.Outcome outcome) {
            return new Result(outcome, Router.Role.UNKNOWN, 0, null, null);
        }
    }

    /** The source of a long answer, which waits while the other side is slower. */
    interface ResponseSource {
        void pause();

        void resume();
    }

    /** Where a long answer goes, piece by piece. */
    interface ResponseStream {
        void part(byte[] bytes);
    }

    /** Where an attempt's or a probe's result goes. */
    interface AttemptListener {
        /** For a long answer, what is left of it behind the pieces. */
        void ended(Result result);

        /**
         * An answer too long to be held begins. It goes on as it comes, and from now on there is no time-out;
         * null where nobody wants it any more.
         */
        default ResponseStream begins(ResponseSource from) {
            return null;
        }

        /**
         * Asked right before the first byte is written of an attempt that had to wait for its connection;
         * false where it must not begin any more. It is then over, as moot.
         */
        default boolean mayBegin() {
            return true;
        }
    }

    /** Begins an attempt; the returned handle names it to {@link #abandon}. */
    long start(String memberId, Payload payload, long patienceUs, AttemptListener sink);

    /** Whether a byte of the attempt may have been written; an attempt that has ended has begun. */
    boolean begun(long attempt);

    /** Stops waiting; nothing is reported any more. True where the request may have reached the server. */
    boolean abandon(long attempt);

    /** Asks a server for its report. */
    void probe(String memberId, AttemptListener sink);
}
