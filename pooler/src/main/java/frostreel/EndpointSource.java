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
 * The source of endpoint lists: delivers the list in the configuration first, then what the discovery agent reports.
 * If a reload names another agent, the previous one stays in use until the new one has responded. Confined to the
 * event loop.
 */
final class EndpointSource {
    /**
     * How long the pooler waits for the first response of discovery before it uses the list in the configuration,
     * from the moment the first request is sent. An agent with changes to report responds within a tenth of this. A
     * slower response means that discovery is overloaded or down, and waiting would only delay the start of service.
     */
    static final long CONFIGURED_LIST_WAIT_US = 100_000;

    /** How long a pooler without a configured list waits for the first list before it serves without servers. */
    static final long FIRST_LIST_WAIT_US = 2_000_000;
    /** Multiplies the wait, which then counts from the start, if no connection to discovery is established. */
    static final int UNREACHABLE_WAIT_FACTOR = 3;

    private static final Logger LOG = Logger.getLogger(EndpointSource.class.getName());

    private final EventLoop loop;
    private final long configuredListWaitUs;
    private final BiConsumer<EndpointList, Router.ListKind> receiver;
    private final Runnable onServersKnown;
    private DiscoveryWatch watch;
    /** The watch on the agent of a reloaded configuration, until that agent has responded; null if there is none. */
    private DiscoveryWatch replacement;
    /** The list in the configuration; null once it has been applied. */
    private EndpointList configured;

    /**
     * Creates a source, which delivers no list before {@link #start} or {@link #applyConfigured}.
     *
     * @param configuredListWaitUs used in place of {@link #CONFIGURED_LIST_WAIT_US}
     * @param receiver receives each list, on the I/O thread
     * @param onServersKnown runs on the I/O thread after each list, and when the wait for the first one times out
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

    /** Starts watching the discovery agent. */
    void start() {
        watch.start();
    }

    /** Sets the timeout of the wait for the first list. */
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

    /** Processes the responses of discovery that have arrived, so that they precede all other input of this turn. */
    void readNow() {
        watch.readNow();
        if (replacement != null) {
            replacement.readNow();
        }
    }

    /**
     * Switches to the agent that {@code config} names, once that agent has responded. Its complete list is requested,
     * as list versions are not comparable between agents.
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
     * Delivers the list in the configuration; only the first call has an effect. The list is delivered together with
     * the changes since, or after the wait for discovery has timed out. Any earlier, requests could be sent to a server
     * whose drain was published during the start: the platform counts such a drain as known from the start of this
     * process, and a start may take longer than sends to a draining server are allowed.
     */
    void applyConfigured() {
        if (configured == null) {
            return;
        }
        EndpointList list = configured;
        configured = null;
        receiver.accept(list, Router.ListKind.CACHED);
    }

    /** Returns the fields of {@code SHOW health} on discovery. */
    @Override
    public String toString() {
        return watch + " next_discovery=" + (replacement == null ? "none" : "unanswered");
    }
}
