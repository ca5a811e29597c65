package frostreel.lab.virtual;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Server;
import frostreel.lab.model.VirtualTime;
import frostreel.lab.rules.InvariantChecker;
import frostreel.routing.Router;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/**
 * Poolers, servers, links, clients and an endpoint list that comes late, on virtual time: one seed, one run.
 * Faults are set before {@link #run}.
 */
public final class Simulation {
    /** Any time will do; this one can be told from a span of time. */
    private static final long START_US = 1_700_000_000_000_000L;
    /** What is asked near the end is still answered, so long after the longest deadline. */
    private static final long AFTERMATH_US = 2_000_000;

    private static final long US_PER_SECOND = 1_000_000;

    private final SimulationPlan plan;
    private final VirtualTime time = new VirtualTime(START_US);
    private final Cluster cluster;
    private final PoolerFleet poolers;
    private final SimulatedClients clients;
    private final RunStatistics statistics;
    private final InvariantChecker invariants;

    /** {@code routers}: makes the decisions that each pooler runs by. */
    public Simulation(SimulationPlan plan, BiFunction<Router.Settings, Router.Actions, Router> routers) {
        this.plan = plan;
        SplittableRandom seeds = new SplittableRandom(plan.seed());
        SplittableRandom environment = seeds.split();
        statistics = new RunStatistics(
                (int) (plan.durationUs() / US_PER_SECOND),
                plan.zones(),
                plan.site().kinds().size());
        Router.Settings settings = plan.settings(0, 0);
        invariants = new InvariantChecker(settings.limits(), settings.rules());
        cluster = new Cluster(
                time,
                environment,
                plan.site().serverParameters(),
                plan.zones(),
                plan.site().membersPerZone(),
                plan.groups(),
                plan.cores(),
                this::publish);
        poolers = new PoolerFleet(plan, time, cluster, invariants, environment, seeds, routers);
        clients = new SimulatedClients(plan, time, poolers, cluster, invariants, statistics);
        for (int i = 0; i < poolers.size(); i++) {
            // The order of draws and of scheduled events is part of what a seed stands for.
            SplittableRandom arrivals = seeds.split();
            poolers.startNext();
            clients.scheduleArrival(i, arrivals);
        }
    }

    private void publish(Server server) {
        poolers.publish(server);
    }

    /** From its next request on, the first of all poolers is asked so many times what the last one is. */
    public void skewDemand(double times) {
        clients.skewDemand(times);
    }

    /** Runs a task at an offset from the start. */
    public void at(long offsetUs, Runnable task) {
        time.after(START_US + offsetUs - time.now(), task);
    }

    /** A pooler is killed, and starts again with nothing but its cached list; its clients go to others. */
    public void restart(int pooler, long downUs) {
        poolers.restart(pooler, downUs);
    }

    /** The servers, for faults of single ones. */
    public Cluster cluster() {
        return cluster;
    }

    /** All servers of a zone vanish: they say nothing, and the list says so late. */
    public void loseZone(int zone) {
        cluster.zone(zone).forEach(cluster::vanish);
    }

    /** The zone's servers come back, all of them cold. */
    public void returnZone(int zone) {
        cluster.zone(zone).forEach(cluster::start);
    }

    /** Servers keep running, and what one zone sends another is lost on the way. */
    public void cut(int from, int to, boolean isCut) {
        cluster.cut(from, to, isCut);
    }

    /** Every server of a zone takes so many times as long. */
    public void slowZone(int zone, double times) {
        cluster.zone(zone).forEach(server -> server.slowDown(times));
    }

    /** Replicas of a zone apply so many seconds of the log in a second. */
    public void replayZone(int zone, double rate) {
        cluster.zone(zone).forEach(server -> server.replayRate(rate));
    }

    /** Plays to the end, and a little longer for what is still open. */
    public Simulation run() {
        long longestUs = plan.site().kinds().stream()
                .mapToLong(kind -> kind.requestClass().deadlineUs())
                .max()
                .orElse(0);
        time.runUntil(START_US + plan.durationUs() + longestUs + AFTERMATH_US);
        invariants.end(time.now());
        return this;
    }

    public RunStatistics statistics() {
        return statistics;
    }

    public InvariantChecker invariants() {
        return invariants;
    }

    /** How many servers were knocked over while cold. */
    public long overloadedServers() {
        return cluster.all().stream().filter(Server::overloaded).count();
    }

    /** The largest multiple of its present capacity that any cold server was sent. */
    public double largestMultiple() {
        return cluster.all().stream().mapToDouble(Server::largestMultiple).max().orElse(0);
    }

    /** Attempts begun by poolers of one zone to servers of another, since the start. */
    public long attempts(int from, int to) {
        return poolers.all().stream()
                .filter(pooler -> pooler.zone == from)
                .mapToLong(pooler -> pooler.sentTo[to])
                .sum();
    }

    /** Attempts of all poolers since the start. */
    public long attempts() {
        return poolers.all().stream()
                .mapToLong(pooler -> pooler.counters.attemptsStarted)
                .sum();
    }

    /** Exceptions that the program caught: none may be. */
    public long strayExceptions() {
        return poolers.all().stream()
                .mapToLong(pooler -> pooler.counters.unexpectedExceptions)
                .sum();
    }

    /** In the order of their answers. */
    List<LostRead> lostReads() {
        return clients.lostReads();
    }

    /** Cores' worth of work that all servers together can do now. */
    double capacity() {
        return cluster.all().stream()
                .filter(Server::up)
                .mapToDouble(Server::capacity)
                .sum();
    }

    /** Whether a group has a primary now. */
    boolean hasPrimary(int group) {
        return cluster.all().stream().anyMatch(server -> server.group == group && server.primary());
    }

    /** Equal for equal runs, to the byte. */
    public String digest() {
        StringBuilder text = new StringBuilder(statistics.toString());
        poolers.all().forEach(pooler -> text.append('\n').append(pooler.counters));
        invariants
                .rules()
                .forEach(rule ->
                        text.append('\n').append(rule.name()).append(": ").append(rule.broken()));
        return text.toString();
    }
}
