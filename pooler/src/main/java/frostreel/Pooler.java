package frostreel;

import frostreel.backend.ServerPool;
import frostreel.broker.Broker;
import frostreel.config.Config;
import frostreel.config.SupersededSettings;
import frostreel.control.AdminListener;
import frostreel.control.CommandExecutor;
import frostreel.control.PeerProcesses;
import frostreel.control.SharedClock;
import frostreel.control.SupersededSettingsFile;
import frostreel.frontend.Listener;
import frostreel.log.Logging;
import frostreel.membership.ClusterMember;
import frostreel.net.EventLoop;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;
import frostreel.routing.ChainRouter;
import frostreel.routing.LocalityPolicy;
import frostreel.routing.NearestZonePolicy;
import frostreel.routing.Router;
import frostreel.settings.OperatorSettings;
import frostreel.zones.ZoneFailoverPolicy;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** One pooler: creates its components, connects them, and starts and stops them. */
public final class Pooler {
    private static final long MICROS_PER_MILLI = 1_000;

    private final EventLoop loop;
    private final Broker broker;
    private final ServingLifecycle lifecycle;
    private final Listener listener;
    private final CommandExecutor commands;
    private final Readiness readiness;
    private final EndpointSource endpoints;
    private final ServingSockets sockets;
    private final ConfigReloader reloader;
    private final List<SupersededSettings> earlierSettings;
    private final ShutdownSequence shutdown;
    /** Null if no zone tiers are configured; the classes for zone tiers are not loaded then. */
    private final ZoneFailoverPolicy zonePolicy;

    /** Creates and starts a pooler, which serves as soon as it is ready, see {@link Readiness}. */
    public Pooler(Config config, OperatorSettings operatorSettings) throws IOException {
        this(config, operatorSettings, EndpointSource.CONFIGURED_LIST_WAIT_US, ServingLifecycle.LINGER_US);
    }

    /**
     * As {@link #Pooler(Config, OperatorSettings)}, with other times than the defaults.
     *
     * @param configuredListWaitUs replaces {@link EndpointSource#CONFIGURED_LIST_WAIT_US}
     * @param lingerUs replaces {@link ServingLifecycle#LINGER_US}
     */
    Pooler(Config config, OperatorSettings operatorSettings, long configuredListWaitUs, long lingerUs)
            throws IOException {
        Path sharedFolder = config.commandFolder().orElse(null);
        boolean isFirstProcess = SharedClock.isFirstProcess(sharedFolder);
        loop = new EventLoop(SharedClock.open(sharedFolder));
        PeerProcesses peers = PeerProcesses.open(config, loop, isFirstProcess);
        loop.onHeartbeat(peers::onHeartbeat);
        ServerPool pool = new ServerPool(loop, config.settings(), config.maxServerConnections());
        zonePolicy = zonePolicy(config, operatorSettings);
        broker = broker(config, pool, peers);
        RequestClassRegistry classes =
                new RequestClassRegistry(config.settings().classes());
        lifecycle = lifecycle(config, lingerUs);
        listener = listener(config, classes);
        commands = commands(config, pool);
        AdminListener admin = config.adminAddress().isPresent() ? new AdminListener(loop, commands) : null;
        ClusterMember clusterMember = clusterMember(config, operatorSettings);
        readiness = new Readiness(lifecycle, listener::applyLifecycle);
        endpoints = new EndpointSource(
                loop, config, configuredListWaitUs, commands::onEndpointList, readiness::serversKnown);
        readiness.beforeServing(endpoints::applyConfigured);
        sockets = new ServingSockets(loop, config, listener, admin, readiness);
        earlierSettings = earlierSettings(config);
        reloader = new ConfigReloader(
                loop,
                pool,
                broker,
                lifecycle,
                classes,
                endpoints,
                zonePolicy,
                settingsForSuccessors(config),
                config,
                operatorSettings);
        shutdown = new ShutdownSequence(loop, lifecycle, new ClientWorkload(), clusterMembership(clusterMember));
        addStatusPages(admin, clusterMember);
        loop.onWatchEventPoll(endpoints::readNow);
        loop.setStopSendingUs(config.settings().rules().stopSendingUs());
        loop.thread().execute(this::start);
    }

    /** Reads what an earlier process of this pooler has left; blocks. */
    private static List<SupersededSettings> earlierSettings(Config config) {
        return config.commandFolder()
                .map(folder -> new SupersededSettingsFile(folder).read())
                .orElse(List.of());
    }

    /** Returns a receiver that writes the settings to the folder of this pooler's processes, on the task thread. */
    private Consumer<List<SupersededSettings>> settingsForSuccessors(Config config) {
        if (config.commandFolder().isEmpty()) {
            return superseded -> {};
        }
        SupersededSettingsFile file =
                new SupersededSettingsFile(config.commandFolder().get());
        return superseded -> loop.worker().execute(() -> file.write(superseded));
    }

    private static ZoneFailoverPolicy zonePolicy(Config config, OperatorSettings operatorSettings) {
        if (operatorSettings.zones().isEmpty()) {
            return null;
        }
        Router.Settings settings = config.settings();
        return new ZoneFailoverPolicy(
                settings,
                operatorSettings.zoneSettings(settings.zone(), config.zones()).orElseThrow(),
                new SplittableRandom(settings.seed()).nextDouble());
    }

    private Broker broker(Config config, ServerPool pool, PeerProcesses peers) {
        return new Broker(
                loop.clock(),
                loop.deadlines(),
                loop.counters(),
                loop.events(),
                loop.buffers(),
                pool,
                config.settings(),
                config.maxOpenRequests(),
                (settings, actions) -> router(settings, actions, peers),
                peers.writeObserver(),
                peers.recentIds());
    }

    private Router router(Router.Settings settings, Router.Actions actions, PeerProcesses peers) {
        LocalityPolicy policy = zonePolicy == null ? new NearestZonePolicy(settings.zone()) : zonePolicy;
        return new ChainRouter(settings, actions, policy, peers.commits(), peers.roles());
    }

    private Listener listener(Config config, RequestClassRegistry classes) {
        return new Listener(
                loop,
                broker,
                lifecycle,
                classes,
                config.maxClients(),
                config.expectedClients(),
                config.settings().seed());
    }

    private static ServingLifecycle lifecycle(Config config, long lingerUs) {
        long longestDeadlineUs = ConfigReloader.longestDeadlineUs(config.settings());
        return new ServingLifecycle(config.inheritsListener(), longestDeadlineUs, lingerUs);
    }

    private CommandExecutor commands(Config config, ServerPool pool) {
        return new CommandExecutor(
                loop,
                lifecycle,
                pool,
                broker,
                listener::applyLifecycle,
                config.commandFolder().orElse(null),
                incarnation(config));
    }

    /** Returns null if the poolers form no cluster. */
    private ClusterMember clusterMember(Config config, OperatorSettings operatorSettings) {
        return operatorSettings.cluster().isPresent()
                ? new ClusterMember(operatorSettings.cluster().get(), config.name(), loop)
                : null;
    }

    /** Returns an id of this process that is unique among all processes that store commands in the same folder. */
    private String incarnation(Config config) {
        return Long.toHexString(config.settings().seed()) + "x"
                + Long.toHexString(loop.clock().now());
    }

    private ShutdownSequence.ClusterMembership clusterMembership(ClusterMember member) {
        return member == null ? ShutdownSequence.ClusterMembership.NONE : timeoutMs -> member.leave(loop, timeoutMs);
    }

    /** The clients of this pooler and their requests, which a shutdown drains. */
    private final class ClientWorkload implements ShutdownSequence.Workload {
        @Override
        public void applyLifecycle() {
            listener.applyLifecycle();
        }

        @Override
        public int openClients() {
            return listener.openClients();
        }

        @Override
        public int openRequests() {
            return broker.openRequests();
        }

        @Override
        public int owedResponses() {
            return listener.owedResponses();
        }
    }

    private void addStatusPages(AdminListener admin, ClusterMember clusterMember) {
        listener.addPage("stats", () -> loop.counters().toString());
        listener.addPage("health", this::health);
        if (admin != null) {
            listener.addPage("operation", commands::statusPage);
        }
        if (zonePolicy != null) {
            listener.addPage("zones", zonePolicy::toString);
        }
        if (clusterMember != null) {
            listener.addPage("fleet", clusterMember::statusPage);
        }
    }

    /** Returns the page {@code SHOW health}: readiness, what is missing for it, the state of discovery, and load. */
    private String health() {
        return "clients=" + lifecycle.status().wireName()
                + " missing=" + readiness.missing()
                + " " + endpoints
                + " open_requests=" + broker.openRequests()
                + " open_clients=" + listener.openClients()
                + " loop_late_ms=" + loop.sinceHeartbeatUs() / MICROS_PER_MILLI
                + " log_lines_dropped=" + Logging.dropped()
                + " buffered_bytes=" + loop.buffers().heldBytes()
                + " buffered_peak_bytes=" + loop.buffers().peakBytes();
    }

    private void start() {
        loop.start();
        reloader.resumeTransition(earlierSettings);
        commands.start(readiness::commandsRestored);
        endpoints.start();
        sockets.open();
        endpoints.limitWaitForFirstList();
    }

    /** Applies a new configuration, see {@link ConfigReloader}; from any thread. */
    public void reload(Config config) {
        reloader.reload(config);
    }

    /** Applies new operators' settings, see {@link ConfigReloader}; from any thread. */
    public void reload(Config config, OperatorSettings operatorSettings) {
        reloader.reload(config, operatorSettings);
    }

    /** Waits until the sockets are open, and returns the address for clients; not for the I/O thread. */
    public InetSocketAddress address() throws InterruptedException {
        return sockets.clientAddress();
    }

    /** Waits until the sockets are open, and returns the admin endpoint or null; not for the I/O thread. */
    public InetSocketAddress adminAddress() throws InterruptedException {
        return sockets.adminAddress();
    }

    /** Shuts down gracefully; returns whether all clients and requests ended in time, see {@link ShutdownSequence}. */
    public boolean stop() throws InterruptedException {
        return shutdown.run();
    }

    /** Stops the event loop and closes all sockets; with an inherited listener, standard output and error too. */
    public void close() throws InterruptedException {
        loop.shutDown();
    }

    /** Returns the counters of {@code SHOW stats} on one line; from any thread. */
    public String counters() {
        return loop.counters().toString();
    }
}
