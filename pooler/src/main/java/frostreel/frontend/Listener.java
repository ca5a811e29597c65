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
 * The front end as the rest of the program sees it: accepts the connections of clients while the lifecycle allows it,
 * and owns what they share. Used on the I/O thread.
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
    /** The secret halves of the keys by which clients cancel their requests. */
    private final SplittableRandom secrets;

    private boolean inherited;

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
        ClientConnection client = new ClientConnection(frontEnd, connection, secrets.nextInt());
        if (!clients.add(client)) {
            client.close();
            return;
        }
        limits.evictIfOverloaded();
        client.begin();
    }

    /** Adds a page that is the answer to {@code SHOW} with its name. */
    public void addPage(String name, Supplier<String> text) {
        pages.add(name, text);
    }

    /** Accepts or stops accepting, and closes idle clients, as the lifecycle asks for now. */
    public void applyLifecycle() {
        long nowUs = loop.clock().now();
        if (lifecycle.accepts(nowUs)) {
            acceptor.resume();
        } else if (inherited) {
            acceptor.suspend(); // What waits in the backlog is left to the other process.
        } else {
            acceptor.close();
        }
        drainer.closeIfDue(nowUs);
    }

    /** How many clients are connected. */
    public int openClients() {
        return clients.size();
    }
}
