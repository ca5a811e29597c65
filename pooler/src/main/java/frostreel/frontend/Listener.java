package frostreel.frontend;

import frostreel.broker.Broker;
import frostreel.net.Acceptor;
import frostreel.net.EventLoop;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * The entry point of the front end: accepts client connections while the lifecycle allows it, and owns the objects that
 * they share. Used on the I/O thread.
 */
public final class Listener {
    private static final int BACKLOG = 1024;

    private final EventLoop loop;
    private final ServingLifecycle lifecycle;
    private final int maxClients;
    private final StatusPages pages = new StatusPages();
    private final ClientTable clients;
    private final ClientLimits limits;
    private final ClientDrainer drainer;
    private final FrontEnd frontEnd;
    private final Acceptor acceptor;
    /** Generates the secrets of the cancel keys. */
    private final SplittableRandom secrets;

    private boolean inherited;

    /**
     * Creates a listener; {@link #open} starts it.
     *
     * @param maxClients the limit on open connections
     * @param usualClients the expected number of clients; up to three quarters of it, no client is closed for being
     *     idle
     * @param seed the seed of the secrets of the cancel keys
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
        this.lifecycle = lifecycle;
        this.maxClients = maxClients;
        clients = new ClientTable(maxClients + 1);
        limits = new ClientLimits(loop, clients, maxClients, usualClients);
        drainer = new ClientDrainer(loop.clock(), lifecycle, clients, limits);
        frontEnd = new FrontEnd(loop, broker, lifecycle, classes, pages, clients, limits, drainer);
        acceptor = new Acceptor(loop, "a client", this::onAccepted);
        secrets = new SplittableRandom(seed).split();
    }

    /**
     * Starts listening; at the limit, accepting pauses until a connection has closed.
     *
     * @param inherited whether the socket is descriptor 0: another process listens on it as well, so connections are
     *     accepted only while the lifecycle allows it, see {@link #applyLifecycle}
     * @throws IOException if the address is in use or not local, or no socket can be created
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

    /** The address that it listens on. */
    public InetSocketAddress address() {
        return acceptor.address();
    }

    private void onAccepted(StreamConnection connection) {
        loop.counters().clientsAccepted++;
        ClientConnection client = new ClientConnection(frontEnd, connection, secrets.nextInt());
        if (!clients.add(client)) {
            client.close();
            return;
        }
        limits.evictIfOverloaded();
        client.begin();
    }

    /** Adds a page that is the response to {@code SHOW name}. */
    public void addPage(String name, Supplier<String> text) {
        pages.add(name, text);
    }

    /** Resumes or stops accepting, and closes idle clients, according to the current state of the lifecycle. */
    public void applyLifecycle() {
        long nowUs = loop.clock().now();
        if (lifecycle.accepts(nowUs)) {
            acceptor.resume();
        } else if (inherited) {
            acceptor.suspend(); // The other process accepts the connections in the accept queue.
        } else {
            acceptor.close();
        }
        drainer.closeIfDue(nowUs);
    }

    /** The number of clients that have not received the whole response to their request. */
    public int owedResponses() {
        return clients.count(ClientConnection::isOwedResponse);
    }

    /** The number of connected clients. */
    public int openClients() {
        return clients.size();
    }
}
