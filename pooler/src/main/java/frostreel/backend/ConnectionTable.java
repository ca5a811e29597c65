package frostreel.backend;

import frostreel.util.SlotTable;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * All connections to servers, up to a limit, with an index of the idle ones. Of a server's idle connections the most
 * recently used is reused first; of all idle connections the longest idle is evicted first.
 */
final class ConnectionTable {
    private final SlotTable<ServerConnection> connections;
    /** The idle connections of all servers, ordered from the longest idle to the most recently used. */
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

    /** Marks a connection as open; it is not idle until {@link #addIdle}. */
    void onOpened(ServerConnection connection) {
        connection.server.opening.remove(connection);
    }

    void addIdle(ServerConnection connection) {
        connection.server.idle.addFirst(connection);
        byIdleTime.add(connection);
    }

    /** Removes and returns the server's most recently used idle connection, null if it has none. */
    ServerConnection takeIdle(Server server) {
        ServerConnection connection = server.idle.pollFirst();
        if (connection != null) {
            byIdleTime.remove(connection);
        }
        return connection;
    }

    /** Visits each idle connection; the visitor must not change its state. */
    void forEachIdle(Consumer<ServerConnection> visitor) {
        byIdleTime.forEach(visitor);
    }

    /** The longest idle connection to any server, null if none is idle. */
    ServerConnection longestIdle() {
        Iterator<ServerConnection> iterator = byIdleTime.iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }

    /** Removes a closed connection. */
    void remove(ServerConnection connection) {
        connections.remove(connection.handle);
        connection.server.idle.remove(connection);
        connection.server.opening.remove(connection);
        byIdleTime.remove(connection);
    }
}
