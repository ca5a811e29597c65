package frostreel;

import frostreel.broker.Broker;
import frostreel.broker.Deadlines;
import frostreel.config.Config;
import frostreel.config.EndpointList;
import frostreel.control.AdminListener;
import frostreel.control.ClockAnchor;
import frostreel.control.CommandExecutor;
import frostreel.control.PeerProcessCommits;
import frostreel.discovery.DiscoveryWatch;
import frostreel.fleet.ClusterMember;
import frostreel.log.Logging;
import frostreel.net.EventLoop;
import frostreel.net.Listener;
import frostreel.net.ServerPool;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;
import frostreel.routing.ChainRouter;
import frostreel.routing.NearestZonePolicy;
import frostreel.routing.Router;
import frostreel.settings.OperatorSettings;
import frostreel.zones.ZoneFailoverPolicy;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/** One pooler: owns its parts, wires them, and sees to their start and their end. */
public final class Pooler {
    /** Started without a list, it serves after so long at the latest, and learns of servers as they come. */
    private static final long LIST_PATIENCE_US = 2_000_000;
    /**
     * A silent discovery keeps a pooler out for no longer than this, from the writing of its first call,
     * where that knows its servers. An agent that has something to tell does so at once, in a tenth of this.
     * Where it lets us wait for longer, discovery is overbooked or down and has told nothing yet: to wait on
     * would only keep out a pooler that the others lack.
     */
    static final long KNOWN_PATIENCE_US = 100_000;
    /** So many times as long, from the start, where no connection to discovery comes up. */
    private static final int UNREACHED = 3;

    private static final long CHECK_US = 20_000;
    /** For so long the system is asked for a listening socket, and so long after each refusal. */
    private static final long LISTEN_PATIENCE_US = 20_000_000;

    private static final long LISTEN_AGAIN_US = 50_000;
    private static final long LEAVE_MS = 300;
    private static final Logger LOG = Logger.getLogger(Pooler.class.getName());
    private final EventLoop loop;
    private final ServerPool pool;
    private final Broker broker;
    private final ServingLifecycle door;
    private final Listener listener;
    private final CommandExecutor operator;
    /** Null where operators may not call. */
    private final AdminListener calls;

    private DiscoveryWatch watch;
    /** The watch on the discovery that a new configuration names, until it has answered; null for none. */
    private DiscoveryWatch next;
    /** The list known from the start; null once it is taken. */
    private EndpointList known;

    private ZoneFailoverPolicy advice;
    private final PeerProcessCommits beside;
    /** Null where no poolers see each other. */
    private final ClusterMember fellows;

    private final OperatorSettings.Cluster cluster;
    private final CountDownLatch listening = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final RequestClassRegistry classes;
    private Config inForce;
    /** What clients wait for at the start: a list of servers, and the orders of earlier lives. */
    private boolean serversKnown;

    private boolean ordersTaken;
    private boolean listens;
    /** How many changes of settings there were, and how many attempts a request that comes now may have. */
    private int changes;

    private int attempts;
    private final long knownPatienceUs;

    /** Serves by the platform's word and the operators'. */
    public Pooler(Config config, OperatorSettings operators) throws IOException {
        this(config, operators, KNOWN_PATIENCE_US, ServingLifecycle.LINGER_US);
    }

    /**
     * {@code knownPatienceUs}: how long at most the list known from the start waits for discovery's word;
     * {@code lingerUs}: how long clients are waited for whose connections were ended.
     */
    Pooler(Config config, OperatorSettings operators, long knownPatienceUs, long lingerUs) throws IOException {
        this.knownPatienceUs = knownPatienceUs;
        loop = new EventLoop(ClockAnchor.clock(config.commandFolder()));
        beside = PeerProcessCommits.of(config, loop.clock().now());
        loop.onBeat(beside.writes()::beat);
        pool = new ServerPool(loop, config.settings(), config.maxServerConnections());
        broker = new Broker(
                loop.clock(),
                loop.deadlines(),
                loop.counters(),
                loop.events(),
                pool,
                config.settings(),
                config.maxOpenRequests(),
                (settings, actions) -> router(config, operators, settings, actions),
                beside.writes());
        inForce = config;
        attempts = config.settings().limits().maxAttempts();
        classes = new RequestClassRegistry(config.settings().classes());
        door = new ServingLifecycle(config.inheritsListener(), longest(config.settings()), lingerUs);
        listener = new Listener(
                loop,
                broker,
                door,
                classes,
                config.maxClients(),
                config.expectedClients(),
                config.settings().seed());
        listener.page("stats", () -> loop.counters().toString());
        listener.page("health", this::health);
        operator = new CommandExecutor(
                loop,
                door,
                pool,
                broker,
                listener::sweep,
                config.commandFolder(),
                Long.toHexString(config.settings().seed()) + "x"
                        + Long.toHexString(loop.clock().now()));
        calls = config.adminAddress() == null ? null : new AdminListener(loop, operator);
        if (calls != null) {
            listener.page("operation", operator::toString);
        }
        if (advice != null) {
            listener.page("zones", advice::toString);
        }
        cluster = operators.cluster();
        fellows = cluster == null ? null : new ClusterMember(cluster, config.name(), loop);
        if (fellows != null) {
            listener.page("fleet", fellows::toString);
        }
        known = config.initialEndpoints();
        watch = watch(config, known.endpoints().isEmpty() ? DiscoveryWatch.NO_VERSION : known.version());
        loop.onNews(this::readNews);
        loop.stopSendingUs(config.settings().rules().stopSendingUs());
        loop.thread().execute(() -> start(config));
    }

    /** Where no tiers are stated, nothing of zones is so much as loaded. */
    private Router router(Config config, OperatorSettings operators, Router.Settings settings, Router.Actions actions) {
        if (operators.zones() == null) {
            return new ChainRouter(settings, actions, new NearestZonePolicy(settings.zone()), beside.elsewhere());
        }
        advice = new ZoneFailoverPolicy(
                settings,
                operators.zoneSettings(settings.zone(), config.zones()).orElseThrow(),
                new SplittableRandom(settings.seed()).nextDouble());
        return new ChainRouter(settings, actions, advice, beside.elsewhere());
    }

    private void readNews() {
        watch.readNow();
        if (next != null) {
            next.readNow();
        }
    }

    private void start(Config config) {
        loop.begin();
        operator.start(() -> {
            ordersTaken = true;
            becomeReady();
        });
        watch.start();
        listen(config, loop.clock().now() + LISTEN_PATIENCE_US);
        if (known.endpoints().isEmpty()) {
            loop.deadlines().after(LIST_PATIENCE_US, this::serversAreKnown);
        } else {
            Deadlines.Deadline unreached = loop.deadlines().after(UNREACHED * knownPatienceUs, this::serversAreKnown);
            watch.onFirstRequest(() -> {
                loop.deadlines().cancel(unreached);
                loop.deadlines().after(knownPatienceUs, this::serversAreKnown);
            });
        }
    }

    /**
     * Listens, for clients first. An address that is taken or not ours ends the start; a socket that the
     * system does not give, for want of descriptors or buffers, is asked for again, for a while.
     */
    private void listen(Config config, long untilUs) {
        try {
            if (!listens) {
                listener.open(config.listenAddress(), config.inheritsListener());
                listens = true;
                LOG.info("listening on " + listener.address() + " as " + config.name());
            }
            if (calls != null) {
                calls.open(config.adminAddress());
                LOG.info("operators call at " + calls.address());
            }
            listening.countDown();
            becomeReady();
        } catch (IOException e) {
            if (e instanceof BindException || loop.clock().now() >= untilUs) {
                LOG.log(
                        Level.SEVERE,
                        "GW_LISTEN, GW_CONTROL: cannot listen on " + config.listenAddress()
                                + (calls == null ? "" : " and " + config.adminAddress()),
                        e);
                new Thread(() -> System.exit(1), "exit").start();
            } else {
                LOG.warning("cannot listen yet: " + e + "; tried again");
                loop.deadlines().after(LISTEN_AGAIN_US, () -> listen(config, untilUs));
            }
        }
    }

    private void serversAreKnown() {
        serversKnown = true;
        becomeReady();
    }

    private DiscoveryWatch watch(Config config, long seq) {
        return new DiscoveryWatch(
                loop, config.discoveryAddress(), config.zones(), config.machineTypes(), seq, this::listed);
    }

    /**
     * Goes over to the settings of a new configuration, in one step, and to the discovery that it names;
     * names, addresses, descriptors and the bound on open requests wait for the next start. A new watch
     * begins with the whole list, as numbers of one agent's lists say nothing of another's; until it has
     * that, the old one goes on: what it tells is newer than nothing.
     */
    public void reload(Config config) {
        loop.thread().execute(() -> {
            loop.counters().reloads++;
            settings(config.settings());
            if (!config.hasSameDiscovery(inForce)) {
                if (next != null) {
                    next.stop();
                }
                DiscoveryWatch named = watch(config, DiscoveryWatch.NO_VERSION);
                named.onFirstList(() -> {
                    watch.stop();
                    watch = named;
                    next = null;
                    LOG.info("discovery is now at " + config.discoveryAddress());
                });
                next = named;
                named.start();
            }
            inForce = config;
            LOG.info("the new configuration holds");
        });
    }

    /** Where more attempts are allowed than before, that waits until no client speaks by the old settings. */
    private void settings(Router.Settings settings) {
        classes.change(loop.clock().now(), settings.classes());
        Router.Settings whole = settings.with(classes.all(), settings.limits().maxAttempts());
        pool.settings(whole);
        attempts = Math.min(attempts, whole.limits().maxAttempts());
        broker.settings(settings.with(classes.all(), attempts));
        door.longest(longest(settings));
        loop.stopSendingUs(settings.rules().stopSendingUs());
        int change = ++changes;
        loop.deadlines().after(RequestClassRegistry.CHANGE_US, () -> {
            if (change == changes) {
                attempts = whole.limits().maxAttempts();
                broker.settings(whole);
            }
        });
    }

    private static long longest(Router.Settings settings) {
        return settings.classes().stream()
                .mapToLong(Router.RequestClass::deadlineUs)
                .max()
                .orElse(0);
    }

    /** Goes over to the operators' new tiers; whether there are any, or none, is settled at the start. */
    public void reload(Config config, OperatorSettings operators) {
        if (!Objects.equals(cluster, operators.cluster())) {
            LOG.warning("other poolers are named now: they hold from the next start");
        }
        loop.thread()
                .execute(() -> operators
                        .zoneSettings(config.settings().zone(), config.zones())
                        .ifPresent(zones -> {
                            if (advice == null) {
                                LOG.warning("zones are stated now: they hold from the next start");
                            } else {
                                advice.configure(zones);
                            }
                        }));
    }

    private void listed(EndpointList list) {
        takeKnown();
        take(list, list.complete() ? Router.ListKind.FULL : Router.ListKind.CHANGES);
        serversAreKnown();
    }

    /**
     * The list known from the start counts only together with what changed since, or where discovery stays
     * silent: what drained or ended while this process was away and starting counts as told to it from its
     * first moment, and a start may take longer than the rule on drains allows.
     */
    private void takeKnown() {
        if (known != null) {
            EndpointList first = known;
            known = null;
            take(first, Router.ListKind.CACHED);
        }
    }

    /** Whether this process serves, what it waits for, and how old its view of the servers is. */
    private String health() {
        String missing =
                !serversKnown ? "servers" : !ordersTaken ? "orders" : listening.getCount() > 0 ? "sockets" : "nothing";
        return "clients=" + door.word().name().toLowerCase(Locale.ROOT) + " missing=" + missing + " " + watch
                + " next_discovery=" + (next == null ? "none" : "unanswered") + " open_requests="
                + broker.open() + " open_clients=" + listener.open() + " loop_late_ms=" + loop.lateUs() / 1000
                + " log_lines_dropped=" + Logging.dropped();
    }

    private void take(EndpointList list, Router.ListKind kind) {
        operator.listed(list, kind);
    }

    private void becomeReady() {
        boolean everything = serversKnown && ordersTaken && listening.getCount() == 0;
        if (everything && door.word() == ServingLifecycle.ReadinessStatus.STARTING) {
            takeKnown();
            door.ready();
            listener.sweep();
            LOG.info("ready");
        }
    }

    /** Where it listens, once it does. */
    public InetSocketAddress address() throws InterruptedException {
        listening.await();
        return listener.address();
    }

    /** Where operators call, once it listens; null where they may not. */
    public InetSocketAddress callsAt() throws InterruptedException {
        listening.await();
        return calls == null ? null : calls.address();
    }

    /**
     * Serves on, answers all that was taken, and returns. Clients keep using the connections they have for as
     * long as these stay open, and are nowhere better off: so they are served until shortly before SIGKILL is
     * due, what comes after the stay with no more time than is left until then.
     */
    public boolean stop() throws InterruptedException {
        loop.thread().execute(() -> {
            door.end(loop.clock().now());
            listener.sweep();
            loop.deadlines().at(door.sweepUs(), listener::sweep);
            loop.deadlines().at(door.lastUs(), listener::sweep);
            awaitEnd();
        });
        // A client that neither finishes a message nor goes away must not keep the process past SIGKILL.
        boolean clean = ended.await(door.longUs(), TimeUnit.MICROSECONDS);
        if (fellows != null) {
            fellows.leave(loop, LEAVE_MS);
        }
        return clean;
    }

    /** Ends the loop, and with it every socket; an inherited one takes standard output and error with it. */
    public void close() throws InterruptedException {
        loop.end();
    }

    private void awaitEnd() {
        if (door.mayEnd(loop.clock().now(), listener.open(), broker.open())) {
            ended.countDown();
        } else {
            loop.deadlines().after(CHECK_US, this::awaitEnd);
        }
    }

    /** What was taken in, sent and answered so far, on one line. */
    public String counters() {
        return loop.counters().toString();
    }
}
