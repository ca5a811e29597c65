package frostreel.backend;

import frostreel.routing.Router;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A server with its idle connections, its connections being opened, and the attempts that wait for a connection. */
final class Server {
    private InetSocketAddress address;
    /** Whether new attempts may be sent to it. */
    private boolean usable;
    /** Whether it has been draining at any time. */
    private boolean wasDraining;

    final Set<ServerConnection> opening = new LinkedHashSet<>();
    /** The idle connections, the most recently used first. */
    final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
    /** The attempts that wait for a connection, the longest waiting first. */
    final ArrayDeque<Attempt> waiting = new ArrayDeque<>();

    InetSocketAddress address() {
        return address;
    }

    void setAddress(InetSocketAddress address) {
        this.address = address;
    }

    /** Applies a state: UP is usable; GONE is if {@code goneServersUsable} and the server has never been draining. */
    void setState(Router.State state, boolean goneServersUsable) {
        wasDraining |= state == Router.State.DRAINING;
        usable = state == Router.State.UP || (state == Router.State.GONE && goneServersUsable && !wasDraining);
    }

    boolean isUsable() {
        return usable;
    }

    /** Whether attempts may run on the connection: the server is usable, and still has the connection's address. */
    boolean mayUse(ServerConnection connection) {
        return usable && connection.address.equals(address);
    }

    /** The connections, idle or being opened, for which {@link #mayUse} is false. */
    List<ServerConnection> unusableConnections() {
        List<ServerConnection> unusable = new ArrayList<>(idle);
        unusable.addAll(opening);
        unusable.removeIf(this::mayUse);
        return unusable;
    }

    /** Number of waiting attempts minus number of connections for them, opening or idle; negative if fewer wait. */
    int attemptsWithoutConnection() {
        return waiting.size() - opening.size() - idle.size();
    }
}
