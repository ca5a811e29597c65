package frostreel.frontend;

import frostreel.broker.Broker;
import frostreel.net.Acceptor;
import frostreel.net.EventLoop;
import frostreel.operation.ReadinessStatus;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;
import frostreel.pg.Statement;
import frostreel.util.SlotTable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** Owns the listening socket and the connections of clients, up to a limit. Used on the I/O thread. */
public final class Listener {
    private static final int BACKLOG = 1024;
    /** No query for a page is longer than this. */
    private static final int MAX_PAGE_QUERY_BYTES = 32;
    /** The connections below the limit that are kept free by closing clients that have no request. */
    private static final int RESERVED_CONNECTIONS = 16;
    /** With so few left, lingering clients are closed at once. */
    private static final int RESERVED_FROM_LINGERING = 4;
    /** How long a client that has had a request is idle before it may be evicted. */
    private static final long MIN_IDLE_US = 2_000_000;
    /** How often evictions are tried while too many clients are connected. */
    private static final long EVICTION_INTERVAL_US = 50_000;
    /** How long a client owes a message before it is evicted in preference to any idle one. */
    private static final long MIN_AWAITING_US = 300_000;

    private final EventLoop loop;
    private final Broker broker;
    private final ServingLifecycle lifecycle;
    private final RequestClassRegistry classes;
    private final Map<String, Supplier<String>> pages = new HashMap<>();
    private final int maxClients;
    /** Beyond this number of clients that may have requests, the longest idle is closed, if enough are idle. */
    private final int activeLimit;

    private final int idleLimit;
    private final SlotTable<ClientConnection> clients;
    private final Acceptor acceptor;
    private boolean inherited;
    /** Clients between requests, and clients that owe a complete message; in both, the longest so first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    private final Set<ClientConnection> awaitingMessage = new LinkedHashSet<>();
    /** Clients whose connection we have ended, and that have yet to end it too; the longest so first. */
    private final Set<ClientConnection> lingering = new LinkedHashSet<>();
    /** Half of the key by which a client cancels its request. */
    private final SplittableRandom secrets;

    private boolean evictionScheduled;
    private boolean closingIdle;

    /**
     * Makes a listener that does not listen yet.
     *
     * @param maxClients the limit on open connections
     * @param usualClients how many clients are expected; up to three quarters of them stay connected however many are
     *     idle
     * @param seed for the keys by which clients cancel
     */
    public Listener(
            EventLoop loop,
            Broker broker,
            ServingLifecycle lifecycle,
            RequestClassRegistry classes,
            int maxClients,
            int usualClients,
            long seed) {
        this.loop = loop;
        secrets = new SplittableRandom(seed).split();
        this.broker = broker;
        this.lifecycle = lifecycle;
        this.classes = classes;
        this.maxClients = maxClients;
        activeLimit = usualClients * 3 / 4;
        idleLimit = usualClients / 3;
        clients = new SlotTable<>(maxClients + 1);
        acceptor = new Acceptor(loop, "a client", this::onAccepted);
    }

    /**
     * Listens; beyond the limit of connections no more are accepted until some have closed.
     *
     * @param inherited whether the socket is descriptor 0: another process listens on it as well, so nothing is
     *     accepted until the lifecycle lets {@link #applyLifecycle} do so
     * @throws IOException where the address is taken or not ours, or the system gives no socket
     */
    public void open(InetSocketAddress address, boolean inherited) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxClients)
                .set(Options.CONNECTION_LOW_WATER, maxClients - 1)
                .getMap();
        this.inherited = inherited;
        acceptor.open(address, inherited, options);
        if (lifecycle.accepts(loop.clock().now())) {
            acceptor.resume();
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return acceptor.address();
    }

    private void onAccepted(StreamConnection connection) {
        loop.counters().clientsAccepted++;
        ClientConnection client = new ClientConnection(loop, this, connection, secrets.nextInt());
        client.slot = clients.add(client);
        if (client.slot == SlotTable.NONE) {
            client.close();
            return;
        }
        evictIfOverloaded();
        client.begin();
    }

    /** Cancels the active request of the client that has this key; another key does nothing. */
    void cancel(int process, int secret) {
        clients.forEach(client -> client.cancel(process, secret));
    }

    /** Adds a page that is the answer to {@code SHOW} with its name. */
    public void addPage(String name, Supplier<String> text) {
        pages.put("SHOW " + name + "\0", text);
    }

    /** The page that a query asks for, null where it asks for none. */
    Supplier<String> page(byte[] query) {
        return query.length > MAX_PAGE_QUERY_BYTES ? null : pages.get(new String(query, StandardCharsets.US_ASCII));
    }

    /** Whether even clients are closed that have not had a request yet. */
    boolean closesUnused() {
        return lifecycle.closesUnused(loop.clock().now());
    }

    /** For how long a client whose connection we ended may take to end it too. */
    long lingerUs() {
        return lifecycle.lingerUs();
    }

    /** Whether this process takes clients, as the empty query tells. */
    ReadinessStatus readiness() {
        return lifecycle.status();
    }

    Broker broker() {
        return broker;
    }

    /** The number of a statement's class, {@link RequestClassRegistry#NO_CLASS} if it fits none of that name. */
    int classNumber(Statement statement) {
        return classes.classNumber(loop.clock().now(), statement.requestClass(), statement.write(), statement.keyed());
    }

    /** A client has no request; where the lifecycle has clients leave, it is closed. */
    void onIdle(ClientConnection client) {
        if (client.isIdle()) {
            awaitingMessage.remove(client);
            idle.remove(client); // It has had a request, and is no longer the longest idle.
            if (lifecycle.closesAfterResponse(loop.clock().now())) {
                client.closeUnlessRequestPending();
            } else {
                idle.add(client);
                closeExcessIdle();
            }
        }
    }

    /**
     * Clients that send one request and keep their connection use up the connections that clients may have to us, long
     * before our own limit is near: those that come later then find none, and are never served. So where most of them
     * are in use, the longest idle one is closed; in calm all stay.
     */
    private void closeExcessIdle() {
        if (closingIdle) {
            return; // Called by a request that was found while looking for a client to close.
        }
        closingIdle = true;
        for (int candidates = idle.size();
                candidates > 0
                        && idle.size() > idleLimit
                        && clients.size() - awaitingMessage.size() - lingering.size() > activeLimit;
                candidates--) {
            if (idle.iterator().next().closeUnlessRequestPending()) {
                loop.counters().idleClientsTrimmed++;
            }
        }
        closingIdle = false;
    }

    /** A client owes a complete message. */
    void onMessageAwaited(ClientConnection client) {
        idle.remove(client);
        awaitingMessage.add(client);
    }

    /** A client has an active request, or an answer that it has not read yet. */
    void onBusy(ClientConnection client) {
        idle.remove(client);
        awaitingMessage.remove(client);
    }

    /** We have ended a connection, and its client has yet to do so; the connection counts as free. */
    void onLingering(ClientConnection client) {
        onBusy(client);
        lingering.add(client);
    }

    /** A connection is closed. */
    void onClosed(ClientConnection client) {
        onBusy(client);
        lingering.remove(client);
        clients.remove(client.slot);
    }

    /**
     * Near the limit, clients without a request are evicted: the one that has owed a message for longest, or the one
     * idle for longest. A request on a connection that waits to be accepted counts as taken, so accepting must not have
     * to pause while such clients hold descriptors.
     */
    private void evictIfOverloaded() {
        for (ClientConnection client = evictionCandidate();
                isOverloaded() && client != null;
                client = evictionCandidate()) {
            if (client.closeUnlessRequestPending()) {
                loop.counters().idleClientsEvicted++;
            }
        }
        while (clients.size() > maxClients - RESERVED_FROM_LINGERING && !lingering.isEmpty()) {
            lingering.iterator().next().close(); // The next client needs the descriptor itself.
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
        ClientConnection longestAwaiting =
                awaitingMessage.isEmpty() ? null : awaitingMessage.iterator().next();
        ClientConnection longestIdle = idle.isEmpty() ? null : idle.iterator().next();
        boolean idleLongEnough = longestIdle != null && now - longestIdle.sinceUs() > MIN_IDLE_US;
        return idleLongEnough && (longestAwaiting == null || now - longestAwaiting.sinceUs() < MIN_AWAITING_US)
                ? longestIdle
                : longestAwaiting;
    }

    private boolean isOverloaded() {
        return clients.size() - lingering.size() > maxClients - RESERVED_CONNECTIONS;
    }

    /**
     * Whether clients with active requests hold nearly all connections. A request that waited for a connection,
     * unaccepted, could not be answered in time; so one that comes on the last connections is rejected at once.
     */
    boolean isFull() {
        return clients.size() - idle.size() - awaitingMessage.size() - lingering.size()
                >= maxClients - RESERVED_CONNECTIONS;
    }

    /** By when a request that comes now has to be answered, as the process may not run longer. */
    long answerDeadlineUs() {
        return lifecycle.responseDueUs(loop.clock().now());
    }

    /** Accepts, or no longer does, and closes idle clients, as the lifecycle has it now. */
    public void applyLifecycle() {
        long now = loop.clock().now();
        if (lifecycle.accepts(now)) {
            acceptor.resume();
        } else if (inherited) {
            acceptor.suspend(); // What waits there is for the other process.
        } else {
            acceptor.close();
        }
        if (now < lifecycle.closeIdleAtUs()) {
            return;
        }
        if (lifecycle.closesUnused(now)) {
            clients.forEach(this::onIdle);
        } else {
            List.copyOf(idle).forEach(this::onIdle);
        }
    }

    /** How many clients are connected. */
    public int openClients() {
        return clients.size();
    }
}
