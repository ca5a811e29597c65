package frostreel.lab.processes;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Scheduler;
import frostreel.lab.model.Server;
import frostreel.lab.rules.InvariantChecker;
import frostreel.lab.standin.RealTime;
import frostreel.lab.virtual.SimulationPlan;
import frostreel.net.EventLoop;
import frostreel.routing.Router;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Real processes of the program between stand-ins for all their remote parties, with a relay on each connection.
 * Owns the processes, ports and relays, and ends them all. Everything but the processes runs on one event loop;
 * methods are called on its thread, except where their comment says otherwise.
 */
final class Fleet {
    private static final int SERVERS_HOST = 1;
    private static final int FIRST_POOLER_HOST = 10;
    /** By how much the agents differ in when they learn of a change, at most. */
    private static final long MAX_LIST_SPREAD_US = 50_000;

    private static final long US_PER_SECOND = 1_000_000;

    private final EventLoop loop = new EventLoop();
    private final RunContext run;
    private final List<PoolerNode> poolers = new ArrayList<>();
    private final AtomicBoolean ended = new AtomicBoolean();
    private StandInServers servers;
    private LoadGenerator load;
    /** Null where the poolers do not see each other. */
    private PeerRelays peers;

    private PoolerLifecycle lifecycle;
    private ProcessUpgrades upgrades;
    private OperatorCalls operators;
    private NetworkFaults network;
    private SystemFaultInjector systemFaults;

    /**
     * Builds the fleet; no process runs yet.
     *
     * @param silentAfterMs after how long poolers consider a silent peer absent; 0 where they have no peers
     * @param operated whether poolers have admin endpoints and listening sockets that outlive their processes
     * @param folder takes configurations and logs
     * @param slackUs eases the time limits of the invariants
     */
    Fleet(
            SimulationPlan plan,
            int poolerCount,
            long silentAfterMs,
            boolean operated,
            Path jar,
            Path folder,
            long slackUs)
            throws Exception {
        Scheduler scheduler = new RealTime(loop);
        RunSchedule schedule = new RunSchedule(scheduler);
        Router.Settings settings = plan.settings(0, 0);
        Map<String, Router.RequestClass> classes = new HashMap<>();
        settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
        run = new RunContext(
                plan,
                operated,
                folder,
                loop,
                scheduler,
                new SplittableRandom(plan.seed()).split(),
                new InvariantChecker(settings.limits(), eased(settings.rules(), slackUs)),
                classes,
                schedule,
                new RunLog(schedule));
        onLoop(() -> {
            build(poolerCount, jar, silentAfterMs);
            return null;
        });
    }

    private static Router.Rules eased(Router.Rules rules, long slackUs) {
        return new Router.Rules(
                rules.responseSlackUs() + slackUs,
                rules.stopSendingUs() + slackUs,
                rules.goneMembersUsable(),
                rules.initialCapacityShare(),
                rules.warmUpUs(),
                rules.overloadMultiple(),
                rules.overloadWindowUs());
    }

    /** Runs a task on the event loop and waits for its result; from any other thread. */
    <T> T onLoop(LoopTasks.Task<T> task) throws Exception {
        return LoopTasks.call(loop, task);
    }

    private void build(int count, Path jar, long silentAfterMs) throws IOException {
        servers = new StandInServers(run, new InetSocketAddress(LoopbackHosts.host(SERVERS_HOST), 0), this::publish);
        for (int i = 0; i < count; i++) {
            poolers.add(new PoolerNode(run, i, LoopbackHosts.host(FIRST_POOLER_HOST + i), jar, servers));
        }
        SimulationPlan plan = run.plan();
        load = new LoadGenerator(
                loop,
                run.random().split(),
                poolers.stream().map(PoolerNode::clientAddress).toList(),
                plan.groups(),
                plan.load(),
                plan.clientRetries(),
                (int) (plan.durationUs() / US_PER_SECOND));
        if (silentAfterMs > 0) {
            connectPeers(silentAfterMs);
        }
        lifecycle = new PoolerLifecycle(run, poolers, load);
        upgrades = new ProcessUpgrades(run, poolers);
        operators = new OperatorCalls(run, poolers, servers);
        network = new NetworkFaults(run.log(), poolers, peers);
        systemFaults = new SystemFaultInjector(run, poolers);
    }

    /** Puts a relay in front of each pooler's cluster address, and writes the operators' file that names the relays. */
    private void connectPeers(long silentAfterMs) throws IOException {
        List<InetSocketAddress> binds = new ArrayList<>();
        for (PoolerNode pooler : poolers) {
            InetAddress host = pooler.process.listen.getAddress();
            binds.add(PoolerProcess.freePort(host));
        }
        peers = new PeerRelays(loop, binds);
        Path file = ClusterFile.write(run.folder(), silentAfterMs, poolers, binds, peers);
        poolers.forEach(pooler -> pooler.useSettings(file));
    }

    /** Publishes a change to each agent after the list's lag, at slightly different times. */
    private void publish(Router.Member member) {
        for (PoolerNode pooler : poolers) {
            long delayUs = run.plan().listLagUs() + run.random().nextLong(MAX_LIST_SPREAD_US);
            run.scheduler().after(delayUs, () -> pooler.agent.publish(member));
        }
    }

    /** Starts all poolers, and returns once they serve clients; not on the loop's thread. */
    void start() throws Exception {
        CompletableFuture<Void> ready = onLoop(() -> {
            run.schedule().restart();
            return lifecycle.startAll();
        });
        ready.get();
    }

    /** Starts the load and the faults, whose times count from now; not on the loop's thread. */
    void begin(List<ProcessFault> faults) throws Exception {
        onLoop(() -> {
            run.schedule().restart();
            faults.forEach(fault -> fault.schedule(this));
            load.begin();
            if (run.operated()) {
                load.watchReadiness();
            }
            return null;
        });
    }

    /** Checks the invariants on what is still open, as no more answers will come; not on the loop's thread. */
    void judge() throws Exception {
        onLoop(() -> {
            run.invariants().end(run.scheduler().now());
            return null;
        });
    }

    /** Prepares the poolers for failing system calls; before {@link #start}, not on the loop's thread. */
    void preloadSystemFaults() throws Exception {
        Path library = SystemFaults.compile(run.folder());
        onLoop(() -> {
            systemFaults.preload(library);
            return null;
        });
    }

    /** Runs a task at an offset from the run's start, unless the run has ended by then. */
    void at(long offsetUs, Runnable task) {
        run.schedule().at(offsetUs, task);
    }

    PoolerLifecycle lifecycle() {
        return lifecycle;
    }

    ProcessUpgrades upgrades() {
        return upgrades;
    }

    OperatorCalls operators() {
        return operators;
    }

    NetworkFaults network() {
        return network;
    }

    SystemFaultInjector systemFaults() {
        return systemFaults;
    }

    Cluster cluster() {
        return servers.cluster();
    }

    /** A server by its number, group by group and in each by zone. */
    Server server(int number) {
        return servers.server(number);
    }

    long seed() {
        return run.plan().seed();
    }

    LoadGenerator load() {
        return load;
    }

    InvariantChecker invariants() {
        return run.invariants();
    }

    /** The run's events in the order of their times. */
    List<String> log() {
        return run.log().lines();
    }

    /** A {@code SHOW} page of a pooler; blocks until it has come, from any thread. */
    String page(int pooler, String page) throws IOException {
        return poolers.get(pooler).process.page(page);
    }

    /** Ends all processes, ports and connections; idempotent, from any thread but the loop's. */
    void end() throws Exception {
        if (ended.getAndSet(true)) {
            return;
        }
        onLoop(() -> {
            run.schedule().end();
            return null;
        });
        for (PoolerNode pooler : poolers) {
            pooler.process.end();
        }
        onLoop(() -> {
            poolers.forEach(PoolerNode::close);
            servers.close();
            if (peers != null) {
                peers.close();
            }
            return null;
        });
        loop.shutDown();
    }
}
