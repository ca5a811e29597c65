package frostreel.control;

import frostreel.backend.ServerPool;
import frostreel.broker.Broker;
import frostreel.config.EndpointList;
import frostreel.operation.MaintenanceOverlay;
import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.List;

/**
 * Publishes endpoint lists to the server pool and, through the broker, to the router, with the operators' commands
 * applied to the servers. Every endpoint list is published here. Confined to the I/O thread.
 */
final class EndpointPublisher {
    private final MaintenanceOverlay overlay;
    private final ServerPool pool;
    private final Broker broker;

    EndpointPublisher(MaintenanceOverlay overlay, ServerPool pool, Broker broker) {
        this.overlay = overlay;
        this.pool = pool;
        this.broker = broker;
    }

    /** Publishes an endpoint list. */
    void publish(EndpointList list, Router.ListKind kind) {
        boolean complete = kind != Router.ListKind.CHANGES;
        List<Router.Member> listed =
                list.endpoints().stream().map(EndpointList.Endpoint::member).toList();
        List<Router.Member> effective = complete ? overlay.applyComplete(listed) : overlay.applyChanges(listed);
        pool.updateEndpoints(withAddressesOf(list, effective), complete);
        broker.updateMembers(kind, effective);
        pool.closeUnusableConnections();
    }

    /** Pairs each member with the address at the same index; the overlay keeps the order and number of members. */
    private static List<EndpointList.Endpoint> withAddressesOf(EndpointList list, List<Router.Member> members) {
        List<EndpointList.Endpoint> endpoints = new ArrayList<>(members.size());
        for (int i = 0; i < members.size(); i++) {
            endpoints.add(new EndpointList.Endpoint(
                    members.get(i), list.endpoints().get(i).address()));
        }
        return endpoints;
    }

    /**
     * Publishes the new state of a server after a command on it; does nothing if discovery has not listed the
     * server.
     */
    void republish(String serverId) {
        overlay.effectiveMember(serverId).ifPresent(member -> {
            pool.updateState(serverId, member.state());
            broker.updateMembers(Router.ListKind.CHANGES, List.of(member));
            pool.closeUnusableConnections();
        });
    }
}
