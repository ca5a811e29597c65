package frostreel.frontend;

import frostreel.operation.ServingLifecycle;
import frostreel.time.Clock;

/**
 * Closes client connections between requests while the lifecycle requires it: when draining, at a handover and at
 * shutdown. Used on the I/O thread.
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

    /** Closes an idle client if the lifecycle requires it, or else limits the number of idle clients. */
    void onIdle(ClientConnection client) {
        if (!client.isIdle()) {
            return;
        }
        if (lifecycle.closesAfterResponse(clock.now())) {
            clients.markBusy(client); // It is being closed, and must not be selected for eviction.
            client.closeUnlessRequestPending();
        } else {
            clients.markIdle(client);
            limits.closeExcessIdle();
        }
    }

    /** Whether to close also clients that have not sent a query yet. */
    boolean closesUnused() {
        return lifecycle.closesUnused(clock.now());
    }

    /** Closes idle clients, and later also unused ones, once the lifecycle requires it. */
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
