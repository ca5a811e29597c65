package frostreel;

import frostreel.backend.ServerPool;
import frostreel.broker.Broker;
import frostreel.config.Config;
import frostreel.net.EventLoop;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;
import frostreel.routing.Router;
import frostreel.settings.OperatorSettings;
import frostreel.zones.ZoneFailoverPolicy;
import java.util.Optional;
import java.util.logging.Logger;

/** Applies a reloaded configuration to the running process, each in one step on the I/O thread. */
final class ConfigReloader {
    private static final Logger LOG = Logger.getLogger(ConfigReloader.class.getName());

    private final EventLoop loop;
    private final ServerPool pool;
    private final Broker broker;
    private final ServingLifecycle lifecycle;
    private final RequestClassRegistry classes;
    private final EndpointSource endpoints;
    private final Optional<OperatorSettings.Cluster> cluster;
    /** Null where no zone tiers were configured at the start. */
    private final ZoneFailoverPolicy zonePolicy;

    private Config inForce;
    /** Counts changes of settings, so that a delayed step of an older one can tell that it is outdated. */
    private int generation;
    /** How many attempts a request that arrives now may have. */
    private int maxAttempts;

    ConfigReloader(
            EventLoop loop,
            ServerPool pool,
            Broker broker,
            ServingLifecycle lifecycle,
            RequestClassRegistry classes,
            EndpointSource endpoints,
            ZoneFailoverPolicy zonePolicy,
            Config config,
            OperatorSettings operators) {
        this.loop = loop;
        this.pool = pool;
        this.broker = broker;
        this.lifecycle = lifecycle;
        this.classes = classes;
        this.endpoints = endpoints;
        this.zonePolicy = zonePolicy;
        cluster = operators.cluster();
        inForce = config;
        maxAttempts = config.settings().limits().maxAttempts();
    }

    /**
     * Applies the settings of {@code config} and moves to the discovery agent that it names; from any thread.
     * Names, addresses, descriptors and the limit on open requests wait for the next start.
     */
    void reload(Config config) {
        loop.thread().execute(() -> {
            loop.counters().reloads++;
            apply(config.settings());
            if (!config.hasSameDiscovery(inForce)) {
                endpoints.moveTo(config);
            }
            inForce = config;
            LOG.info("configuration reloaded");
        });
    }

    /**
     * Where more attempts are allowed than before, that takes effect once no client can still send requests by
     * the previous settings.
     */
    private void apply(Router.Settings settings) {
        classes.change(loop.clock().now(), settings.classes());
        Router.Settings merged = settings.with(classes.all(), settings.limits().maxAttempts());
        pool.updateSettings(merged);
        maxAttempts = Math.min(maxAttempts, merged.limits().maxAttempts());
        broker.updateSettings(settings.with(classes.all(), maxAttempts));
        lifecycle.setLongestDeadlineUs(longestDeadlineUs(settings));
        loop.setStopSendingUs(settings.rules().stopSendingUs());
        int appliedGeneration = ++generation;
        loop.deadlines().after(RequestClassRegistry.TRANSITION_US, () -> {
            if (appliedGeneration == generation) {
                maxAttempts = merged.limits().maxAttempts();
                broker.updateSettings(merged);
            }
        });
    }

    /** Returns the longest deadline of any request class, 0 for no classes. */
    static long longestDeadlineUs(Router.Settings settings) {
        return settings.classes().stream()
                .mapToLong(Router.RequestClass::deadlineUs)
                .max()
                .orElse(0);
    }

    /**
     * Applies the zone tiers of the operators' settings; from any thread. Whether there are tiers at all, and
     * which poolers form the cluster, is fixed at the start.
     */
    void reload(Config config, OperatorSettings operators) {
        if (!cluster.equals(operators.cluster())) {
            LOG.warning("other poolers are named now: they hold from the next start");
        }
        loop.thread()
                .execute(() -> operators
                        .zoneSettings(config.settings().zone(), config.zones())
                        .ifPresent(zones -> {
                            if (zonePolicy == null) {
                                LOG.warning("zones are stated now: they hold from the next start");
                            } else {
                                zonePolicy.configure(zones);
                            }
                        }));
    }
}
