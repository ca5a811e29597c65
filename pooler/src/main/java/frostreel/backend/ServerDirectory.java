package frostreel.backend;

import frostreel.config.EndpointList;
import frostreel.routing.Router;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The servers by the names of their members, with the addresses and states of the latest endpoint lists. */
final class ServerDirectory {
    private final boolean goneServersUsable;
    private final Map<String, Server> servers = new HashMap<>();

    /** {@code goneServersUsable}: whether servers that are gone may still be sent attempts. */
    ServerDirectory(boolean goneServersUsable) {
        this.goneServersUsable = goneServersUsable;
    }

    /** The server, null where no list has named it. */
    Server get(String memberId) {
        return servers.get(memberId);
    }

    Collection<Server> all() {
        return servers.values();
    }

    /** {@code complete}: whether the list names all endpoints, so that one that is not on it is gone. */
    void update(List<EndpointList.Endpoint> endpoints, boolean complete) {
        Set<Server> listed = new HashSet<>();
        for (EndpointList.Endpoint endpoint : endpoints) {
            Server server = servers.computeIfAbsent(endpoint.member().id(), id -> new Server());
            listed.add(server);
            server.setAddress(endpoint.address());
            server.setState(endpoint.member().state(), goneServersUsable);
        }
        if (complete) {
            servers.values().stream()
                    .filter(server -> !listed.contains(server))
                    .forEach(server -> server.setState(Router.State.GONE, goneServersUsable));
        }
    }

    /** Takes a new state of one server, at the same address. */
    void updateState(String memberId, Router.State state) {
        Server server = servers.get(memberId);
        if (server != null) {
            server.setState(state, goneServersUsable);
        }
    }
}
