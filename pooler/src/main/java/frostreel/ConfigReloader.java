package frostreel;

import frostreel.backend.ServerPool;
import frostreel.broker.Broker;
import frostreel.config.Config;
import frostreel.config.SupersededSettings;
import frostreel.net.EventLoop;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;
import frostreel.routing.Router;
import frostreel.settings.OperatorSettings;
import frostreel.time.Deadlines;
import frostreel.zones.ZoneFailoverPolicy;
import frostreel.zones.ZoneSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.logging.Logger;

/**
 * Applies reloaded configurations and operators' settings to the running process. Each one is applied in a single
 * turn of the event loop. The state is confined to the loop; the methods may be called from any thread.
 */
final class ConfigReloader {
    private static final Logger LOG = Logger.getLogger(ConfigReloader.class.getName());

    private final EventLoop loop;
    private final ServerPool pool;
    private final Broker broker;
    private final ServingLifecycle lifecycle;
    private final RequestClassRegistry classes;
    private final EndpointSource endpoints;
    private final Optional<OperatorSettings.Cluster> clusterAtStart;
    /** Null if the operators' settings had no zone tiers at the start. */
    private final ZoneFailoverPolicy zonePolicy;

    /** Receives the settings that clients may still follow at each reload, for a process that succeeds this one. */
    private final Consumer<List<SupersededSettings>> successors;

    private Config inForce;
    /** The settings that clients may still follow besides those in force, ordered by the time of their replacement. */
    private List<SupersededSettings> superseded = List.of();
    /** The limit on attempts for a request that arrives now. */
    private int maxAttempts;
    /** The shortest time after which any server may close an idle connection. */
    private long idleTimeoutUs;
    /** The shortest time within which sends to a draining server may have to stop. */
    private long stopSendingUs;
    /** The end of the time in which clients may still follow the previous settings; null before the first change. */
    private Deadlines.Deadline transitionEnd;

    ConfigReloader(
            EventLoop loop,
            ServerPool pool,
            Broker broker,
            ServingLifecycle lifecycle,
            RequestClassRegistry classes,
            EndpointSource endpoints,
            ZoneFailoverPolicy zonePolicy,
            Consumer<List<SupersededSettings>> successors,
            Config config,
            OperatorSettings operatorSettings) {
        this.loop = loop;
        this.pool = pool;
        this.broker = broker;
        this.lifecycle = lifecycle;
        this.classes = classes;
        this.endpoints = endpoints;
        this.zonePolicy = zonePolicy;
        this.successors = successors;
        clusterAtStart = operatorSettings.cluster();
        inForce = config;
        maxAttempts = config.settings().limits().maxAttempts();
        idleTimeoutUs = config.settings().limits().idleTimeoutUs();
        stopSendingUs = config.settings().rules().stopSendingUs();
    }

    /**
     * Applies the settings of {@code config} and switches to its discovery agent; from any thread. Changes of this
     * pooler's name, its addresses, the descriptor limit and the limit on open requests take effect at the next start.
     */
    void reload(Config config) {
        loop.thread().execute(() -> {
            loop.counters().configReloads++;
            supersede(inForce);
            apply(config.settings());
            if (!config.hasSameDiscovery(inForce)) {
                endpoints.switchTo(config);
            }
            inForce = config;
            LOG.info("configuration reloaded");
        });
    }

    private void supersede(Config replaced) {
        long nowUs = loop.clock().now();
        List<SupersededSettings> followed = new ArrayList<>(superseded);
        followed.removeIf(earlier -> earlier.supersededAtUs() <= nowUs - RequestClassRegistry.TRANSITION_US);
        followed.add(SupersededSettings.of(replaced, nowUs));
        superseded = List.copyOf(followed);
        successors.accept(superseded);
    }

    /**
     * Continues the transition of an earlier process of this pooler, whose clients are now clients of this one and may
     * still follow settings that the earlier process has replaced. Called on the loop before the first reload.
     */
    void resumeTransition(List<SupersededSettings> earlier) {
        long nowUs = loop.clock().now();
        superseded = earlier.stream()
                .filter(settings -> settings.supersededAtUs() > nowUs - RequestClassRegistry.TRANSITION_US)
                .filter(settings -> settings.supersededAtUs() <= nowUs)
                .sorted(Comparator.comparingLong(SupersededSettings::supersededAtUs))
                .toList();
        if (superseded.isEmpty()) {
            return;
        }
        for (SupersededSettings settings : superseded) {
            classes.addSuperseded(settings.supersededAtUs(), settings.settings().classes());
            maxAttempts = Math.min(maxAttempts, settings.settings().limits().maxAttempts());
        }
        Router.Settings settings = inForce.settings();
        broker.updateSettings(settings.with(classes.all(), maxAttempts));
        Router.Settings afterTransition =
                settings.with(classes.all(), settings.limits().maxAttempts());
        long latestUs = superseded.get(superseded.size() - 1).supersededAtUs();
        transitionEnd = loop.deadlines()
                .at(latestUs + RequestClassRegistry.TRANSITION_US, () -> endTransition(afterTransition));
    }

    /**
     * Applies settings at once, except for a higher limit on attempts and longer times for idle connections and for
     * sends to draining servers. Those take effect once no client and no server follows the previous settings any more.
     */
    private void apply(Router.Settings settings) {
        classes.replaceClasses(loop.clock().now(), settings.classes());
        int newMaxAttempts = settings.limits().maxAttempts();
        maxAttempts = Math.min(maxAttempts, newMaxAttempts);
        Router.Settings duringTransition = settings.with(classes.all(), maxAttempts);
        Router.Settings afterTransition = settings.with(classes.all(), newMaxAttempts);
        idleTimeoutUs = Math.min(idleTimeoutUs, settings.limits().idleTimeoutUs());
        stopSendingUs = Math.min(stopSendingUs, settings.rules().stopSendingUs());
        applyTimes(settings);
        broker.updateSettings(duringTransition);
        lifecycle.setLongestDeadlineUs(longestDeadlineUs(settings));
        loop.deadlines().cancel(transitionEnd);
        transitionEnd =
                loop.deadlines().after(RequestClassRegistry.TRANSITION_US, () -> endTransition(afterTransition));
    }

    private void applyTimes(Router.Settings settings) {
        pool.updateTimeouts(settings.limits().connectTimeoutUs(), idleTimeoutUs);
        loop.setStopSendingUs(stopSendingUs);
    }

    private void endTransition(Router.Settings settings) {
        maxAttempts = settings.limits().maxAttempts();
        idleTimeoutUs = settings.limits().idleTimeoutUs();
        stopSendingUs = settings.rules().stopSendingUs();
        applyTimes(settings);
        broker.updateSettings(settings);
    }

    /** Returns the longest deadline of any request class, 0 if there are no classes. */
    static long longestDeadlineUs(Router.Settings settings) {
        return settings.classes().stream()
                .mapToLong(Router.RequestClass::deadlineUs)
                .max()
                .orElse(0);
    }

    /**
     * Applies the zone tiers of the operators' settings; from any thread. Adding tiers to settings that had none at
     * the start, and any change of the cluster's members, takes effect at the next start.
     */
    void reload(Config config, OperatorSettings operatorSettings) {
        if (!clusterAtStart.equals(operatorSettings.cluster())) {
            LOG.warning("the poolers of the cluster changed: applied at the next start");
        }
        int localZone = config.settings().zone();
        loop.thread()
                .execute(() ->
                        operatorSettings.zoneSettings(localZone, config.zones()).ifPresent(this::apply));
    }

    private void apply(ZoneSettings zones) {
        if (zonePolicy == null) {
            LOG.warning("zones were added: applied at the next start");
        } else {
            zonePolicy.configure(zones);
        }
    }
}
