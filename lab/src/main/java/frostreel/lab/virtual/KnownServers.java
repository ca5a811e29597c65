package frostreel.lab.virtual;

import frostreel.lab.model.Server;
import frostreel.routing.Router;
import java.util.HashMap;
import java.util.Map;

/** What one pooler has been notified of the servers' starts and roles. */
final class KnownServers {
    /** By server id: its last start, according to the endpoint list. */
    private final Map<String, Long> startTimesUs = new HashMap<>();
    /** By server id: when it last answered as a replica. */
    private final Map<String, Long> lastSeenReplicaUs = new HashMap<>();

    void recordEndpoint(Router.Member member) {
        startTimesUs.put(member.id(), member.startedUs());
    }

    void recordReplica(Server server, long nowUs) {
        lastSeenReplicaUs.put(server.id, nowUs);
    }

    /** Whether the endpoint list has reported the server's last start. */
    boolean isStartKnown(Server server) {
        return startTimesUs.getOrDefault(server.id, 0L) == server.startedUs();
    }

    /** Whether the server has been primary since it last answered as a replica, so that a demotion may be unknown. */
    boolean mayBeDemoted(Server server) {
        return server.primarySinceUs() > lastSeenReplicaUs.getOrDefault(server.id, 0L);
    }
}
