package frostreel.frontend;

import frostreel.util.SlotTable;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The open client connections by state: idle between requests, awaiting a complete message from the client, lingering
 * after this process has closed its side, or busy. Used on the I/O thread.
 */
final class ClientTable {
    private final SlotTable<ClientConnection> clients;
    /** The idle clients; like the sets below, in the order in which they entered this state. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    private final Set<ClientConnection> awaitingMessage = new LinkedHashSet<>();
    private final Set<ClientConnection> lingering = new LinkedHashSet<>();

    /** Creates a table for at most {@code capacity} connections. */
    ClientTable(int capacity) {
        clients = new SlotTable<>(capacity);
    }

    /** Adds a connection and sets its slot; returns false if the table is full. */
    boolean add(ClientConnection client) {
        long slot = clients.add(client);
        client.setSlot(slot);
        return slot != SlotTable.NONE;
    }

    /** Marks a client as idle: it has no request, and has not begun to send one. */
    void markIdle(ClientConnection client) {
        awaitingMessage.remove(client);
        idle.remove(client); // Moves it to the end, as it has had a request since.
        idle.add(client);
    }

    /** Marks a client that has to complete a message within a time limit. */
    void markAwaitingMessage(ClientConnection client) {
        idle.remove(client);
        awaitingMessage.add(client);
    }

    /** Marks a client as busy: it has an active request, or a response that it has not read yet. */
    void markBusy(ClientConnection client) {
        idle.remove(client);
        awaitingMessage.remove(client);
    }

    /** Marks a connection as lingering: this process has closed its side, and the client has not closed its own yet. */
    void markLingering(ClientConnection client) {
        markBusy(client);
        lingering.add(client);
    }

    /** Removes a closed connection. */
    void remove(ClientConnection client) {
        markBusy(client);
        lingering.remove(client);
        clients.remove(client.slot());
    }

    /** Visits each connection; the visitor may close it. */
    void forEach(Consumer<ClientConnection> visitor) {
        clients.forEach(visitor);
    }

    /** Returns the number of open connections that match. */
    int count(Predicate<ClientConnection> condition) {
        int[] count = {0};
        clients.forEach(client -> count[0] += condition.test(client) ? 1 : 0);
        return count[0];
    }

    /** Returns a copy of the idle clients, so that they may change state during iteration. */
    List<ClientConnection> idleClients() {
        return new ArrayList<>(idle);
    }

    /** The number of open connections. */
    int size() {
        return clients.size();
    }

    /** The number of idle clients. */
    int idleCount() {
        return idle.size();
    }

    /** The number of clients that have to complete a message. */
    int awaitingMessageCount() {
        return awaitingMessage.size();
    }

    /** The number of connections whose client has yet to close its side. */
    int lingeringCount() {
        return lingering.size();
    }

    /** The client that has been idle for longest, or null. */
    ClientConnection longestIdle() {
        return first(idle);
    }

    /** The client that has been awaiting the completion of its message for longest, or null. */
    ClientConnection longestAwaitingMessage() {
        return first(awaitingMessage);
    }

    /** The connection that has been lingering for longest, or null. */
    ClientConnection longestLingering() {
        return first(lingering);
    }

    private static ClientConnection first(Collection<ClientConnection> ordered) {
        return ordered.isEmpty() ? null : ordered.iterator().next();
    }
}
