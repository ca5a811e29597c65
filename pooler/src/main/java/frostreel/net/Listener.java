package frostreel.net;

import frostreel.broker.Broker;
import frostreel.broker.SlotTable;
import frostreel.operation.ReadinessStatus;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;
import frostreel.pg.Statement;
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

/** Owns the listening socket and the clients' connections, up to their cap. */
public final class Listener {
    private static final int BACKLOG = 1024;
    /** Queries longer than this ask for no page, and are not looked up. */
    private static final int MOST_PAGE_BYTES = 32;
    /** So many descriptors are kept free by closing clients that ask for nothing. */
    private static final int ROOM = 16;
    /** With so few left, those that were told to leave are not waited for. */
    private static final int LAST_ROOM = 4;
    /** A client that asked before may be closed once it has been idle for so long. */
    private static final long IDLE_US = 2_000_000;
    /** While there is no room, those that ask for nothing are looked at so often. */
    private static final long ROOM_CHECK_US = 50_000;
    /** Nobody who has something to ask is silent for so long after connecting. */
    private static final long SILENT_US = 300_000;

    private final EventLoop loop;
    private final Broker broker;
    private final ServingLifecycle lifecycle;
    private final RequestClassRegistry classes;
    private final Map<String, Supplier<String>> pages = new HashMap<>();
    private final int maxClients;
    /** Beyond so many clients that may ask, of which so many are idle, the longest idle is closed. */
    private final int usualBound;

    private final int idleBound;
    private final SlotTable<ClientConnection> clients;
    private final Acceptor acceptor;
    private boolean inherited;
    /** Clients between requests, and clients that have yet to send a whole one; the longest so first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    private final Set<ClientConnection> owing = new LinkedHashSet<>();
    /** Clients whose connection we have ended, and that have yet to end it too; the longest so first. */
    private final Set<ClientConnection> leaving = new LinkedHashSet<>();
    /** For the keys by which clients cancel. */
    private final SplittableRandom secrets;

    private boolean lookingForRoom;
    private boolean sparing;

    /** Of the {@code usualClients} that come to ask, three quarters may stay without a bound on idle ones. */
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
        usualBound = usualClients * 3 / 4;
        idleBound = usualClients / 3;
        clients = new SlotTable<>(maxClients + 1);
        acceptor = new Acceptor(loop, "a client", this::accepted);
    }

    /**
     * Listens; past the cap of connections no more are accepted until some have closed. A socket that was
     * inherited is listened on by another process as well, so nothing is accepted until {@link #sweep} finds
     * that the lifecycle accepts clients.
     */
    public void open(InetSocketAddress address, boolean inherits) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxClients)
                .set(Options.CONNECTION_LOW_WATER, maxClients - 1)
                .getMap();
        inherited = inherits;
        acceptor.open(address, inherits, options);
        if (lifecycle.accepts(loop.clock().now())) {
            acceptor.resume();
        }
    }

    public InetSocketAddress address() {
        return acceptor.address();
    }

    private void accepted(StreamConnection c) {
        loop.counters().clientsAccepted++;
        ClientConnection client = new ClientConnection(loop, this, c, secrets.nextInt());
        client.slot = clients.add(client);
        if (client.slot == SlotTable.NONE) {
            client.close();
            return;
        }
        makeRoom();
        client.begin();
    }

    /** Withdraws the request that the client of that key has in hand; another key does nothing. */
    void cancel(int process, int secret) {
        clients.forEach(c -> c.cancel(process, secret));
    }

    /** Shows a page to whoever asks for it by SHOW and its name. */
    public void page(String name, Supplier<String> text) {
        pages.put("SHOW " + name + "\0", text);
    }

    /** The page that a query asks for, null where it asks for none. */
    Supplier<String> page(byte[] query) {
        return query.length > MOST_PAGE_BYTES ? null : pages.get(new String(query, StandardCharsets.US_ASCII));
    }

    /** Whether those that have yet to ask are closed, too. */
    boolean closing() {
        return lifecycle.closesUnused(loop.clock().now());
    }

    /** For how long a client is waited for whose connection we ended. */
    long lingerUs() {
        return lifecycle.lingerUs();
    }

    /** What the empty query is answered. */
    ReadinessStatus status() {
        return lifecycle.status();
    }

    Broker broker() {
        return broker;
    }

    /** The class that a statement names, null where there is none or the statement is none of that class. */
    Integer classNumber(Statement s) {
        return classes.number(loop.clock().now(), s.requestClass(), s.write(), s.keyed());
    }

    /** A client has nothing in hand; where clients are to leave, it is closed then. */
    void rested(ClientConnection c) {
        if (c.restsBetweenRequests()) {
            owing.remove(c);
            idle.remove(c); // It has asked again, and is no longer the longest idle.
            if (lifecycle.closesAfterResponse(loop.clock().now())) {
                c.leaveUnlessAsking();
            } else {
                idle.add(c);
                spareIdle();
            }
        }
    }

    /**
     * Clients that ask once and keep their connection use up the places from which usual clients may ask,
     * long before our own cap is near: those that come later then find no connection to ask on, and are never
     * heard. So where most of these places are taken, the longest idle gives its own up; in calm all stay.
     */
    private void spareIdle() {
        if (sparing) {
            return; // By a request that was found while looking for one to close.
        }
        sparing = true;
        for (int looks = idle.size();
                looks > 0 && idle.size() > idleBound && clients.size() - owing.size() - leaving.size() > usualBound;
                looks--) {
            if (idle.iterator().next().leaveUnlessAsking()) {
                loop.counters().clientsSpared++;
            }
        }
        sparing = false;
    }

    /** A client has begun, and not yet finished, what it wants to say. */
    void owes(ClientConnection c) {
        idle.remove(c);
        owing.add(c);
    }

    /** A client has a request in hand. */
    void busy(ClientConnection c) {
        idle.remove(c);
        owing.remove(c);
    }

    /** We have ended its connection, and it has yet to do so; its place counts as free. */
    void leaves(ClientConnection c) {
        busy(c);
        leaving.add(c);
    }

    void closed(ClientConnection c) {
        busy(c);
        leaving.remove(c);
        clients.remove(c.slot);
    }

    /**
     * Near the cap, clients that ask for nothing make room: the one silent for longest, or the one idle for
     * longest. A request on a connection that waits to be accepted counts as taken, so accepting must not
     * have to pause while such clients hold descriptors.
     */
    private void makeRoom() {
        for (ClientConnection c = evictable(); crowded() && c != null; c = evictable()) {
            if (c.leaveUnlessAsking()) {
                loop.counters().clientsEvicted++;
            }
        }
        while (clients.size() > maxClients - LAST_ROOM && !leaving.isEmpty()) {
            leaving.iterator().next().close(); // Whoever comes needs the descriptor itself.
        }
        if (crowded() && !lookingForRoom) {
            lookingForRoom = true;
            loop.deadlines().after(ROOM_CHECK_US, () -> {
                lookingForRoom = false;
                makeRoom();
            });
        }
    }

    private ClientConnection evictable() {
        long now = loop.clock().now();
        ClientConnection silent = owing.isEmpty() ? null : owing.iterator().next();
        ClientConnection rested = idle.isEmpty() ? null : idle.iterator().next();
        boolean rests = rested != null && now - rested.sinceUs() > IDLE_US;
        return rests && (silent == null || now - silent.sinceUs() < SILENT_US) ? rested : silent;
    }

    private boolean crowded() {
        return clients.size() - leaving.size() > maxClients - ROOM;
    }

    /**
     * Whether requests in hand hold nearly all places. One that would wait for a place, unaccepted, could not
     * be answered in time; so what comes on the last places is refused at once.
     */
    boolean full() {
        return clients.size() - idle.size() - owing.size() - leaving.size() >= maxClients - ROOM;
    }

    /** By when a request that comes now has to be answered: the process may not live longer. */
    long answerBy() {
        return lifecycle.responseDueUs(loop.clock().now());
    }

    /** Closes whoever is between requests, as the lifecycle has it, and accepts no more once that does not. */
    public void sweep() {
        long now = loop.clock().now();
        if (lifecycle.accepts(now)) {
            acceptor.resume();
        } else if (inherited) {
            acceptor.suspend(); // What waits there is the other process's.
        } else {
            acceptor.close();
        }
        if (now < lifecycle.closeIdleAtUs()) {
            return;
        }
        if (lifecycle.closesUnused(now)) {
            clients.forEach(this::rested);
        } else {
            List.copyOf(idle).forEach(this::rested);
        }
    }

    public int open() {
        return clients.size();
    }
}
