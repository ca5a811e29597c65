package frostreel.lab.virtual;

import frostreel.lab.model.Job;
import frostreel.lab.model.Server;
import frostreel.request.BackEnd.AttemptListener;

/** An attempt of a request at a server; or a health check, whose payload is null. */
final class SimulatedAttempt {
    final Server server;
    final SimulatedPayload payload;
    final AttemptListener listener;
    long handle;
    boolean written;
    /** Whether its pooler knew of the server's last start when it sent the attempt. */
    boolean knewStart;
    /** Whether its answer may be stale, as its pooler cannot know yet that the server was demoted. */
    boolean mayBeStale;
    /** Whether the server has already let it wait once for the replay of its log. */
    boolean waitedForReplay;
    /** Null until it arrives at the server. */
    Job job;

    SimulatedAttempt(Server server, SimulatedPayload payload, AttemptListener listener) {
        this.server = server;
        this.payload = payload;
        this.listener = listener;
    }
}
