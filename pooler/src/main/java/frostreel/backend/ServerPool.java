package frostreel.backend;

import frostreel.config.EndpointList;
import frostreel.net.EventLoop;
import frostreel.pg.Messages;
import frostreel.request.BackEnd;
import frostreel.request.Payload;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.time.Deadlines;
import frostreel.util.SlotTable;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Owns the connections to servers. An attempt takes a clean idle connection, or waits for the one opened for it or for
 * whichever becomes free first; never fewer connections are being opened to a server than attempts wait for it. Used
 * on the I/O thread.
 */
public final class ServerPool implements BackEnd {
    /** An attempt or a health check that runs on a connection, or waits for one. */
    static final class Attempt {
        final Server server;
        final boolean healthCheck;
        final AttemptListener listener;
        /** The request, null for a health check. */
        private final Payload payload;

        private final long timeoutAtUs;
        long handle;
        /** The connection that it runs on, null while it waits for one. */
        ServerConnection connection;

        Deadlines.Deadline timeout;

        private Attempt(Server server, Payload payload, long timeoutAtUs, AttemptListener listener) {
            this.server = server;
            this.payload = payload;
            this.timeoutAtUs = timeoutAtUs;
            healthCheck = payload == null;
            this.listener = listener;
        }

        /** The message to send where it begins now, with the time that is left from now on. */
        byte[] query(long nowUs) {
            return healthCheck ? SHOW_LOAD : payload.forServer(timeoutAtUs - nowUs);
        }
    }

    /** A server, its connections, and the attempts that wait for one of them. */
    static final class Server {
        InetSocketAddress address;
        /** Whether it may be sent new attempts. */
        boolean usable;
        /** Whether it has ever been draining. */
        boolean drained;

        final Set<ServerConnection> opening = new LinkedHashSet<>();
        /** The last used first. */
        final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();

        final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    }

    /** An idle connection is closed after this share of the time after which its server would close it. */
    private static final double IDLE_CLOSE_SHARE = 0.8;

    private static final int MAX_ATTEMPTS = 1 << 16;
    private static final byte[] SHOW_LOAD = Messages.query("SHOW load\0".getBytes(StandardCharsets.US_ASCII));
    private final EventLoop loop;
    private final boolean onlyDrainingStopsSends;
    private long connectTimeoutUs;
    private long idleCloseUs;
    private final Map<String, Server> servers = new HashMap<>();
    private final SlotTable<ServerConnection> connections;
    /** The idle connections of all servers, the longest idle first. */
    private final LinkedHashSet<ServerConnection> idleConnections = new LinkedHashSet<>();

    private final SlotTable<Attempt> attempts = new SlotTable<>(MAX_ATTEMPTS);

    /** An empty pool for at most {@code maxConnections} connections. */
    public ServerPool(EventLoop loop, Router.Settings settings, int maxConnections) {
        this.loop = loop;
        onlyDrainingStopsSends = settings.rules().onlyDrainingBinds();
        connections = new SlotTable<>(maxConnections);
        updateSettings(settings);
    }

    /** Takes the time-outs of new settings, for what begins from now on. */
    public void updateSettings(Router.Settings settings) {
        connectTimeoutUs = settings.limits().connectTimeoutUs();
        idleCloseUs = (long) (settings.limits().idleCloseUs() * IDLE_CLOSE_SHARE);
    }

    /**
     * Takes the addresses and states of an endpoint list; {@link #closeUnwanted} has to follow.
     *
     * @param complete whether the list names all endpoints, so that one not on it is gone
     */
    public void updateEndpoints(List<EndpointList.Endpoint> hosts, boolean complete) {
        Set<Server> listed = new HashSet<>();
        for (EndpointList.Endpoint host : hosts) {
            Server server = servers.computeIfAbsent(host.member().id(), id -> new Server());
            listed.add(server);
            server.address = host.address();
            setState(server, host.member().state());
        }
        if (complete) {
            servers.values().stream()
                    .filter(server -> !listed.contains(server))
                    .forEach(server -> setState(server, Router.State.GONE));
        }
    }

    /** Takes a new state of one server, at the same address; {@link #closeUnwanted} has to follow. */
    public void updateState(String memberId, Router.State state) {
        Server server = servers.get(memberId);
        if (server != null) {
            setState(server, state);
        }
    }

    private void setState(Server server, Router.State state) {
        server.drained |= state == Router.State.DRAINING;
        server.usable =
                state == Router.State.UP || (state == Router.State.GONE && onlyDrainingStopsSends && !server.drained);
    }

    /**
     * Closes connections that are idle or being opened to servers that take nothing new, or have another address now,
     * and ends the attempts that wait for them: a handshake may take longer than sends to a draining server may go on,
     * and would be followed by its attempt. The router must have the list already, as it retries these at once.
     */
    public void closeUnwanted() {
        for (Server server : List.copyOf(servers.values())) {
            List<ServerConnection> unwanted = new ArrayList<>(server.idle);
            unwanted.addAll(server.opening);
            unwanted.removeIf(connection -> server.usable && connection.address.equals(server.address));
            unwanted.forEach(ServerConnection::close);
            for (int unserved = server.waiting.size() - server.opening.size(); unserved > 0; unserved--) {
                finish(server.waiting.pollFirst(), Result.of(Outcome.NOT_SENT));
            }
        }
    }

    @Override
    public long start(String memberId, Payload payload, long timeoutUs, AttemptListener listener) {
        return begin(memberId, payload, loop.clock().now() + timeoutUs, listener).handle;
    }

    @Override
    public void checkHealth(String memberId, AttemptListener listener) {
        Attempt attempt = begin(memberId, null, 0, listener);
        attempt.timeout = loop.deadlines().after(connectTimeoutUs, () -> {
            if (attempts.get(attempt.handle) != null) {
                abandon(attempt.handle);
                attempt.listener.ended(Result.of(Outcome.TIMEOUT));
            }
        });
    }

    private Attempt begin(String memberId, Payload payload, long timeoutAtUs, AttemptListener listener) {
        Server server = servers.get(memberId);
        Attempt attempt = new Attempt(server, payload, timeoutAtUs, listener);
        attempt.handle = attempts.add(attempt);
        if (server == null || !server.usable) {
            finish(attempt, Result.of(server == null ? Outcome.CONNECT_FAILED : Outcome.NOT_SENT));
            return attempt;
        }
        for (ServerConnection connection = server.idle.pollFirst();
                connection != null;
                connection = server.idle.pollFirst()) {
            idleConnections.remove(connection);
            if (connection.tryRun(attempt)) {
                return attempt;
            }
        }
        server.waiting.add(attempt);
        if (connections.full()) {
            evictIdle();
        }
        if (connections.full()) {
            // At our own limit of connections: as for a server at its limit, the router backs off a little.
            server.waiting.remove(attempt);
            finish(attempt, Result.of(Outcome.REJECTED));
            return attempt;
        }
        ServerConnection opened = new ServerConnection(loop, this, server);
        opened.handle = connections.add(opened);
        server.opening.add(opened);
        loop.counters().serverConnectionsOpened++;
        opened.open(connectTimeoutUs);
        return attempt;
    }

    /**
     * Closes the longest idle connection, to whichever server: to close one that is needed again at once would cost its
     * server a handshake each time, and, where many poolers do so to the same server, most of its capacity.
     */
    private void evictIdle() {
        Iterator<ServerConnection> longestIdle = idleConnections.iterator();
        if (longestIdle.hasNext()) {
            loop.counters().idleServerConnectionsEvicted++;
            longestIdle.next().close();
        }
    }

    @Override
    public boolean hasBegun(long attemptHandle) {
        Attempt attempt = attempts.get(attemptHandle);
        return attempt == null || attempt.connection != null;
    }

    @Override
    public boolean abandon(long attemptHandle) {
        Attempt attempt = attempts.remove(attemptHandle);
        if (attempt == null) {
            return false;
        }
        loop.deadlines().cancel(attempt.timeout);
        if (attempt.connection == null) {
            attempt.server.waiting.remove(attempt); // The connection opened for it serves the next.
            return false;
        }
        boolean reached = attempt.connection.hasWrittenAll();
        attempt.connection.close();
        return reached;
    }

    /** Ends an attempt, unless it has ended, and notifies its listener. */
    void finish(Attempt attempt, Result result) {
        if (attempts.remove(attempt.handle) != null) {
            loop.deadlines().cancel(attempt.timeout);
            attempt.listener.ended(result);
        }
    }

    // ---- From the connections. ----

    /**
     * A connection is clean and free: it takes the attempt that has waited longest and may still begin, or becomes
     * idle. One to a former address of its server takes nothing more.
     */
    void onFree(ServerConnection connection) {
        Server server = connection.server;
        Attempt next = server.waiting.peekFirst();
        while (next != null && !next.listener.mayBegin()) { // Which may end other attempts that wait.
            server.waiting.remove(next);
            finish(next, Result.of(Outcome.NOT_SENT));
            next = server.waiting.peekFirst();
        }
        if (!server.usable || !connection.address.equals(server.address)) {
            connection.close();
            failUnserved(server, Outcome.CONNECT_FAILED);
        } else if (next == null) {
            server.idle.addFirst(connection);
            idleConnections.add(connection);
            connection.onIdle(idleCloseUs);
        } else if (connection.tryRun(next)) {
            server.waiting.remove(next);
        } else {
            failUnserved(server, Outcome.CONNECT_FAILED);
        }
    }

    /** A connection is up, and its server has answered the startup message. */
    void onOpened(ServerConnection connection) {
        connection.server.opening.remove(connection);
        onFree(connection);
    }

    /** A connection did not come up. */
    void onOpenFailed(ServerConnection connection, Outcome outcome) {
        loop.counters().serverConnectionsFailed++;
        failUnserved(connection.server, outcome);
    }

    /** Fails the attempt that has waited longest, where more wait than connections are being opened. */
    private void failUnserved(Server server, Outcome outcome) {
        if (server.waiting.size() > server.opening.size()) {
            finish(server.waiting.pollFirst(), Result.of(outcome));
        }
    }

    /** A connection is closed. */
    void onClosed(ServerConnection connection) {
        connections.remove(connection.handle);
        connection.server.idle.remove(connection);
        connection.server.opening.remove(connection);
        idleConnections.remove(connection);
    }
}
