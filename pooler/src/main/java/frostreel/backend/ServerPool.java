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
            endAttemptsWithoutConnection(server, Outcome.NOT_SENT);
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
        if (isOpen(attempt)) {
            attempt.timeout = loop.deadlines().after(connectTimeoutUs, () -> {
                if (abandon(attempt.handle) != Abandoned.ALREADY_ENDED) {
                    attempt.listener.ended(Result.of(Outcome.TIMEOUT));
                }
            });
        }
    }

    private void begin(Attempt attempt) {
        attempt.handle = attempts.add(attempt);
        Server server = attempt.server;
        if (attempt.handle == SlotTable.NONE) {
            attempt.listener.ended(Result.of(Outcome.REJECTED));
        } else if (server == null) {
            finish(attempt, Result.of(Outcome.CONNECT_FAILED));
        } else if (!server.isUsable()) {
            finish(attempt, Result.of(Outcome.NOT_SENT));
        } else if (!server.waiting.isEmpty() || !runOnIdleConnection(attempt)) {
            awaitConnection(attempt);
        }
    }

    private boolean runOnIdleConnection(Attempt attempt) {
        ServerConnection connection = connections.takeIdle(attempt.server);
        while (connection != null && !tryRun(connection, attempt)) {
            connection = connections.takeIdle(attempt.server);
        }
        return connection != null;
    }

    private static boolean tryRun(ServerConnection connection, Attempt attempt) {
        if (!attempt.server.mayUse(connection)) { // Its address has changed; it has not been closed yet.
            connection.close();
            return false;
        }
        return connection.tryRun(attempt);
    }

    private void awaitConnection(Attempt attempt) {
        Server server = attempt.server;
        server.waiting.add(attempt);
        if (connections.isFull()) {
            evictLongestIdle();
        }
        if (connections.isFull()) {
            // The pooler has reached its own connection limit; the router backs off as for a server at its limit.
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
    public Abandoned abandon(long attemptHandle) {
        Attempt attempt = attempts.get(attemptHandle);
        if (attempt == null) {
            return Abandoned.ALREADY_ENDED;
        }
        remove(attempt);
        if (attempt.connection == null) {
            return Abandoned.NOT_SENT; // The connection opened for it serves a later attempt.
        }
        boolean mayHaveReachedServer = attempt.connection.hasWrittenAll();
        attempt.connection.close();
        return mayHaveReachedServer ? Abandoned.MAY_HAVE_REACHED_SERVER : Abandoned.NOT_SENT;
    }

    /** Ends an attempt and notifies its listener, unless the attempt has ended already. */
    void finish(Attempt attempt, Result result) {
        if (isOpen(attempt)) {
            remove(attempt);
            attempt.listener.ended(result);
        }
    }

    private boolean isOpen(Attempt attempt) {
        return attempts.get(attempt.handle) == attempt;
    }

    /** Removes an open attempt, which waits no longer. */
    private void remove(Attempt attempt) {
        attempts.remove(attempt.handle);
        loop.deadlines().cancel(attempt.timeout);
        if (attempt.server != null && attempt.connection == null) {
            attempt.server.waiting.remove(attempt);
        }
    }

    // ---- Connection events. ----

    /** Called when a connection is open and its server has accepted the startup message. */
    void onOpened(ServerConnection connection) {
        connections.onOpened(connection);
        addIdle(connection);
        runWaiting(connection.server);
    }

    /** Called when a connection could not be opened. */
    void onOpenFailed(ServerConnection connection, Outcome outcome) {
        loop.counters().serverConnectionsFailed++;
        endAttemptsWithoutConnection(connection.server, outcome);
    }

    /** Called when an attempt has ended, and its response has left the connection clean. */
    void onResponded(ServerConnection connection, Attempt attempt, Result result) {
        addIdle(connection);
        finish(attempt, result);
        runWaiting(connection.server);
    }

    /** Makes a connection available, or closes it if it may no longer be used. */
    private void addIdle(ServerConnection connection) {
        if (connection.server.mayUse(connection)) {
            connections.addIdle(connection);
            connection.onIdle(idleCloseUs);
        } else {
            connection.close();
        }
    }

    /**
     * Runs waiting attempts on idle connections, the longest waiting first, and ends those that may no longer begin.
     * While a listener is called, which may end or start attempts and close connections, each of them is in a state
     * that all other methods know: the attempt waits, and the connection is idle.
     */
    private void runWaiting(Server server) {
        while (!server.waiting.isEmpty() && !server.idle.isEmpty()) {
            Attempt next = server.waiting.peekFirst();
            boolean mayBegin = next.listener.mayBegin();
            if (!isOpen(next)) {
                continue; // It was ended in the call.
            }
            if (!mayBegin) {
                finish(next, Result.of(Outcome.NOT_SENT));
            } else if (runOnIdleConnection(next)) {
                server.waiting.remove(next);
            }
        }
        endAttemptsWithoutConnection(server, Outcome.CONNECT_FAILED);
    }

    /** Ends the longest waiting attempts while more wait than there are connections for them. */
    private void endAttemptsWithoutConnection(Server server, Outcome outcome) {
        while (server.attemptsWithoutConnection() > 0) {
            finish(server.waiting.peekFirst(), Result.of(outcome));
        }
    }

    /** Called when a connection has been closed, for whatever reason. */
    void onClosed(ServerConnection connection) {
        connections.remove(connection);
    }
}
