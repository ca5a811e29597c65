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

/**
 * The poolers of a simulation over all their incarnations, and the endpoint list that reaches each of them
 * late.
 */
final class PoolerFleet {
    /** A pooler that starts hears what its list has missed, and is then dealt clients. */
    private static final long LIST_AFTER_START_US = 50_000;

    private static final long CLIENTS_AFTER_START_US = 100_000;
    private static final long MAX_LIST_SPREAD_US = 50_000;

    private final SimulationPlan plan;
    private final Scheduler scheduler;
    private final Cluster cluster;
    private final RunListener listener;
    private final SplittableRandom listDelays;
    private final SplittableRandom seeds;
    private final BiFunction<Router.Settings, Router.Actions, Router> routers;
    /** Every incarnation of every pooler. */
    private final List<VirtualPooler> all = new ArrayList<>();
    /** The incarnation that serves under each number, or null. */
    private final VirtualPooler[] serving;
    /** What each one's agent holds of the endpoint list. */
    private final List<Map<String, Router.Member>> lists = new ArrayList<>();

    private final Set<String> firstPrimaries = new HashSet<>();

    /** {@code seeds}: of the poolers' settings; {@code listDelays}: how late each change reaches each pooler. */
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
        this.listener = listener;
        this.listDelays = listDelays;
        this.seeds = seeds;
        this.routers = routers;
        serving = new VirtualPooler[plan.zones() * plan.poolersPerZone()];
        cluster.all().stream().filter(Server::primary).forEach(server -> firstPrimaries.add(server.id));
    }

    /** How many poolers there are. */
    int size() {
        return serving.length;
    }

    /** Starts the next pooler of those not started yet, with the whole endpoint list. */
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
                scheduler,
                cluster.links(),
                cluster.servers(),
                listener,
                plan.site().reports(),
                plan.settings(zone, seeds.nextLong()),
                routers);
        all.add(pooler);
        return pooler;
    }

    /** What the list says of a server, whose role it may have late, as at the start, or not at all. */
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

    /** A pooler is killed, and starts again with nothing but its cached list; its clients go to others. */
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

    /** A server changed: the list of each pooler has it late. */
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

    /** Who serves in place of a pooler: itself, or the next that does; null where none does. */
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
