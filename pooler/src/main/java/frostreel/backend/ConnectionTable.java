package frostreel.backend;

import frostreel.util.SlotTable;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * All connections to servers, up to a limit, and which of them are idle. A server's most recently used connection is
 * used again first; the longest idle one of all servers is evicted first.
 */
final class ConnectionTable {
    private final SlotTable<ServerConnection> connections;
    /** The idle connections of all servers, the longest idle first. */
    private final Set<ServerConnection> byIdleTime = new LinkedHashSet<>();

    ConnectionTable(int maxConnections) {
        connections = new SlotTable<>(maxConnections);
    }

    boolean isFull() {
        return connections.full();
    }

    /** Adds a connection that is being opened. */
    void addOpening(ServerConnection connection) {
        connection.handle = connections.add(connection);
        connection.server.opening.add(connection);
    }

    /** The connection is open, and neither idle nor being opened from now on. */
    void onOpened(ServerConnection connection) {
        connection.server.opening.remove(connection);
    }

    void addIdle(ServerConnection connection) {
        connection.server.idle.addFirst(connection);
        byIdleTime.add(connection);
    }

    /** Takes the server's most recently used idle connection; null where none is idle. */
    ServerConnection takeIdle(Server server) {
        ServerConnection connection = server.idle.pollFirst();
        if (connection != null) {
            byIdleTime.remove(connection);
        }
        return connection;
    }

    /** The longest idle connection, to whichever server; null where none is idle. */
    ServerConnection longestIdle() {
        Iterator<ServerConnection> iterator = byIdleTime.iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }

    /** Removes a connection that was closed. */
    void remove(ServerConnection connection) {
        connections.remove(connection.handle);
        connection.server.idle.remove(connection);
        connection.server.opening.remove(connection);
        byIdleTime.remove(connection);
    }
}
