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
 * reload names another agent, the previous one stays in use until the new one has answered. Owned by the I/O
 * thread.
 */
final class EndpointSource {
    /**
     * How long the list in the configuration waits for the first answer of discovery, counted from the sending
     * of the first request. An agent that has changes to report answers within a tenth of this. A longer
     * silence means that discovery is overloaded or down, and waiting would only take a pooler out of service.
     */
    static final long CONFIGURED_LIST_PATIENCE_US = 100_000;

    /** How long a pooler without a list in its configuration waits for one before it serves without servers. */
    private static final long FIRST_LIST_PATIENCE_US = 2_000_000;
    /** How many times longer the wait is, counted from the start, while no connection to discovery comes up. */
    private static final int UNREACHABLE_FACTOR = 3;
    /** The version that asks discovery for the complete list. */
    private static final long NO_VERSION = DiscoveryWatch.NO_VERSION;

    private static final Logger LOG = Logger.getLogger(EndpointSource.class.getName());

    private final EventLoop loop;
    private final long configuredListPatienceUs;
    private final BiConsumer<EndpointList, Router.ListKind> receiver;
    private final Readiness readiness;
    private DiscoveryWatch watch;
    /** The watch on the agent that a reload named, until it has answered; null for none. */
    private DiscoveryWatch replacement;
    /** The list in the configuration; null once it was applied. */
    private EndpointList configured;

    /**
     * {@code configuredListPatienceUs}: in place of {@link #CONFIGURED_LIST_PATIENCE_US}; {@code receiver} is
     * given each list, on the I/O thread.
     */
    EndpointSource(
            EventLoop loop,
            Config config,
            long configuredListPatienceUs,
            BiConsumer<EndpointList, Router.ListKind> receiver,
            Readiness readiness) {
        this.loop = loop;
        this.configuredListPatienceUs = configuredListPatienceUs;
        this.receiver = receiver;
        this.readiness = readiness;
        configured = config.initialEndpoints();
        watch = newWatch(config, configured.endpoints().isEmpty() ? NO_VERSION : configured.version());
    }

    private DiscoveryWatch newWatch(Config config, long version) {
        return new DiscoveryWatch(
                loop, config.discoveryAddress(), config.zones(), config.machineTypes(), version, this::received);
    }

    /** Starts to watch the discovery agent. */
    void start() {
        watch.start();
    }

    /** Bounds the time for which the start waits for the first list. */
    void limitWaitForFirstList() {
        if (configured.endpoints().isEmpty()) {
            loop.deadlines().after(FIRST_LIST_PATIENCE_US, readiness::serversKnown);
            return;
        }
        Deadlines.Deadline unreachable =
                loop.deadlines().after(UNREACHABLE_FACTOR * configuredListPatienceUs, readiness::serversKnown);
        watch.onFirstRequest(() -> {
            loop.deadlines().cancel(unreachable);
            loop.deadlines().after(configuredListPatienceUs, readiness::serversKnown);
        });
    }

    /** Applies watch events that have arrived, before anything else that has arrived is acted upon. */
    void readNow() {
        watch.readNow();
        if (replacement != null) {
            replacement.readNow();
        }
    }

    /**
     * Moves to the agent that {@code config} names once that has answered. It is asked for the complete list,
     * as versions of one agent's lists are not comparable with another's.
     */
    void moveTo(Config config) {
        if (replacement != null) {
            replacement.stop();
        }
        DiscoveryWatch named = newWatch(config, NO_VERSION);
        named.onFirstList(() -> {
            watch.stop();
            watch = named;
            replacement = null;
            LOG.info("discovery is now at " + config.discoveryAddress());
        });
        replacement = named;
        named.start();
    }

    private void received(EndpointList list) {
        applyConfigured();
        receiver.accept(list, list.complete() ? Router.ListKind.FULL : Router.ListKind.CHANGES);
        readiness.serversKnown();
    }

    /**
     * Applies the list in the configuration, once. It counts only together with the changes since, or when
     * discovery stays silent: a drain that was published while this process started counts as known to it from
     * its first moment, and a start may take longer than the limit on sends to a draining server.
     */
    void applyConfigured() {
        if (configured != null) {
            EndpointList list = configured;
            configured = null;
            receiver.accept(list, Router.ListKind.CACHED);
        }
    }

    /** Returns the part of {@code SHOW health} on discovery. */
    @Override
    public String toString() {
        return watch + " next_discovery=" + (replacement == null ? "none" : "unanswered");
    }
}
