package frostreel.backend;

import frostreel.config.EndpointList;
import frostreel.routing.Router;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The servers by member name, with their addresses and states from the latest endpoint lists. */
final class ServerDirectory {
    private final boolean goneServersUsable;
    private final Map<String, Server> servers = new HashMap<>();

    /** {@code goneServersUsable}: whether servers that are gone stay usable unless they were draining before. */
    ServerDirectory(boolean goneServersUsable) {
        this.goneServersUsable = goneServersUsable;
    }

    /** The server, null if it was on no endpoint list so far. */
    Server get(String memberId) {
        return servers.get(memberId);
    }

    Collection<Server> all() {
        return servers.values();
    }

    /** {@code complete}: whether the list contains all endpoints, so that servers missing from it are gone. */
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

    /** Applies a new state of one server; its address is unchanged. */
    void updateState(String memberId, Router.State state) {
        Server server = servers.get(memberId);
        if (server != null) {
            server.setState(state, goneServersUsable);
        }
    }
}
