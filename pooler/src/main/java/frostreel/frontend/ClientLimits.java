package frostreel.frontend;

import frostreel.net.EventLoop;

/**
 * The limits on the connections of clients. Near a limit, clients without a request are evicted to make room; if that
 * is not enough, new requests are rejected. Used on the I/O thread.
 */
final class ClientLimits {
    /** The connections below the limit that are kept free by closing clients that have no request. */
    private static final int RESERVED_CONNECTIONS = 16;
    /** With so few left, lingering clients are closed at once. */
    private static final int RESERVED_FROM_LINGERING = 4;
    /** How long a client that has had a request is idle before it may be evicted. */
    private static final long MIN_IDLE_US = 2_000_000;
    /** How often evictions are retried while too many clients are connected. */
    private static final long EVICTION_INTERVAL_US = 50_000;
    /** How long a client owes a message before it is evicted in preference to any idle one. */
    private static final long MIN_AWAITING_US = 300_000;

    private final EventLoop loop;
    private final ClientTable clients;
    private final int maxClients;
    /** While at most this many clients are connected and may have requests, no idle one is closed. */
    private final int activeLimit;
    /** While at most this many clients are idle, none of them is closed by {@link #closeExcessIdle}. */
    private final int idleLimit;
    /** A further attempt at evictions is scheduled. */
    private boolean evictionScheduled;
    /** {@link #closeExcessIdle} is running, and is not entered again. */
    private boolean closingIdle;

    /**
     * Limits on the connections of this table.
     *
     * @param maxClients the limit on open connections
     * @param usualClients how many clients are expected; up to three quarters of them stay connected however many are
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
     * <p>Clients that send one request and keep their connection use up the connections that clients may have to us,
     * long before our own limit is near: clients that connect later would find none, and would never be served. At low
     * load all of them stay connected.
     */
    void closeExcessIdle() {
        if (closingIdle) {
            return; // Called for a client whose unread request was found by the check before its close.
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
     * Evicts clients without a request while the limit is near: the client that has owed a message for longest, or the
     * one idle for longest. A request on a connection that waits to be accepted counts as accepted, so accepting must
     * not pause while such clients hold descriptors.
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
            clients.longestLingering().close(); // The next client needs the descriptor itself.
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
     * Whether clients with active requests hold nearly all connections. A request that waited for a connection,
     * unaccepted, could not be answered in time; so a request on one of the last connections is rejected at once.
     */
    boolean rejectsRequests() {
        return clients.size() - clients.idleCount() - clients.awaitingMessageCount() - clients.lingeringCount()
                >= maxClients - RESERVED_CONNECTIONS;
    }
}
