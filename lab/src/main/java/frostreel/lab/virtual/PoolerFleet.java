package frostreel.lab.virtual;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Scheduler;
import frostreel.lab.model.Server;
import frostreel.lab.rules.RunListener;
import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/** The poolers of a simulation with all their incarnations, and the endpoint list that each receives with a delay. */
final class PoolerFleet {
    /** From a pooler's restart until it receives the changes that its cached list lacks. */
    private static final long LIST_AFTER_START_US = 50_000;

    /** From a pooler's restart until it receives requests. */
    private static final long CLIENTS_AFTER_START_US = 100_000;
    /** The random part of the time that a change takes to reach a pooler, at most. */
    private static final long MAX_LIST_SPREAD_US = 50_000;

    private final SimulationPlan plan;
    private final Scheduler scheduler;
    private final Cluster cluster;
    private final Environment environment;
    private final SplittableRandom listDelays;
    private final SplittableRandom seeds;
    private final BiFunction<Router.Settings, Router.Actions, Router> routers;
    /** Every incarnation of every pooler, in the order of their starts. */
    private final List<VirtualPooler> all = new ArrayList<>();
    /** By pooler number: the incarnation that serves, or null. */
    private final VirtualPooler[] serving;
    /** By pooler number: the endpoint list as its agent has it, by server id. */
    private final List<Map<String, Router.Member>> lists = new ArrayList<>();

    private final Set<String> firstPrimaries = new HashSet<>();

    /**
     * A fleet of which no pooler has started.
     *
     * @param listDelays draws how late each change reaches each pooler
     * @param seeds draws the seeds of the poolers' settings
     */
    PoolerFleet(
            SimulationPlan plan,
            Scheduler scheduler,
            Cluster cluster,
            RunListener listener,
            SplittableRandom listDelays,
            SplittableRandom seeds,
            BiFunction<Router.Settings, Router.Actions, Router> routers) {
        this.plan = plan;
        this.scheduler = scheduler;
        this.cluster = cluster;
        environment = new Environment(scheduler, cluster.links(), cluster.servers(), listener);
        this.listDelays = listDelays;
        this.seeds = seeds;
        this.routers = routers;
        serving = new VirtualPooler[plan.zones() * plan.poolersPerZone()];
        cluster.all().stream().filter(Server::primary).forEach(server -> firstPrimaries.add(server.id));
    }

    /** The number of poolers, started or not. */
    int size() {
        return serving.length;
    }

    /** Starts the next pooler that has not started yet, with the full endpoint list. */
    void startNext() {
        int number = lists.size();
        Map<String, Router.Member> list = new LinkedHashMap<>();
        cluster.all().forEach(server -> list.put(server.id, listEntry(server)));
        lists.add(list);
        serving[number] = start(number);
        serving[number].updateEndpoints(Router.ListKind.FULL, List.copyOf(list.values()));
    }

    private VirtualPooler start(int number) {
        int zone = number % plan.zones();
        VirtualPooler pooler = new VirtualPooler(
                number,
                zone,
                plan.zones(),
                environment,
                plan.site().reports(),
                plan.settings(zone, seeds.nextLong()),
                routers);
        all.add(pooler);
        return pooler;
    }

    /** A server's entry in the list; its role is late, as at the start, or missing, as the settings state. */
    private Router.Member listEntry(Server server) {
        Router.Member entry = Cluster.entry(server);
        boolean primary = switch (plan.site().settings().listRole()) {
            case LATE -> entry.primary();
            case START -> firstPrimaries.contains(server.id);
            case SILENT -> false;
        };
        return new Router.Member(
                entry.id(),
                entry.zone(),
                entry.kind(),
                entry.group(),
                primary,
                entry.state(),
                entry.weight(),
                entry.startedUs());
    }

    /**
     * Kills a pooler, and starts it again with only its cached endpoint list. Its clients go to other poolers
     * meanwhile.
     */
    void restart(int number, long downUs) {
        VirtualPooler old = serving[number];
        if (old == null) {
            return;
        }
        old.kill();
        serving[number] = null;
        List<Router.Member> cached = currentList(number);
        scheduler.after(downUs, () -> {
            VirtualPooler pooler = start(number);
            pooler.updateEndpoints(Router.ListKind.CACHED, cached);
            scheduler.after(
                    LIST_AFTER_START_US, () -> pooler.updateEndpoints(Router.ListKind.CHANGES, currentList(number)));
            scheduler.after(CLIENTS_AFTER_START_US, () -> serving[number] = pooler);
        });
    }

    private List<Router.Member> currentList(int number) {
        return List.copyOf(lists.get(number).values());
    }

    /** Publishes a server's change, which reaches each pooler's endpoint list with a delay of its own. */
    void publish(Server server) {
        Router.Member entry = listEntry(server);
        for (int i = 0; i < serving.length; i++) {
            int number = i;
            long delayUs = plan.listLagUs() + listDelays.nextLong(MAX_LIST_SPREAD_US);
            scheduler.after(delayUs, () -> {
                lists.get(number).put(entry.id(), entry);
                if (serving[number] != null) {
                    serving[number].updateEndpoints(Router.ListKind.CHANGES, List.of(entry));
                }
            });
        }
    }

    /** The pooler that serves a pooler's clients: itself, or the next one that serves; null where none does. */
    VirtualPooler servingFor(int number) {
        for (int i = 0; i < serving.length; i++) {
            VirtualPooler pooler = serving[(number + i) % serving.length];
            if (pooler != null) {
                return pooler;
            }
        }
        return null;
    }

    /** Every incarnation of every pooler, in the order of their starts. */
    List<VirtualPooler> all() {
        return all;
    }
}
