package frostreel.lab.rules;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.State;

/** What a host tells of a run, in the order in which it happened; times are Unix microseconds. */
public interface RunListener {
    /** A pooler has taken a request. */
    default void asked(long nowUs, int pooler, String id, RequestClass c, long deadlineUs) {}

    /** A pooler answered: served, refused or failed. */
    default void answered(long nowUs, int pooler, String id, Answer answer) {}

    /** A pooler began an attempt. */
    default void sent(long nowUs, int pooler, String id, String server) {}

    /** An attempt ended for its pooler; {@code mayHaveRun}: nothing proves that it did not. */
    default void ended(long nowUs, int pooler, String id, Outcome outcome, boolean mayHaveRun) {}

    /** A read was served from data up to {@code positionUs}, and had to see {@code needUs}. */
    default void read(long nowUs, String id, long positionUs, long needUs) {}

    /** A pooler's list came to name a server so. */
    default void told(long nowUs, int pooler, String server, State state) {}

    /** Operators took a server out at a pooler, or called it back, whatever its list says meanwhile. */
    default void takenOut(long nowUs, int pooler, String server, boolean isOut) {}

    /** A cold server was sent more than it could take. */
    default void fell(long nowUs, String server) {}

    /** A request's client went away, or its pooler could not run: nobody is owed its answer any more. */
    default void excused(long nowUs, String id) {}

    /** A pooler's process was killed: what it had taken, sent and been told is gone with it. */
    default void died(long nowUs, int pooler) {}

    /** A pooler stands still or is gone, or goes on: nobody is owed what it could not do meanwhile. */
    default void paused(long nowUs, int pooler, boolean isPaused) {}

    /** How a request was answered. */
    enum Answer {
        SERVED,
        REFUSED,
        FAILED
    }
}
