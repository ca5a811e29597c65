package frostreel.lab.virtual;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The idle connections of one pooler, by server id; each closes after a time without use. */
final class IdleConnections {
    private final long idleCloseUs;
    /** By server id: since when each connection is idle, oldest first. */
    private final Map<String, ArrayDeque<Long>> idleSinceUs = new HashMap<>();

    IdleConnections(long idleCloseUs) {
        this.idleCloseUs = idleCloseUs;
    }

    /** Takes the connection that was used last out of the idle ones; false where there is none. */
    boolean take(String serverId, long nowUs) {
        ArrayDeque<Long> connections = idleSinceUs.computeIfAbsent(serverId, id -> new ArrayDeque<>());
        connections.removeIf(sinceUs -> nowUs - sinceUs >= idleCloseUs);
        return connections.pollLast() != null;
    }

    /** Adds a connection, to a server to which one was taken or opened before. */
    void add(String serverId, long nowUs) {
        idleSinceUs.get(serverId).add(nowUs);
    }
}
