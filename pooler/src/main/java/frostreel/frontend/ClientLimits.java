package frostreel.frontend;

import frostreel.net.EventLoop;

/**
 * Enforces the limits on client connections. Near a limit, clients without a request are evicted to make room; if that
 * is not enough, new requests are rejected. Used on the I/O thread.
 */
final class ClientLimits {
    /** Connections below the limit that are kept free by evicting clients without a request. */
    private static final int RESERVED_CONNECTIONS = 16;
    /** Connections below the limit that are kept free by closing lingering clients at once. */
    private static final int RESERVED_FROM_LINGERING = 4;
    /** The time that a client has to be idle before it may be evicted. */
    private static final long MIN_IDLE_US = 2_000_000;
    /** The interval at which evictions are retried while too many clients are connected. */
    private static final long EVICTION_INTERVAL_US = 50_000;
    /** The time after which a client with an incomplete message is evicted before any idle client. */
    private static final long MIN_AWAITING_US = 300_000;

    private final EventLoop loop;
    private final ClientTable clients;
    private final int maxClients;
    /** {@link #closeExcessIdle} closes no client while at most this many are idle or busy. */
    private final int activeLimit;
    /** {@link #closeExcessIdle} closes no client while at most this many are idle. */
    private final int idleLimit;
    /** Whether the next attempt at evictions is scheduled. */
    private boolean evictionScheduled;
    /** Whether {@link #closeExcessIdle} is running; guards against recursion. */
    private boolean closingIdle;

    /**
     * Creates the limits on the connections of a table.
     *
     * @param maxClients the limit on open connections
     * @param usualClients the expected number of clients; up to three quarters of it, no client is closed for being
     *     idle
     */
    ClientLimits(EventLoop loop, ClientTable clients, int maxClients, int usualClients) {
        this.loop = loop;
        this.clients = clients;
        this.maxClients = maxClients;
        activeLimit = usualClients * 3 / 4;
        idleLimit = usualClients / 3;
    }

    /**
     * Closes the longest idle clients while too many are idle and most connections are in use.
     *
     * <p>Clients that send one request and keep their connection can exhaust the connections that clients may open to
     * this process long before its own limit is reached; later clients could then not connect at all. At low load, all
     * idle clients stay connected.
     */
    void closeExcessIdle() {
        if (closingIdle) {
            return; // Called again for a client whose unread request was read and answered before its close.
        }
        closingIdle = true;
        for (int candidates = clients.idleCount(); candidates > 0 && hasExcessIdle(); candidates--) {
            if (clients.longestIdle().closeUnlessRequestPending()) {
                loop.counters().idleClientsTrimmed++;
            }
        }
        closingIdle = false;
    }

    private boolean hasExcessIdle() {
        return clients.idleCount() > idleLimit
                && clients.size() - clients.awaitingMessageCount() - clients.lingeringCount() > activeLimit;
    }

    /**
     * Evicts clients without a request while the limit is near: the client whose message has been incomplete for
     * longest, or the one that has been idle for longest. A connection in the accept queue counts as accepted for its
     * client, so accepting must not pause while clients without a request occupy descriptors.
     */
    void evictIfOverloaded() {
        for (ClientConnection client = evictionCandidate();
                isOverloaded() && client != null;
                client = evictionCandidate()) {
            if (client.closeUnlessRequestPending()) {
                loop.counters().idleClientsEvicted++;
            }
        }
        while (clients.size() > maxClients - RESERVED_FROM_LINGERING && clients.lingeringCount() > 0) {
            clients.longestLingering().close(); // Lingering clients do not count as load, but occupy a descriptor.
        }
        if (isOverloaded() && !evictionScheduled) {
            evictionScheduled = true;
            loop.deadlines().after(EVICTION_INTERVAL_US, () -> {
                evictionScheduled = false;
                evictIfOverloaded();
            });
        }
    }

    private ClientConnection evictionCandidate() {
        long now = loop.clock().now();
        ClientConnection longestAwaiting = clients.longestAwaitingMessage();
        ClientConnection longestIdle = clients.longestIdle();
        boolean idleLongEnough = longestIdle != null && now - longestIdle.sinceUs() > MIN_IDLE_US;
        return idleLongEnough && (longestAwaiting == null || now - longestAwaiting.sinceUs() < MIN_AWAITING_US)
                ? longestIdle
                : longestAwaiting;
    }

    private boolean isOverloaded() {
        return clients.size() - clients.lingeringCount() > maxClients - RESERVED_CONNECTIONS;
    }

    /**
     * Whether to reject new requests because busy clients occupy nearly all connections. A client that waits in the
     * accept queue would get no response in time; rejecting requests on the last connections leaves room to accept it.
     */
    boolean rejectsRequests() {
        return clients.size() - clients.idleCount() - clients.awaitingMessageCount() - clients.lingeringCount()
                >= maxClients - RESERVED_CONNECTIONS;
    }
}
