package frostreel.lab.processes;

import frostreel.lab.virtual.SimulationPlan;
import frostreel.routing.Router.RequestClass;

/** A request of a simulated client, with the state that its retry needs. */
final class LoadRequest {
    final int classIndex;
    final int session;
    /** When the client first sent it; a retry keeps this time. */
    final long askedUs;

    final boolean retry;
    /** The id of its present statement; each attempt has a new one. */
    String id;
    /** Whether it was sent again because its connection was closed as it was sent. */
    boolean resent;

    LoadRequest(int classIndex, int session, long askedUs, boolean retry) {
        this.classIndex = classIndex;
        this.session = session;
        this.askedUs = askedUs;
        this.retry = retry;
    }

    LoadRequest asRetry() {
        return new LoadRequest(classIndex, session, askedUs, true);
    }

    RequestClass requestClass() {
        return SimulationPlan.KINDS.get(classIndex).requestClass();
    }
}
