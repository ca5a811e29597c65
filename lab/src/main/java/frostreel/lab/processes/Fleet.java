package frostreel.lab.processes;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Scheduler;
import frostreel.lab.model.Server;
import frostreel.lab.rules.InvariantChecker;
import frostreel.lab.standin.Database;
import frostreel.lab.standin.Discovery;
import frostreel.lab.standin.RealTime;
import frostreel.lab.virtual.SimulationPlan;
import frostreel.net.EventLoop;
import frostreel.pg.Statement;
import frostreel.routing.Router;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.json.JSONObject;

/**
 * Real processes of the program between stand-ins of all that they speak to, with a link on every way. Owns
 * the processes, ports and links, and ends them all. Everything but the processes runs on one loop; methods
 * not marked otherwise are called on it.
 */
final class Fleet {
    /** What a pooler speaks to. */
    enum Side {
        CLIENTS,
        SERVERS,
        DISCOVERY
    }

    private static final int SOCKETS = 512;
    private static final int FIRST_HOST = 10;
    private static final long ASK_US = 50_000;
    /** SIGKILL after SIGTERM: the longest deadline, counted as 3 s where it is longer, and 0.7 s. */
    private static final long KILL_US = 3_700_000;

    private final SimulationPlan plan;
    private final boolean operated;
    private final Path folder;
    private final EventLoop loop = new EventLoop();
    private final Scheduler kernel = new RealTime(loop);
    private final SplittableRandom chance;
    private final InvariantChecker rules;
    private final Map<String, Router.RequestClass> classes = new HashMap<>();
    private final List<Pooler> poolers = new ArrayList<>();
    private final Map<String, Database> databases = new LinkedHashMap<>();
    private final Map<String, Long> bornUs = new HashMap<>();
    private final List<String> story = new ArrayList<>();
    /** Null where the poolers do not see each other. */
    private PeerLinks peers;

    private Path settings;
    private Cluster cluster;
    private LoadGenerator load;
    private long beganUs;
    private long upgrades;
    private long killed;
    private long refusedCalls;
    private long slowestStartUs;
    private boolean ending;
    private final AtomicBoolean ended = new AtomicBoolean();

    /** A pooler's process, with its agent and its links to all sides. */
    private final class Pooler {
        final PoolerProcess process;
        final Discovery agent;
        final Map<Side, List<FaultyRelay>> links = new HashMap<>();
        final Map<String, String> dials = new HashMap<>();
        final long seed = chance.nextLong();
        /** The list as its last life held it; the next one starts with that. */
        JSONObject known;

        boolean wanted;
        boolean upgrading;
        /** When the life that is not in yet was started, 0 where there is none. */
        long startedUs;

        Pooler(int number, String host, Path jar) throws IOException {
            InetSocketAddress any = new InetSocketAddress(host, 0);
            process = operated
                    ? new PoolerProcess(number, new SharedSocket(host), jar, folder)
                    : new PoolerProcess(number, free(host), jar, folder);
            List<FaultyRelay> servers = new ArrayList<>();
            SendOrder order = new SendOrder();
            for (Map.Entry<String, Database> d : databases.entrySet()) {
                FaultyRelay link = new FaultyRelay(
                        loop,
                        any,
                        d.getValue()::address,
                        true,
                        () -> new StatementRecorder(loop.clock(), number, d.getKey(), classes, rules, order));
                servers.add(link);
                order.looksBy(link::readNow);
                dials.put(d.getKey(), PoolerProcess.text(link.address()));
            }
            agent = new Discovery(loop, kernel, cluster, dials::get, any);
            links.put(Side.SERVERS, servers);
            links.put(
                    Side.DISCOVERY,
                    List.of(new FaultyRelay(
                            loop,
                            any,
                            agent::address,
                            true,
                            () -> new EndpointListRecorder(loop.clock(), number, rules))));
            links.put(
                    Side.CLIENTS,
                    List.of(new FaultyRelay(
                            loop,
                            any,
                            () -> process.listen,
                            false,
                            () -> new ClientRecorder(loop.clock(), number, classes, rules, operated))));
        }

        /** What its agent has counts as told from its first moment: it would have been, had it asked. */
        void start() {
            wanted = true;
            startedUs = kernel.now();
            rules.paused(kernel.now(), process.number, false);
            agent.members().stream()
                    .filter(m -> m.state() != Router.State.UP)
                    .forEach(m -> rules.told(kernel.now(), process.number, m.id(), m.state()));
            try {
                process.start(config(), discovery(), settings);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Starts a successor beside the life that runs; both are one pooler to the rules. */
        void succeed() {
            known = agent.whole();
            try {
                process.succeed(config(), discovery(), settings);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private JSONObject config() {
            return PlatformConfig.of(
                    plan.settings(process.number % plan.zones(), seed),
                    plan.zones(),
                    known == null ? agent.whole() : known,
                    SOCKETS);
        }

        private String discovery() {
            return PoolerProcess.text(links.get(Side.DISCOVERY).get(0).address());
        }
    }

    /**
     * Nothing runs yet; {@code folder} takes configurations and logs, {@code slackUs} eases the rules. Where
     * {@code silentAfterMs} is not 0, the poolers see each other, and notice silence after that time. Where
     * they are {@code operated}, operators call, and each has a listening socket that outlives it.
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
        this.plan = plan;
        this.operated = operated;
        this.folder = folder;
        SplittableRandom seeds = new SplittableRandom(plan.seed());
        chance = seeds.split();
        Router.Settings told = plan.settings(0, 0);
        told.classes().forEach(c -> classes.put(c.name(), c));
        Router.Rules r = told.rules();
        rules = new InvariantChecker(
                told.limits(),
                new Router.Rules(
                        r.answerSlackUs() + slackUs,
                        r.stopSendingUs() + slackUs,
                        r.onlyDrainingBinds(),
                        r.coldFrom(),
                        r.warmAfterUs(),
                        r.fallMultiple(),
                        r.fallUs()));
        onLoop(() -> {
            build(poolerCount, jar);
            if (silentAfterMs > 0) {
                join(silentAfterMs);
            }
            return null;
        });
    }

    interface Task<T> {
        T run() throws IOException;
    }

    /** Runs on the loop, from any other thread, and waits. */
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

    private void build(int count, Path jar) throws IOException {
        // Of this process alone, so that runs side by side never meet.
        long pid = ProcessHandle.current().pid();
        String net = "127." + (1 + pid % 250) + "." + pid / 250 % 250 + ".";
        cluster = new Cluster(kernel, chance, plan.zones(), plan.groups(), plan.cores(), this::changed);
        for (Server s : cluster.all()) {
            bornUs.put(s.id, 0L);
            databases.put(
                    s.id, new Database(loop, kernel, s, orders(), () -> fell(s), new InetSocketAddress(net + 1, 0)));
        }
        for (int i = 0; i < count; i++) {
            poolers.add(new Pooler(i, net + (FIRST_HOST + i), jar));
        }
        load = new LoadGenerator(
                loop,
                chance.split(),
                poolers.stream()
                        .map(p -> p.links.get(Side.CLIENTS).get(0).address())
                        .toList(),
                plan.groups(),
                plan.load(),
                plan.clientRetries(),
                (int) (plan.durationUs() / 1_000_000));
    }

    /** Puts a relay before each pooler's place in the group, and writes the operators' file for all. */
    private void join(long silentAfterMs) throws IOException {
        List<InetSocketAddress> binds = new ArrayList<>();
        for (Pooler p : poolers) {
            binds.add(free(p.process.listen.getAddress().getHostAddress()));
        }
        peers = new PeerLinks(loop, binds);
        StringBuilder file = new StringBuilder("<frostreel xmlns=\"urn:frostreel:settings:1\">\n"
                + "  <cluster silentAfterMs=\"" + silentAfterMs + "\">\n");
        for (int i = 0; i < binds.size(); i++) {
            file.append("    <pooler name=\"")
                    .append(poolers.get(i).process.name())
                    .append("\" at=\"")
                    .append(PoolerProcess.text(peers.address(i)))
                    .append("\" bind=\"")
                    .append(PoolerProcess.text(binds.get(i)))
                    .append("\"/>\n");
        }
        file.append("  </cluster>\n</frostreel>\n");
        settings = Files.writeString(folder.resolve("frostreel.xml"), file);
    }

    /** A port that nobody has now; a pooler keeps it over all its lives. */
    private static InetSocketAddress free(String host) throws IOException {
        return PoolerProcess.free(InetAddress.getByName(host));
    }

    /** Work by class, drawn; freshness is the pooler's to ask for by class and position. */
    private Database.Orders orders() {
        return new Database.Orders() {
            @Override
            public double workUs(Statement s) {
                for (SimulationPlan.Kind k : SimulationPlan.KINDS) {
                    if (k.c().name().equals(s.requestClass())) {
                        return k.leastUs() + chance.nextDouble() * (k.mostUs() - k.leastUs());
                    }
                }
                throw new IllegalArgumentException("no class " + s.requestClass());
            }

            @Override
            public long needUs(Statement s, long nowUs) {
                Router.RequestClass c = classes.get(s.requestClass());
                return s.write() ? 0 : c.boundUs() > 0 ? nowUs - c.boundUs() : s.afterMs() * 1000;
            }
        };
    }

    private void fell(Server s) {
        tell("server " + s.id + " fell over");
        rules.fell(kernel.now(), s.id);
        databases.get(s.id).resetAll();
    }

    /** The list has news of a server; each agent hears it late, and a little apart. */
    private void changed(Server s) {
        boolean restarted = bornUs.put(s.id, s.bornUs()) != s.bornUs();
        if (restarted || !s.up() && !s.vanished()) {
            databases.get(s.id).resetAll();
        }
        Router.Member entry = Cluster.entry(s);
        tell("server " + s.id + " is " + entry.state() + (entry.primary() ? ", primary" : ""));
        for (Pooler p : poolers) {
            kernel.after(plan.listLagUs() + chance.nextLong(50_000), () -> p.agent.hears(entry));
        }
    }

    private void tell(String what) {
        story.add(String.format(Locale.ROOT, "%8.3f s  %s", (kernel.now() - beganUs) / 1e6, what));
    }

    // ---- From the conductor's thread: begin, wait, end. ----

    /** Starts every pooler, and returns when all are in. */
    void start() throws Exception {
        List<CompletableFuture<Void>> in = new ArrayList<>();
        onLoop(() -> {
            beganUs = kernel.now();
            for (Pooler p : poolers) {
                CompletableFuture<Void> one = new CompletableFuture<>();
                in.add(one);
                p.start();
                load.awaitReady(p.process.number, () -> {
                    p.startedUs = 0;
                    one.complete(null);
                });
            }
            return null;
        });
        CompletableFuture.allOf(in.toArray(CompletableFuture[]::new)).get();
    }

    /** Clients ask from now on, and what was set by {@link #at} counts from now. */
    void begin(List<Consumer<Fleet>> faults) throws Exception {
        onLoop(() -> {
            beganUs = kernel.now();
            faults.forEach(f -> f.accept(this));
            load.begin();
            if (operated) {
                load.watchReadiness();
            }
            return null;
        });
    }

    /** What has been answered is all there is: judges what is still open. */
    void judge() throws Exception {
        onLoop(() -> {
            rules.end(kernel.now());
            return null;
        });
    }

    // ---- Faults. ----

    void at(long us, Runnable what) {
        kernel.after(beganUs + us - kernel.now(), () -> {
            if (!ending) {
                what.run();
            }
        });
    }

    /** SIGKILL, and a new life later; {@code in} runs once the new life has been taken in. */
    void kill(int pooler, long awayUs, Runnable in) {
        Pooler p = poolers.get(pooler);
        if (!p.wanted) {
            return; // It is away already.
        }
        tell(p.process.name() + " is killed");
        gone(p);
        p.wanted = false;
        p.known = p.agent.whole();
        p.process.kill();
        kernel.after(awayUs, () -> restart(p, in));
    }

    /** What still reaches its machine is owed by nobody. */
    private void gone(Pooler p) {
        rules.died(kernel.now(), p.process.number);
        rules.paused(kernel.now(), p.process.number, true);
    }

    /** SIGTERM, and a new life after its end. */
    void stop(int pooler, long awayUs, Runnable in) {
        Pooler p = poolers.get(pooler);
        if (!p.wanted) {
            return;
        }
        tell(p.process.name() + " is told to stop");
        p.wanted = false;
        p.process.terminate(() -> loop.thread().execute(() -> {
            tell(p.process.name() + " has ended");
            p.known = p.agent.whole();
            gone(p);
            kernel.after(awayUs, () -> restart(p, in));
        }));
    }

    private void restart(Pooler p, Runnable in) {
        if (ending) {
            return;
        }
        tell(p.process.name() + " starts again");
        p.start();
        load.awaitReady(p.process.number, () -> {
            tell(p.process.name() + " is in");
            isIn(p);
            in.run();
        });
    }

    private void isIn(Pooler p) {
        slowestStartUs = slowestStartUs();
        p.startedUs = 0;
    }

    /** How long the slowest start after the first took until it was in, or has taken by now. */
    long slowestStartUs() {
        return poolers.stream()
                .filter(p -> p.startedUs > 0)
                .mapToLong(p -> kernel.now() - p.startedUs)
                .reduce(slowestStartUs, Math::max);
    }

    /**
     * A successor is started beside a pooler's process, which is told to stop once the successor says that it
     * takes clients. Where {@code dieUs} is not 0, the successor is killed so long after its start instead.
     */
    void upgrade(int pooler, long dieUs) {
        Pooler p = poolers.get(pooler);
        if (!p.wanted || p.upgrading) {
            return;
        }
        p.upgrading = true;
        tell(p.process.name() + " gets a successor");
        p.succeed();
        if (dieUs > 0) {
            kernel.after(dieUs, () -> {
                tell(p.process.name() + ": the successor is killed");
                p.process.abort();
                p.upgrading = false;
            });
        } else {
            awaitSuccessor(p);
        }
    }

    private void awaitSuccessor(Pooler p) {
        AdminCall.make(loop, p.process.control(), "STATUS", answer -> {
            if (ending) {
                return;
            }
            if (!answer.equals("OK")) {
                kernel.after(ASK_US, () -> awaitSuccessor(p));
                return;
            }
            tell(p.process.name() + ": the successor takes clients");
            upgrades++;
            AtomicBoolean gone = new AtomicBoolean();
            p.process.retire(() -> loop.thread().execute(() -> {
                tell(p.process.name() + ": the old process has ended");
                gone.set(true);
                p.upgrading = false;
            }));
            kernel.after(KILL_US, () -> {
                if (!gone.get() && !ending) {
                    tell(p.process.name() + ": the old process is killed");
                    killed++;
                    p.process.finish();
                }
            });
        });
    }

    /** A call at the newest process of a pooler; {@code server} is negative where it names none. */
    void call(int pooler, String call, int server) {
        Pooler p = poolers.get(pooler);
        String id = server < 0 ? null : server(server).id;
        if (call.equals("RESTORE")) {
            rules.takenOut(kernel.now(), pooler, id, false); // It may be used before the answer has come.
        }
        AdminCall.make(loop, p.process.control(), id == null ? call : call + " " + id, answer -> {
            tell(p.process.name() + ": " + call + (id == null ? "" : " " + id) + ": " + answer);
            refusedCalls += answer.startsWith("OK") ? 0 : 1;
            if (call.equals("SUSPEND") && answer.startsWith("OK")) {
                rules.takenOut(kernel.now(), pooler, id, true);
            }
        });
    }

    /** Upgrades that came to their end, old processes that had to be killed, calls not answered OK. */
    long upgrades() {
        return upgrades;
    }

    long killed() {
        return killed;
    }

    long refusedCalls() {
        return refusedCalls;
    }

    /** Lets the poolers' system calls be made to fail; before {@link #start}, not on the loop. */
    void preloadFaults() throws Exception {
        Path library = SystemFaults.compile(folder);
        onLoop(() -> {
            for (Pooler p : poolers) {
                p.process.faults(new SystemFaults(library, folder.resolve(p.process.name() + ".faults")));
            }
            return null;
        });
    }

    /** System calls of a pooler's processes fail from now on for so long, so often at most. */
    void strike(int pooler, SystemFaults.Call call, SystemFaults.Error error, long forUs, long times, long spanUs) {
        tell("p" + pooler + ": " + call + " meets " + error + " for " + forUs / 1000 + " ms"
                + (times == SystemFaults.ALWAYS ? "" : ", " + times + " times"));
        poolers.get(pooler).process.faults().strike(call, error, forUs, times, spanUs);
    }

    /** SIGSTOP or SIGCONT; what a paused pooler could not answer, nobody is owed. */
    void pause(int pooler, boolean paused) {
        Pooler p = poolers.get(pooler);
        if (!p.process.alive()) {
            return;
        }
        tell(p.process.name() + (paused ? " is paused" : " goes on"));
        try {
            p.process.signal(paused ? "STOP" : "CONT");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        rules.paused(kernel.now(), pooler, paused);
    }

    /** {@code in}: what the pooler hears, {@code out}: what it says. */
    void cut(int pooler, Side side, boolean in, boolean out) {
        tell("p" + pooler + " to " + side + ": in " + (in ? "cut" : "open") + ", out " + (out ? "cut" : "open"));
        boolean near = side != Side.CLIENTS;
        links(pooler, side).forEach(l -> l.cut(near ? out : in, near ? in : out));
    }

    private List<FaultyRelay> links(int pooler, Side side) {
        return poolers.get(pooler).links.get(side);
    }

    /** Every byte so much later, each way. */
    void delay(int pooler, Side side, long us) {
        tell("p" + pooler + " to " + side + ": " + us / 1000 + " ms later");
        links(pooler, side).forEach(l -> l.delay(us));
    }

    /** So many bytes a second on each connection, 0 for no bound. */
    void slow(int pooler, Side side, long bytesPerS) {
        tell("p" + pooler + " to " + side + ": "
                + (bytesPerS == 0 ? "as fast as it goes" : bytesPerS + " bytes a second"));
        links(pooler, side).forEach(l -> l.slow(bytesPerS));
    }

    /** What {@code from} say to {@code to} is cut, or heard again; the other way is left as it is. */
    void cutPeers(List<Integer> from, List<Integer> to, boolean isCut) {
        tell("what " + from + " say to " + to + " is " + (isCut ? "cut" : "heard again"));
        from.forEach(f -> to.forEach(t -> peers.cut(f, t, isCut)));
    }

    /** Every byte between the two sides so much later, each way. */
    void delayPeers(List<Integer> from, List<Integer> to, long us) {
        tell("between " + from + " and " + to + ": " + us / 1000 + " ms later");
        from.forEach(f -> to.forEach(t -> peers.delay(f, t, us)));
    }

    /** So many bytes a second on each connection between the two sides, 0 for no bound. */
    void slowPeers(List<Integer> from, List<Integer> to, long bytesPerS) {
        tell("between " + from + " and " + to + ": "
                + (bytesPerS == 0 ? "as fast as it goes" : bytesPerS + " bytes a second"));
        from.forEach(f -> to.forEach(t -> peers.slow(f, t, bytesPerS)));
    }

    /** Every connection ends. */
    void reset(int pooler, Side side) {
        tell("p" + pooler + " to " + side + ": reset");
        links(pooler, side).forEach(FaultyRelay::reset);
    }

    long seed() {
        return plan.seed();
    }

    Cluster cluster() {
        return cluster;
    }

    Server server(int number) {
        return List.copyOf(cluster.all()).get(number);
    }

    // ---- What it showed. ----

    LoadGenerator load() {
        return load;
    }

    InvariantChecker rules() {
        return rules;
    }

    List<String> story() {
        return story;
    }

    /** From any thread: what a pooler shows to on-call staff. */
    String page(int pooler, String page) throws IOException {
        return poolers.get(pooler).process.page(page);
    }

    /** Processes that ended though nobody ended them. */
    List<String> crashed() {
        return poolers.stream()
                .filter(p -> p.wanted && !p.process.alive())
                .map(p -> p.process.name())
                .toList();
    }

    /** Ends every process, port and connection; from any thread but the loop's, and as often as one likes. */
    void end() throws Exception {
        if (ended.getAndSet(true)) {
            return;
        }
        onLoop(() -> {
            ending = true;
            return null;
        });
        for (Pooler p : poolers) {
            p.process.end();
        }
        onLoop(() -> {
            for (Pooler p : poolers) {
                p.links.values().forEach(links -> links.forEach(FaultyRelay::close));
                p.agent.close();
            }
            databases.values().forEach(Database::close);
            if (peers != null) {
                peers.close();
            }
            return null;
        });
        loop.end();
    }
}
