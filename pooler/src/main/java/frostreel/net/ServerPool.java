package frostreel.net;

import frostreel.broker.BackEnd;
import frostreel.broker.Deadlines;
import frostreel.broker.Payload;
import frostreel.broker.SlotTable;
import frostreel.config.EndpointList;
import frostreel.pg.Messages;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
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
 * Owns the connections to servers. An attempt takes a clean idle connection, or waits for the one opened for
 * it or
 * for whichever becomes free first; the number being opened to a server is never below the number that waits.
 */
public final class ServerPool implements BackEnd {
    /** What runs on a connection, or waits for one. */
    static final class Attempt {
        final Server server;
        final boolean probe;
        final AttemptListener sink;
        /** The request, null for a probe, and until when its server is waited for. */
        private final Payload payload;

        private final long untilUs;
        long handle;
        ServerConnection on;
        Deadlines.Deadline timeout;

        private Attempt(Server server, Payload payload, long untilUs, AttemptListener sink) {
            this.server = server;
            this.payload = payload;
            this.untilUs = untilUs;
            probe = payload == null;
            this.sink = sink;
        }

        /** What is sent if it begins now: how long it is waited for counts from then. */
        byte[] query(long nowUs) {
            return probe ? SHOW_LOAD : payload.forServer(untilUs - nowUs);
        }
    }

    /**
     * One server: its address, the connections being opened to it, its idle ones (the last used first) and
     * the attempts that wait.
     */
    static final class Server {
        InetSocketAddress address;
        /** Whether it may be sent something new; one that drained is so no more, whatever it is later. */
        boolean usable;

        boolean drained;
        final Set<ServerConnection> opening = new LinkedHashSet<>();
        final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
        final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    }

    /** An idle connection is closed after this share of the time at which its server would. */
    private static final double IDLE_SHARE = 0.8;

    private static final byte[] SHOW_LOAD = Messages.query("SHOW load\0".getBytes(StandardCharsets.US_ASCII));
    private final EventLoop loop;
    private final boolean onlyDrainingBinds;
    private long connectTimeoutUs;
    private long idleUs;
    private final Map<String, Server> servers = new HashMap<>();
    private final SlotTable<ServerConnection> connections;
    /** All idle connections of all servers, in the order in which they came to rest. */
    private final LinkedHashSet<ServerConnection> resting = new LinkedHashSet<>();

    private final SlotTable<Attempt> attempts = new SlotTable<>(1 << 16);

    public ServerPool(EventLoop loop, Router.Settings settings, int maxConnections) {
        this.loop = loop;
        onlyDrainingBinds = settings.rules().onlyDrainingBinds();
        connections = new SlotTable<>(maxConnections);
        settings(settings);
    }

    /** Other limits on time, for what begins from now on. */
    public void settings(Router.Settings settings) {
        connectTimeoutUs = settings.limits().connectTimeoutUs();
        idleUs = (long) (settings.limits().idleCloseUs() * IDLE_SHARE);
    }

    /** Takes the addresses of a list, and what wants nothing new; {@link #withdraw} has to follow. */
    public void addresses(List<EndpointList.Endpoint> hosts, boolean whole) {
        Set<Server> listed = new HashSet<>();
        for (EndpointList.Endpoint h : hosts) {
            Server s = servers.computeIfAbsent(h.member().id(), id -> new Server());
            listed.add(s);
            s.address = h.address();
            is(s, h.member().state());
        }
        if (whole) {
            servers.values().stream().filter(s -> !listed.contains(s)).forEach(s -> is(s, Router.State.GONE));
        }
    }

    /** Takes a word on one server that changes no address; {@link #withdraw} has to follow. */
    public void state(String id, Router.State state) {
        Server s = servers.get(id);
        if (s != null) {
            is(s, state);
        }
    }

    private void is(Server s, Router.State state) {
        s.drained |= state == Router.State.DRAINING;
        s.usable = state == Router.State.UP || state == Router.State.GONE && onlyDrainingBinds && !s.drained;
    }

    /**
     * Closes what is idle or being opened to servers that want nothing new, or that have moved, and ends the
     * attempts that wait there: a handshake may take longer than the rule on drains allows, and would be
     * followed by its attempt. The module must have been told of the list: it sends these elsewhere at once.
     */
    public void withdraw() {
        for (Server s : List.copyOf(servers.values())) {
            List<ServerConnection> unwanted = new ArrayList<>(s.idle);
            unwanted.addAll(s.opening);
            unwanted.removeIf(c -> s.usable && c.address.equals(s.address));
            unwanted.forEach(ServerConnection::close);
            for (int more = s.waiting.size() - s.opening.size(); more > 0; more--) {
                finish(s.waiting.pollFirst(), Result.of(Outcome.NOT_SENT));
            }
        }
    }

    @Override
    public long start(String memberId, Payload payload, long patienceUs, AttemptListener sink) {
        return begin(memberId, payload, loop.clock().now() + patienceUs, sink).handle;
    }

    @Override
    public void probe(String memberId, AttemptListener sink) {
        Attempt a = begin(memberId, null, 0, sink);
        a.timeout = loop.deadlines().after(connectTimeoutUs, () -> {
            if (attempts.get(a.handle) != null) {
                abandon(a.handle);
                a.sink.ended(Result.of(Outcome.TIMEOUT));
            }
        });
    }

    private Attempt begin(String memberId, Payload payload, long untilUs, AttemptListener sink) {
        Server s = servers.get(memberId);
        Attempt a = new Attempt(s, payload, untilUs, sink);
        a.handle = attempts.add(a);
        if (s == null || !s.usable) {
            finish(a, Result.of(s == null ? Outcome.CONNECT_FAILED : Outcome.NOT_SENT));
            return a;
        }
        for (ServerConnection c = s.idle.pollFirst(); c != null; c = s.idle.pollFirst()) {
            resting.remove(c);
            if (c.run(a)) {
                return a;
            }
        }
        s.waiting.add(a);
        if (connections.full()) {
            evictIdle();
        }
        if (connections.full()) {
            // At our own cap of connections: as with a full server, the module lets it rest a little.
            s.waiting.remove(a);
            finish(a, Result.of(Outcome.REJECTED));
            return a;
        }
        ServerConnection opened = new ServerConnection(loop, this, s);
        opened.handle = connections.add(opened);
        s.opening.add(opened);
        loop.counters().serverConnections++;
        opened.open(connectTimeoutUs);
        return a;
    }

    /**
     * The connection that has rested longest gives its place up, whosever it is: closing one that is needed
     * again at once costs its server a handshake each time, and where many poolers do so to the same server,
     * most of what it can do.
     */
    private void evictIdle() {
        Iterator<ServerConnection> longest = resting.iterator();
        if (longest.hasNext()) {
            loop.counters().serverConnectionsEvicted++;
            longest.next().close();
        }
    }

    @Override
    public boolean begun(long attempt) {
        Attempt a = attempts.get(attempt);
        return a == null || a.on != null;
    }

    @Override
    public boolean abandon(long attempt) {
        Attempt a = attempts.remove(attempt);
        if (a == null) {
            return false;
        }
        loop.deadlines().cancel(a.timeout);
        if (a.on == null) {
            a.server.waiting.remove(a); // What is being opened for it goes on, for the next.
            return false;
        }
        boolean reached = a.on.wroteAll();
        a.on.close();
        return reached;
    }

    void finish(Attempt a, Result result) {
        if (attempts.remove(a.handle) != null) {
            loop.deadlines().cancel(a.timeout);
            a.sink.ended(result);
        }
    }

    // ---- From the connections. ----

    /**
     * A connection is clean and free: it takes the attempt that has waited longest and may still begin, or
     * rests. One to where its server was before it moved takes nothing more.
     */
    void free(ServerConnection c) {
        Server s = c.server;
        Attempt next = s.waiting.peekFirst();
        while (next != null && !next.sink.mayBegin()) { // Which may end other attempts that wait.
            s.waiting.remove(next);
            finish(next, Result.of(Outcome.NOT_SENT));
            next = s.waiting.peekFirst();
        }
        if (!s.usable || !c.address.equals(s.address)) {
            c.close();
            failUnserved(s, Outcome.CONNECT_FAILED);
        } else if (next == null) {
            s.idle.addFirst(c);
            resting.add(c);
            c.rest(idleUs);
        } else if (c.run(next)) {
            s.waiting.remove(next);
        } else {
            failUnserved(s, Outcome.CONNECT_FAILED);
        }
    }

    void opened(ServerConnection c) {
        c.server.opening.remove(c);
        free(c);
    }

    /** A connection did not come up. */
    void openFailed(ServerConnection c, Outcome outcome) {
        loop.counters().serverConnectFailures++;
        failUnserved(c.server, outcome);
    }

    /** Where more wait than connections are being opened, the one that waited longest bears the failure. */
    private void failUnserved(Server s, Outcome outcome) {
        if (s.waiting.size() > s.opening.size()) {
            finish(s.waiting.pollFirst(), Result.of(outcome));
        }
    }

    /** The connection has ended. */
    void closed(ServerConnection c) {
        connections.remove(c.handle);
        c.server.idle.remove(c);
        c.server.opening.remove(c);
        resting.remove(c);
    }
}
