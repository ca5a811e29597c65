package frostreel.backend;

import frostreel.config.EndpointList;
import frostreel.net.EventLoop;
import frostreel.request.BackEnd;
import frostreel.request.Payload;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.util.SlotTable;
import java.util.List;

/**
 * Runs attempts on pooled connections to servers. An attempt takes an idle connection without unread input. If there is
 * none, a connection is opened for it, and it runs on that one or on another that becomes free earlier. For each
 * server, at least as many connections are being opened as attempts wait. Used on the I/O thread.
 */
public final class ServerPool implements BackEnd {
    /** Share of the server's idle timeout after which an idle connection is closed, before its server closes it. */
    private static final double IDLE_CLOSE_SHARE = 0.8;

    private static final int MAX_ATTEMPTS = 1 << 16;

    private final EventLoop loop;
    private final ServerDirectory servers;
    private final ConnectionTable connections;
    private final SlotTable<Attempt> attempts = new SlotTable<>(MAX_ATTEMPTS);
    private long connectTimeoutUs;
    private long idleCloseUs;

    /** Creates an empty pool of at most {@code maxConnections} connections. */
    public ServerPool(EventLoop loop, Router.Settings settings, int maxConnections) {
        this.loop = loop;
        servers = new ServerDirectory(settings.rules().goneMembersUsable());
        connections = new ConnectionTable(maxConnections);
        updateTimeouts(settings.limits().connectTimeoutUs(), settings.limits().idleTimeoutUs());
    }

    // ---- Settings and endpoint lists. ----

    /**
     * Applies new timeouts. The connect timeout applies to connections that are opened from now on, the idle timeout
     * also to those that are idle, as their servers apply it to them as well.
     *
     * @param idleTimeoutUs the time after which servers close idle connections; they are closed a little earlier
     */
    public void updateTimeouts(long connectTimeoutUs, long idleTimeoutUs) {
        this.connectTimeoutUs = connectTimeoutUs;
        idleCloseUs = (long) (idleTimeoutUs * IDLE_CLOSE_SHARE);
        connections.forEachIdle(connection -> connection.replaceIdleTimeout(idleCloseUs));
    }

    /**
     * Applies the addresses and states of an endpoint list; {@link #closeUnusableConnections} has to be called
     * afterwards.
     *
     * @param complete whether the list contains all endpoints, so that servers missing from it are gone
     */
    public void updateEndpoints(List<EndpointList.Endpoint> endpoints, boolean complete) {
        servers.update(endpoints, complete);
    }

    /**
     * Applies a new state of one server, whose address is unchanged; {@link #closeUnusableConnections} has to be called
     * afterwards.
     */
    public void updateState(String memberId, Router.State state) {
        servers.updateState(memberId, state);
    }

    /**
     * Closes connections, idle or being opened, to servers that accept no new attempts or whose address has changed,
     * and ends the attempts that wait for them as {@link Outcome#NOT_SENT}: a handshake may take longer than the time
     * in which requests may still be sent to a draining server, and the attempt would be sent after it. The router has
     * to know the endpoint list before this call, as it retries these attempts at once.
     */
    public void closeUnusableConnections() {
        for (Server server : List.copyOf(servers.all())) {
            server.unusableConnections().forEach(ServerConnection::close);
            for (int excess = server.attemptsWithoutConnection(); excess > 0; excess--) {
                finish(server.waiting.pollFirst(), Result.of(Outcome.NOT_SENT));
            }
        }
    }

    // ---- Attempts (calls of the broker). ----

    @Override
    public long start(String memberId, Payload payload, long timeoutUs, AttemptListener listener) {
        long timeoutAtUs = loop.clock().now() + timeoutUs;
        Attempt attempt = Attempt.ofRequest(servers.get(memberId), payload, timeoutAtUs, listener);
        begin(attempt);
        return attempt.handle;
    }

    @Override
    public void checkHealth(String memberId, AttemptListener listener) {
        Attempt attempt = Attempt.healthCheck(servers.get(memberId), listener);
        begin(attempt);
        attempt.timeout = loop.deadlines().after(connectTimeoutUs, () -> {
            if (attempts.get(attempt.handle) != null) {
                abandon(attempt.handle);
                attempt.listener.ended(Result.of(Outcome.TIMEOUT));
            }
        });
    }

    private void begin(Attempt attempt) {
        attempt.handle = attempts.add(attempt);
        Server server = attempt.server;
        if (server == null) {
            finish(attempt, Result.of(Outcome.CONNECT_FAILED));
        } else if (!server.isUsable()) {
            finish(attempt, Result.of(Outcome.NOT_SENT));
        } else if (!runOnIdleConnection(attempt)) {
            awaitConnection(attempt);
        }
    }

    private boolean runOnIdleConnection(Attempt attempt) {
        ServerConnection connection = connections.takeIdle(attempt.server);
        while (connection != null && !connection.tryRun(attempt)) {
            connection = connections.takeIdle(attempt.server);
        }
        return connection != null;
    }

    private void awaitConnection(Attempt attempt) {
        Server server = attempt.server;
        server.waiting.add(attempt);
        if (connections.isFull()) {
            evictLongestIdle();
        }
        if (connections.isFull()) {
            // The pooler has reached its own connection limit; the router backs off as for a server at its limit.
            server.waiting.remove(attempt);
            finish(attempt, Result.of(Outcome.REJECTED));
        } else {
            openConnection(server);
        }
    }

    private void openConnection(Server server) {
        ServerConnection connection = new ServerConnection(loop, this, server);
        connections.addOpening(connection);
        loop.counters().serverConnectionsOpened++;
        connection.open(connectTimeoutUs);
    }

    /**
     * Closes the longest idle connection to any server, as that one is the least likely to be needed again soon.
     * Evicting a connection that is needed again soon costs its server a handshake; if many poolers do so to the same
     * server, the handshakes take most of its capacity.
     */
    private void evictLongestIdle() {
        ServerConnection longestIdle = connections.longestIdle();
        if (longestIdle != null) {
            loop.counters().idleServerConnectionsEvicted++;
            longestIdle.close();
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
            attempt.server.waiting.remove(attempt); // The connection opened for it serves a later attempt.
            return false;
        }
        boolean mayHaveReachedServer = attempt.connection.hasWrittenAll();
        attempt.connection.close();
        return mayHaveReachedServer;
    }

    /** Ends an attempt and notifies its listener, unless the attempt has ended already. */
    void finish(Attempt attempt, Result result) {
        if (attempts.remove(attempt.handle) != null) {
            loop.deadlines().cancel(attempt.timeout);
            attempt.listener.ended(result);
        }
    }

    // ---- Connection events. ----

    /** Called when a connection is open and its server has accepted the startup message. */
    void onOpened(ServerConnection connection) {
        connections.onOpened(connection);
        onFree(connection);
    }

    /** Called when a connection could not be opened. */
    void onOpenFailed(ServerConnection connection, Outcome outcome) {
        loop.counters().serverConnectionsFailed++;
        failFirstWithoutConnection(connection.server, outcome);
    }

    /**
     * Called when a connection is free and was left clean by its last response: it runs the longest waiting attempt
     * that may still begin, or becomes idle. A connection that may no longer be used is closed.
     */
    void onFree(ServerConnection connection) {
        Server server = connection.server;
        Attempt next = nextToBegin(server);
        if (!server.mayUse(connection)) {
            connection.close();
            failFirstWithoutConnection(server, Outcome.CONNECT_FAILED);
        } else if (next == null) {
            connections.addIdle(connection);
            connection.onIdle(idleCloseUs);
        } else if (connection.tryRun(next)) {
            server.waiting.remove(next);
        } else {
            failFirstWithoutConnection(server, Outcome.CONNECT_FAILED);
        }
    }

    /** The longest waiting attempt that may still begin, null for none; ends the attempts before it. */
    private Attempt nextToBegin(Server server) {
        Attempt next = server.waiting.peekFirst();
        while (next != null && !next.listener.mayBegin()) { // mayBegin() may end other waiting attempts.
            server.waiting.remove(next);
            finish(next, Result.of(Outcome.NOT_SENT));
            next = server.waiting.peekFirst();
        }
        return next;
    }

    /** Fails the longest waiting attempt if more attempts wait than connections are being opened. */
    private void failFirstWithoutConnection(Server server, Outcome outcome) {
        if (server.attemptsWithoutConnection() > 0) {
            finish(server.waiting.pollFirst(), Result.of(outcome));
        }
    }

    /** Called when a connection has been closed, for whatever reason. */
    void onClosed(ServerConnection connection) {
        connections.remove(connection);
    }
}
