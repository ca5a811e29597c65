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
 * One run of a deployment in virtual time: poolers, servers, links, clients and a delayed endpoint list. The
 * seed of the plan determines the run. Faults are scheduled with {@link #at} before {@link #run}.
 */
public final class Simulation {
    /** An arbitrary Unix time, too large to be mistaken for a duration. */
    private static final long START_US = 1_700_000_000_000_000L;
    /** How long a run goes on after the last deadline, so that the last requests are answered. */
    private static final long AFTERMATH_US = 2_000_000;

    private static final long US_PER_SECOND = 1_000_000;

    private final SimulationPlan plan;
    private final VirtualTime time = new VirtualTime(START_US);
    private final Cluster cluster;
    private final PoolerFleet poolers;
    private final SimulatedClients clients;
    private final RunStatistics statistics;
    private final InvariantChecker invariants;

    /**
     * A run that has not begun.
     *
     * @param routers makes the router of each pooler
     */
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
            // The order of draws and of scheduled events is part of the run that a seed determines.
            SplittableRandom arrivals = seeds.split();
            poolers.startNext();
            clients.scheduleArrival(i, arrivals);
        }
    }

    private void publish(Server server) {
        poolers.publish(server);
    }

    /**
     * Distributes the requests unevenly over the poolers from the next request on: the first pooler gets so many
     * times as many as the last one, and the others fall geometrically between.
     */
    public void skewDemand(double times) {
        clients.skewDemand(times);
    }

    /** Schedules a task at an offset from the start, in microseconds. */
    public void at(long offsetUs, Runnable task) {
        time.after(START_US + offsetUs - time.now(), task);
    }

    /**
     * Kills a pooler, and starts it again after {@code downUs} with only its cached endpoint list. Its clients
     * go to other poolers meanwhile.
     */
    public void restart(int pooler, long downUs) {
        poolers.restart(pooler, downUs);
    }

    /** The servers of the run, for faults of single ones. */
    public Cluster cluster() {
        return cluster;
    }

    /** All servers of a zone vanish at once; the endpoint lists report that late. */
    public void loseZone(int zone) {
        cluster.zone(zone).forEach(cluster::vanish);
    }

    /** All servers of a zone start again, cold. */
    public void returnZone(int zone) {
        cluster.zone(zone).forEach(cluster::start);
    }

    /** Cuts or restores the network in one direction between two zones; the servers keep running. */
    public void cut(int from, int to, boolean isCut) {
        cluster.cut(from, to, isCut);
    }

    /** Makes requests take so many times as long at every server of a zone; 1 for the usual time. */
    public void slowZone(int zone, double times) {
        cluster.zone(zone).forEach(server -> server.faults().slowDown(times));
    }

    /** Sets how many seconds of the log the replicas of a zone apply per second. */
    public void replayZone(int zone, double rate) {
        cluster.zone(zone).forEach(server -> server.replayRate(rate));
    }

    /** Runs to the end, and a little longer until the last requests are answered. */
    public Simulation run() {
        long longestUs = plan.site().kinds().stream()
                .mapToLong(kind -> kind.requestClass().deadlineUs())
                .max()
                .orElse(0);
        time.runUntil(START_US + plan.durationUs() + longestUs + AFTERMATH_US);
        invariants.end(time.now());
        return this;
    }

    /** The figures of the run so far. */
    public RunStatistics statistics() {
        return statistics;
    }

    /** The rules that the run is checked against, with their violations. */
    public InvariantChecker invariants() {
        return invariants;
    }

    /** The number of servers that overload crashed while they were warming up. */
    public long overloadedServers() {
        return cluster.all().stream().filter(Server::overloaded).count();
    }

    /** The largest load of any server during its warm-up, as a multiple of its capacity at that time. */
    public double largestMultiple() {
        return cluster.all().stream().mapToDouble(Server::largestMultiple).max().orElse(0);
    }

    /** The number of attempts that poolers of one zone have begun at servers of another. */
    public long attempts(int from, int to) {
        return poolers.all().stream()
                .filter(pooler -> pooler.zone == from)
                .mapToLong(pooler -> pooler.attemptsTo(to))
                .sum();
    }

    /** The number of attempts of all poolers. */
    public long attempts() {
        return poolers.all().stream()
                .mapToLong(pooler -> pooler.counters.attemptsStarted)
                .sum();
    }

    /** The number of exceptions that reached the program's event loop or queue; must be 0. */
    public long strayExceptions() {
        return poolers.all().stream()
                .mapToLong(pooler -> pooler.counters.unexpectedExceptions)
                .sum();
    }

    /** The reads of sessions whose last commit was lost, in the order of their answers. */
    List<LostRead> lostReads() {
        return clients.lostReads();
    }

    /** The present capacity of all servers together, in cores of speed 1. */
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

    /** A text of all figures of the run; equal for equal runs, byte for byte. */
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
