package frostreel.frontend;

import frostreel.operation.ServingLifecycle;
import frostreel.time.Clock;

/**
 * Closes the connections of clients between requests while the lifecycle asks clients to leave: when draining, at a
 * handover and at shutdown. Used on the I/O thread.
 */
final class ClientDrainer {
    private final Clock clock;
    private final ServingLifecycle lifecycle;
    private final ClientTable clients;
    private final ClientLimits limits;

    ClientDrainer(Clock clock, ServingLifecycle lifecycle, ClientTable clients, ClientLimits limits) {
        this.clock = clock;
        this.lifecycle = lifecycle;
        this.clients = clients;
        this.limits = limits;
    }

    /** If the client is idle, closes its connection where clients are to leave, or else keeps it, within the limits. */
    void onIdle(ClientConnection client) {
        if (!client.isIdle()) {
            return;
        }
        if (lifecycle.closesAfterResponse(clock.now())) {
            clients.markBusy(client); // No candidate for an eviction, as it is being closed.
            client.closeUnlessRequestPending();
        } else {
            clients.markIdle(client);
            limits.closeExcessIdle();
        }
    }

    /** Whether even clients are closed that have not sent a query yet. */
    boolean closesUnused() {
        return lifecycle.closesUnused(clock.now());
    }

    /** Closes idle clients, and at last unused ones, once the lifecycle says so. */
    void closeIfDue(long nowUs) {
        if (nowUs < lifecycle.closeIdleAtUs()) {
            return;
        }
        if (lifecycle.closesUnused(nowUs)) {
            clients.forEach(this::onIdle);
        } else {
            clients.idleClients().forEach(this::onIdle);
        }
    }
}
