package frostreel.backend;

import frostreel.routing.Router;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A server, its connections that are idle or being opened, and the attempts that wait for one of them. */
final class Server {
    private InetSocketAddress address;
    /** Whether it may be sent new attempts. */
    private boolean usable;
    /** Whether it has ever been draining. */
    private boolean wasDraining;

    final Set<ServerConnection> opening = new LinkedHashSet<>();
    /** The most recently used first. */
    final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
    /** The longest waiting first. */
    final ArrayDeque<Attempt> waiting = new ArrayDeque<>();

    InetSocketAddress address() {
        return address;
    }

    void setAddress(InetSocketAddress address) {
        this.address = address;
    }

    /** {@code goneServersUsable}: a server that is gone may be sent attempts unless it has ever been draining. */
    void setState(Router.State state, boolean goneServersUsable) {
        wasDraining |= state == Router.State.DRAINING;
        usable = state == Router.State.UP || (state == Router.State.GONE && goneServersUsable && !wasDraining);
    }

    boolean isUsable() {
        return usable;
    }

    /** Whether attempts may run on the connection: not where it leads to a former address. */
    boolean mayUse(ServerConnection connection) {
        return usable && connection.address.equals(address);
    }

    /** The connections, idle or being opened, on which attempts may no longer run. */
    List<ServerConnection> unusableConnections() {
        List<ServerConnection> unusable = new ArrayList<>(idle);
        unusable.addAll(opening);
        unusable.removeIf(this::mayUse);
        return unusable;
    }

    /** How many attempts wait beyond the connections being opened; negative where fewer wait. */
    int attemptsWithoutConnection() {
        return waiting.size() - opening.size();
    }
}
