package frostreel.broker;

import willowfield.Router;

/**
 * Carries attempts and probes to servers, and reports each one's end once, at the earliest within the call.
 */
public interface BackEnd {
    /** How an attempt ended, with what the answer told of the server; {@code answer} is set for OK. */
    record Result(Router.Outcome outcome, Router.Role role, long positionUs, Router.Report report,
            byte[] answer) {
        public static Result of(Router.Outcome outcome) {
            return new Result(outcome, Router.Role.UNKNOWN, 0, null, null);
        }
    }

    /** Where an attempt's or a probe's result goes. */
    interface Sink {
        void ended(Result result);
    }

    /** Begins an attempt; the returned handle names it to {@link #abandon}. */
    long start(String memberId, Payload payload, long patienceUs, Sink sink);

    /** Stops waiting; nothing is reported any more. True where the request may have reached the server. */
    boolean abandon(long attempt);

    /** Asks a server for its report. */
    void probe(String memberId, Sink sink);
}
