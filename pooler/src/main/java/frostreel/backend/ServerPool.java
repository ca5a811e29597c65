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
 * Runs attempts on pooled connections to servers. An attempt takes a clean idle connection, or waits for the one opened
 * for it or for whichever becomes free first; at least as many connections are being opened to a server as attempts
 * wait for it. Used on the I/O thread.
 */
public final class ServerPool implements BackEnd {
    /** An idle connection is closed after this share of the time after which its server would close it. */
    private static final double IDLE_CLOSE_SHARE = 0.8;

    private static final int MAX_ATTEMPTS = 1 << 16;
    private final EventLoop loop;
    private final ServerDirectory servers;
    private final ConnectionTable connections;
    private final SlotTable<Attempt> attempts = new SlotTable<>(MAX_ATTEMPTS);
    private long connectTimeoutUs;
    private long idleCloseUs;

    /** An empty pool for at most {@code maxConnections} connections. */
    public ServerPool(EventLoop loop, Router.Settings settings, int maxConnections) {
        this.loop = loop;
        servers = new ServerDirectory(settings.rules().goneMembersUsable());
        connections = new ConnectionTable(maxConnections);
        updateSettings(settings);
    }

    // ---- Settings and endpoint lists. ----

    /** Applies the timeouts of new settings to what begins from now on. */
    public void updateSettings(Router.Settings settings) {
        connectTimeoutUs = settings.limits().connectTimeoutUs();
        idleCloseUs = (long) (settings.limits().idleTimeoutUs() * IDLE_CLOSE_SHARE);
    }

    /**
     * Takes the addresses and states of an endpoint list; {@link #closeUnusableConnections} has to follow.
     *
     * @param complete whether the list names all endpoints, so that one that is not on it is gone
     */
    public void updateEndpoints(List<EndpointList.Endpoint> endpoints, boolean complete) {
        servers.update(endpoints, complete);
    }

    /** Takes a new state of one server, at the same address; {@link #closeUnusableConnections} has to follow. */
    public void updateState(String memberId, Router.State state) {
        servers.updateState(memberId, state);
    }

    /**
     * Closes connections, idle or being opened, to servers that accept no new attempts or have another address now, and
     * ends the attempts that wait for them: a handshake may outlast the time in which a draining server may still be
     * sent requests, and its attempt would follow it. The router must have the list already, as it retries these at
     * once.
     */
    public void closeUnusableConnections() {
        for (Server server : List.copyOf(servers.all())) {
            server.unusableConnections().forEach(ServerConnection::close);
            for (int excess = server.attemptsWithoutConnection(); excess > 0; excess--) {
                finish(server.waiting.pollFirst(), Result.of(Outcome.NOT_SENT));
            }
        }
    }

    // ---- Attempts, from the broker. ----

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
            // At our own limit of connections: as for a server at its limit, the router backs off a little.
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
     * Closes the longest idle connection, to whichever server: to close one that is needed again at once would cost its
     * server a handshake each time, and, where many poolers do so to the same server, most of its capacity.
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
            attempt.server.waiting.remove(attempt); // The connection opened for it serves the next.
            return false;
        }
        boolean mayHaveReachedServer = attempt.connection.hasWrittenAll();
        attempt.connection.close();
        return mayHaveReachedServer;
    }

    /** Ends an attempt, unless it has ended, and notifies its listener. */
    void finish(Attempt attempt, Result result) {
        if (attempts.remove(attempt.handle) != null) {
            loop.deadlines().cancel(attempt.timeout);
            attempt.listener.ended(result);
        }
    }

    // ---- Events of the connections. ----

    /** A connection is open, and its server has accepted the startup message. */
    void onOpened(ServerConnection connection) {
        connections.onOpened(connection);
        onFree(connection);
    }

    /** A connection could not be opened. */
    void onOpenFailed(ServerConnection connection, Outcome outcome) {
        loop.counters().serverConnectionsFailed++;
        failFirstWithoutConnection(connection.server, outcome);
    }

    /**
     * A connection is clean and free: it takes the attempt that has waited longest and may still begin, or becomes
     * idle. One to a former address of its server takes nothing more.
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

    /** The attempt that has waited longest and may still begin, null for none; ends those before it that may not. */
    private Attempt nextToBegin(Server server) {
        Attempt next = server.waiting.peekFirst();
        while (next != null && !next.listener.mayBegin()) { // Which may end other attempts that wait.
            server.waiting.remove(next);
            finish(next, Result.of(Outcome.NOT_SENT));
            next = server.waiting.peekFirst();
        }
        return next;
    }

    /** Fails the attempt that has waited longest, where more wait than connections are being opened. */
    private void failFirstWithoutConnection(Server server, Outcome outcome) {
        if (server.attemptsWithoutConnection() > 0) {
            finish(server.waiting.pollFirst(), Result.of(outcome));
        }
    }

    /** A connection is closed. */
    void onClosed(ServerConnection connection) {
        connections.remove(connection);
    }
}
