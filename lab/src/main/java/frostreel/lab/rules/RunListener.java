package frostreel.lab.rules;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.State;

/** Hears the events of a run in the order in which they happened; times are Unix microseconds. */
public interface RunListener {
    /** A pooler has taken a request. */
    default void requestTaken(long nowUs, int pooler, String id, RequestClass requestClass, long deadlineUs) {}

    /** A pooler has answered a request. */
    default void requestAnswered(long nowUs, int pooler, String id, Answer answer) {}

    /** Nobody is owed the request's answer any more: its client went away, or its pooler could not run. */
    default void requestExcused(long nowUs, String id) {}

    /** A pooler has begun an attempt. */
    default void attemptSent(long nowUs, int pooler, String id, String server) {}

    /** An attempt has ended for its pooler; {@code mayHaveRun}: nothing proves that it did not run. */
    default void attemptEnded(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {}

    /** A read was served from data up to {@code positionUs}, and had to see {@code requiredUs}. */
    default void readServed(long nowUs, String id, long positionUs, long requiredUs) {}

    /** A pooler's endpoint list has come to give a server this state. */
    default void endpointUpdated(long nowUs, int pooler, String server, State state) {}

    /** Operators suspended a server at a pooler, or restored it, whatever the endpoint list says meanwhile. */
    default void serverSuspended(long nowUs, int pooler, String server, boolean isSuspended) {}

    /** A cold server was sent more than it could take. */
    default void serverOverloaded(long nowUs, String server) {}

    /** A pooler's process was killed: what it had taken, sent and learnt is gone with it. */
    default void poolerKilled(long nowUs, int pooler) {}

    /** A pooler stands still or is gone, or runs again: nobody is owed what it could not do meanwhile. */
    default void poolerPaused(long nowUs, int pooler, boolean isPaused) {}

    /** How a request was answered. */
    enum Answer {
        SERVED,
        REJECTED,
        FAILED
    }
}
