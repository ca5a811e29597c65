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
 * Real processes of the program between stand-ins of all that they speak to, with a relay on every way. Owns
 * the processes, ports and relays, and ends them all. Everything but the processes runs on one event loop;
 * methods not marked otherwise are called on its thread.
 */
final class Fleet {
    private static final int FIRST_HOST = 10;
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
     * @param silentAfterMs after how long poolers count a silent peer as absent; 0 where they have no peers
     * @param operated whether operators call, and each pooler has a listening socket that outlives its process
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
                rules.answerSlackUs() + slackUs,
                rules.stopSendingUs() + slackUs,
                rules.onlyDrainingBinds(),
                rules.coldFrom(),
                rules.warmAfterUs(),
                rules.fallMultiple(),
                rules.fallUs());
    }

    /** A task for the event loop's thread. */
    interface Task<T> {
        T run() throws IOException;
    }

    /** Runs a task on the event loop and waits for its result; from any other thread. */
    <T> T onLoop(Task<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.thread().execute(() -> {
            try {
                done.complete(task.run());
            } catch (IOException | RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        return done.get();
    }

    private void build(int count, Path jar, long silentAfterMs) throws IOException {
        // Of this process alone, so that runs side by side never meet.
        long pid = ProcessHandle.current().pid();
        String net = "127." + (1 + pid % 250) + "." + pid / 250 % 250 + ".";
        servers = new StandInServers(run, new InetSocketAddress(net + 1, 0), this::publish);
        for (int i = 0; i < count; i++) {
            poolers.add(new PoolerNode(run, i, net + (FIRST_HOST + i), jar, servers));
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

    /** Puts a relay before each pooler's cluster address, and has all read a file that names the relays. */
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

    /** Each agent hears of a change late, and a little apart from the others. */
    private void publish(Router.Member entry) {
        for (PoolerNode pooler : poolers) {
            long delayUs = run.plan().listLagUs() + run.random().nextLong(MAX_LIST_SPREAD_US);
            run.scheduler().after(delayUs, () -> pooler.agent.publish(entry));
        }
    }

    /** Starts every pooler, and returns once all serve clients; not on the loop's thread. */
    void start() throws Exception {
        CompletableFuture<Void> ready = onLoop(() -> {
            run.schedule().restart();
            return lifecycle.startAll();
        });
        ready.get();
    }

    /** Clients ask from now on, and offsets of {@link #at} count from now; not on the loop's thread. */
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

    /** Judges what is still open: no more answers will come. Not on the loop's thread. */
    void judge() throws Exception {
        onLoop(() -> {
            run.invariants().end(run.scheduler().now());
            return null;
        });
    }

    /** Lets the poolers' system calls be made to fail; before {@link #start}, not on the loop's thread. */
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

    /** A server by its place among all. */
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

    /** What a pooler shows to on-call staff under a name; waits for it, from any thread. */
    String page(int pooler, String page) throws IOException {
        return poolers.get(pooler).process.page(page);
    }

    /** Ends every process, port and connection; from any thread but the loop's, and any number of times. */
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
        loop.end();
    }
}
