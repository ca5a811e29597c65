package frostreel.lab.processes;

import frostreel.lab.virtual.SimulationPlan;
import frostreel.routing.Router.RequestClass;

/** A request of a simulated client, with what a retry of it needs. */
final class LoadRequest {
    final int classIndex;
    final int session;
    /** When its client asked first; a retry keeps it. */
    final long askedUs;

    final boolean retry;
    /** What its present statement is called; each sending has a new one. */
    String id;
    /** Whether it was sent a second time because its connection ended under it. */
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
