package frostreel.lab.rules;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.State;

/**
 * Notified of the events of a run, in their order. Times are Unix microseconds; {@code pooler} is the number of a
 * pooler, and {@code id} identifies a request among those of all poolers.
 */
public interface RunListener {
    /** A pooler has taken a request. */
    default void requestTaken(long nowUs, int pooler, String id, RequestClass requestClass, long deadlineUs) {}

    /** A pooler has answered a request. */
    default void requestAnswered(long nowUs, int pooler, String id, Answer answer) {}

    /** A request needs no answer any more: its client disconnected, or its pooler could not run. */
    default void requestExcused(long nowUs, String id) {}

    /** A pooler has begun an attempt. */
    default void attemptSent(long nowUs, int pooler, String id, String server) {}

    /** An attempt has ended at its pooler; {@code mayHaveRun}: nothing proves that it did not run. */
    default void attemptEnded(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {}

    /** A read that required position {@code requiredUs} was served at {@code positionUs}. */
    default void readServed(long nowUs, String id, long positionUs, long requiredUs) {}

    /** A pooler's endpoint list now gives a server this state. */
    default void endpointUpdated(long nowUs, int pooler, String server, State state) {}

    /** Operators suspended or restored a server at a pooler, independent of the endpoint list. */
    default void serverSuspended(long nowUs, int pooler, String server, boolean isSuspended) {}

    /** A server was overloaded while it was warming up, and crashed. */
    default void serverOverloaded(long nowUs, String server) {}

    /** A pooler's process was killed; its requests, attempts and endpoint list are lost. */
    default void poolerKilled(long nowUs, int pooler) {}

    /** A pooler cannot run, or runs again; it owes no answers to requests taken or open while it cannot. */
    default void poolerPaused(long nowUs, int pooler, boolean isPaused) {}

    /** How a request was answered. */
    enum Answer {
        SERVED,
        REJECTED,
        FAILED
    }
}
