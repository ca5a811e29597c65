package frostreel;

import frostreel.config.Config;
import frostreel.config.EndpointList;
import frostreel.discovery.DiscoveryWatch;
import frostreel.net.EventLoop;
import frostreel.routing.Router;
import frostreel.time.Deadlines;
import java.util.function.BiConsumer;
import java.util.logging.Logger;

/**
 * Passes on endpoint lists: first the one in the configuration, then what the discovery agent reports. When a
 * reload names another agent, the previous one stays in use until the new one has responded. Confined to the
 * event loop.
 */
final class EndpointSource {
    /**
     * How long the list in the configuration is held back for the first response of discovery, counted from the
     * sending of the first request. An agent that has changes to report responds within a tenth of this. A longer
     * silence means that discovery is overloaded or down, and waiting would only keep a pooler out of service.
     */
    static final long CONFIGURED_LIST_WAIT_US = 100_000;

    /** How long a pooler with no configured list waits for the first list before it serves without servers. */
    static final long FIRST_LIST_WAIT_US = 2_000_000;
    /** How many times longer the wait is, counted from the start, if no connection to discovery is established. */
    static final int UNREACHABLE_WAIT_FACTOR = 3;

    private static final Logger LOG = Logger.getLogger(EndpointSource.class.getName());

    private final EventLoop loop;
    private final long configuredListWaitUs;
    private final BiConsumer<EndpointList, Router.ListKind> receiver;
    private final Runnable onServersKnown;
    private DiscoveryWatch watch;
    /** The watch on the agent that a reload named, until it has responded; null for none. */
    private DiscoveryWatch replacement;
    /** The list in the configuration; null once it has been applied. */
    private EndpointList configured;

    /**
     * Creates a source that reports nothing yet.
     *
     * @param configuredListWaitUs in place of {@link #CONFIGURED_LIST_WAIT_US}
     * @param receiver receives each list, on the I/O thread
     * @param onServersKnown runs there at each list, and when the wait for the first one is over
     */
    EndpointSource(
            EventLoop loop,
            Config config,
            long configuredListWaitUs,
            BiConsumer<EndpointList, Router.ListKind> receiver,
            Runnable onServersKnown) {
        this.loop = loop;
        this.configuredListWaitUs = configuredListWaitUs;
        this.receiver = receiver;
        this.onServersKnown = onServersKnown;
        configured = config.initialEndpoints();
        watch = newWatch(config, initialVersion(configured));
    }

    private static long initialVersion(EndpointList configured) {
        return configured.endpoints().isEmpty() ? DiscoveryWatch.NO_VERSION : configured.version();
    }

    private DiscoveryWatch newWatch(Config config, long version) {
        return new DiscoveryWatch(
                loop, config.discoveryAddress(), config.zones(), config.machineTypes(), version, this::onList);
    }

    /** Starts to watch the discovery agent. */
    void start() {
        watch.start();
    }

    /** Bounds the time for which the start waits for the first list. */
    void limitWaitForFirstList() {
        if (configured.endpoints().isEmpty()) {
            loop.deadlines().after(FIRST_LIST_WAIT_US, onServersKnown);
        } else {
            limitWaitForDiscovery();
        }
    }

    private void limitWaitForDiscovery() {
        Deadlines.Deadline unreachable =
                loop.deadlines().after(UNREACHABLE_WAIT_FACTOR * configuredListWaitUs, onServersKnown);
        watch.onFirstRequest(() -> {
            loop.deadlines().cancel(unreachable);
            loop.deadlines().after(configuredListWaitUs, onServersKnown);
        });
    }

    /** Applies the watch events that have arrived, so that nothing else that has arrived is handled before them. */
    void readNow() {
        watch.readNow();
        if (replacement != null) {
            replacement.readNow();
        }
    }

    /**
     * Switches to the agent that {@code config} names, once that has responded. It is asked for the complete list,
     * as versions of one agent's lists are not comparable with another's.
     */
    void switchTo(Config config) {
        if (replacement != null) {
            replacement.stop();
        }
        DiscoveryWatch named = newWatch(config, DiscoveryWatch.NO_VERSION);
        named.onFirstList(() -> {
            watch.stop();
            watch = named;
            replacement = null;
            LOG.info("discovery is now at " + config.discoveryAddress());
        });
        replacement = named;
        named.start();
    }

    private void onList(EndpointList list) {
        applyConfigured();
        receiver.accept(list, list.complete() ? Router.ListKind.FULL : Router.ListKind.CHANGES);
        onServersKnown.run();
    }

    /**
     * Applies the list in the configuration, at the first call. It is applied only together with the changes
     * since, or if discovery stays silent: a drain that was published while this process started counts as known
     * to it from its first moment, and a start may take longer than the limit on sends to a draining server.
     */
    void applyConfigured() {
        if (configured == null) {
            return;
        }
        EndpointList list = configured;
        configured = null;
        receiver.accept(list, Router.ListKind.CACHED);
    }

    /** Returns the part of {@code SHOW health} on discovery. */
    @Override
    public String toString() {
        return watch + " next_discovery=" + (replacement == null ? "none" : "unanswered");
    }
}
