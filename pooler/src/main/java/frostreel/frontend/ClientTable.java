package frostreel.frontend;

import frostreel.util.SlotTable;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The open connections of clients, by what each is doing: idle between requests, awaiting a complete message from the
 * client, lingering after we closed our side, or else busy. Used on the I/O thread.
 */
final class ClientTable {
    private final SlotTable<ClientConnection> clients;
    /** In each set, the client that has been in it for longest comes first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    private final Set<ClientConnection> awaitingMessage = new LinkedHashSet<>();
    private final Set<ClientConnection> lingering = new LinkedHashSet<>();

    /** A table of at most {@code capacity} connections. */
    ClientTable(int capacity) {
        clients = new SlotTable<>(capacity);
    }

    /** Adds a connection and gives it its slot; false where the table is full. */
    boolean add(ClientConnection client) {
        long slot = clients.add(client);
        client.setSlot(slot);
        return slot != SlotTable.NONE;
    }

    /** The client has no request, and owes no message. */
    void markIdle(ClientConnection client) {
        awaitingMessage.remove(client);
        idle.remove(client); // It has had a request since, and is now the last to have become idle.
        idle.add(client);
    }

    /** The client owes a complete message. */
    void markAwaitingMessage(ClientConnection client) {
        idle.remove(client);
        awaitingMessage.add(client);
    }

    /** The client has an active request, or an answer that it has not read yet. */
    void markBusy(ClientConnection client) {
        idle.remove(client);
        awaitingMessage.remove(client);
    }

    /** We have closed our side of the connection, and the client has not closed its own yet. */
    void markLingering(ClientConnection client) {
        markBusy(client);
        lingering.add(client);
    }

    /** The connection is closed. */
    void remove(ClientConnection client) {
        markBusy(client);
        lingering.remove(client);
        clients.remove(client.slot());
    }

    /** Visits each connection; the visitor may close it. */
    void forEach(Consumer<ClientConnection> visitor) {
        clients.forEach(visitor);
    }

    /** A copy of the idle clients, so that they may change state while it is iterated. */
    List<ClientConnection> idleClients() {
        return new ArrayList<>(idle);
    }

    /** How many connections are open. */
    int size() {
        return clients.size();
    }

    /** How many of the clients are idle. */
    int idleCount() {
        return idle.size();
    }

    /** How many of the clients owe a complete message. */
    int awaitingMessageCount() {
        return awaitingMessage.size();
    }

    /** How many of the connections wait for their client to close its side. */
    int lingeringCount() {
        return lingering.size();
    }

    /** The client that has been idle for longest, null where none is. */
    ClientConnection longestIdle() {
        return first(idle);
    }

    /** The client that has owed a complete message for longest, null where none does. */
    ClientConnection longestAwaitingMessage() {
        return first(awaitingMessage);
    }

    /** The connection that has been lingering for longest, null where none is. */
    ClientConnection longestLingering() {
        return first(lingering);
    }

    private static ClientConnection first(Collection<ClientConnection> ordered) {
        return ordered.isEmpty() ? null : ordered.iterator().next();
    }
}
