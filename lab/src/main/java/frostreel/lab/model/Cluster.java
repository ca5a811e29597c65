package frostreel.lab.model;

import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * The replica groups of a deployment, spread over zones: elects primaries, replicates their logs and injects
 * faults. It knows no pooler.
 *
 * <p>The position of a server is the time up to which it has applied every commit that still exists. Where
 * commits are asynchronous, the successor of a lost primary has the log only as far as it had applied it;
 * later commits are lost, and the former primary drops them too when it returns. No position ever decreases:
 * between the end of the inherited log and the new primary's first commit there is nothing to apply. A planned
 * handover loses nothing.
 *
 * <p>Owns the servers and the links; used by the scheduler's one thread.
 */
public final class Cluster {
    private static final long WITHIN_ZONE_DELAY_US = 250;
    private static final long BETWEEN_ZONES_DELAY_US = 1_500;
    /** Bounds of the time from the loss of a primary until a replica takes over. */
    private static final long MIN_ELECTION_US = 2_800_000;

    private static final long MAX_ELECTION_US = 6_500_000;
    /** From the start of a drain until a primary hands over. */
    private static final long HANDOVER_US = 400_000;

    /** From the start of a drain until the process ends. */
    private static final long DRAIN_US = 3_000_000;

    private final Scheduler scheduler;
    private final SplittableRandom random;
    private final Consumer<Server> onChange;
    private final int groups;
    private final Links links;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    /** By group: the commits that were acknowledged and that no member has any more. */
    private final List<Set<Long>> lost = new ArrayList<>();

    /**
     * A deployment with the usual server parameters, and with one member of each group in each zone.
     *
     * @param random draws the servers' ids and the times of elections
     * @param cores of each server
     * @param onChange notified of each change that the endpoint list reports: start, drain, end, promotion
     */
    public Cluster(
            Scheduler scheduler, SplittableRandom random, int zones, int groups, int cores, Consumer<Server> onChange) {
        this(scheduler, random, ServerParameters.USUAL, zones, 1, groups, cores, onChange);
    }

    /**
     * A deployment whose zones have several members of each group; the first primaries are spread over the
     * zones.
     *
     * @param random draws the servers' ids and the times of elections
     * @param membersPerZone members of each group in each zone
     * @param cores of each server
     * @param onChange notified of each change that the endpoint list reports: start, drain, end, promotion
     */
    public Cluster(
            Scheduler scheduler,
            SplittableRandom random,
            ServerParameters parameters,
            int zones,
            int membersPerZone,
            int groups,
            int cores,
            Consumer<Server> onChange) {
        this.scheduler = scheduler;
        this.random = random;
        this.groups = groups;
        this.onChange = onChange;
        links = new Links(zones, WITHIN_ZONE_DELAY_US, BETWEEN_ZONES_DELAY_US);
        for (int group = 0; group < groups; group++) {
            lost.add(new HashSet<>());
            for (int m = 0; m < zones * membersPerZone; m++) {
                String id = String.format("g%03d-%08x", group, random.nextInt());
                Server server = new Server(scheduler, parameters, id, m % zones, group, cores, 1);
                server.promote(m == group % zones);
                servers.put(id, server);
            }
        }
    }

    /** The network between the zones, with its present cuts. */
    public Links links() {
        return links;
    }

    /** All servers by id, group by group. */
    public Map<String, Server> servers() {
        return servers;
    }

    /** All servers, group by group. */
    public Collection<Server> all() {
        return servers.values();
    }

    /** The servers of one zone, whether they run or not. */
    public List<Server> zone(int zone) {
        return servers.values().stream().filter(server -> server.zone == zone).toList();
    }

    /** Whether a commit of a group was acknowledged and then lost with its primary. */
    public boolean isLost(int group, long commitUs) {
        return lost.get(group).contains(commitUs);
    }

    /** The number of acknowledged commits that were lost, in all groups. */
    public int lostCommits() {
        return lost.stream().mapToInt(Set::size).sum();
    }

    private List<Server> group(int group) {
        return servers.values().stream().filter(server -> server.group == group).toList();
    }

    /** The entry of the endpoint list that describes a server's present state. */
    public static Router.Member entry(Server server) {
        Router.State state =
                !server.up() ? Router.State.GONE : server.draining() ? Router.State.DRAINING : Router.State.UP;
        return new Router.Member(
                server.id, server.zone, 0, server.group, server.primary(), state, 1, server.startedUs());
    }

    /** The server's machine is gone: it neither answers nor resets its connections. */
    public void vanish(Server server) {
        end(server, server::vanish);
    }

    /** The server's process ends: its requests end with a connection reset. */
    public void crash(Server server) {
        end(server, server::crash);
    }

    private void end(Server server, Runnable ending) {
        if (server.up()) {
            boolean wasPrimary = server.primary();
            ending.run();
            if (wasPrimary) {
                elect(server.group);
            }
            onChange.accept(server);
        }
    }

    /**
     * Starts a graceful shutdown: the server rejects new requests, hands over if it is the primary, completes
     * the requests it has, and ends.
     */
    public void drain(Server server) {
        if (!server.up() || server.draining()) {
            return;
        }
        server.drain();
        onChange.accept(server);
        scheduler.after(HANDOVER_US, () -> {
            Server best = server.primary() ? best(server.group, server) : null;
            if (best != null) {
                server.promote(false);
                makePrimary(best);
            }
        });
        scheduler.after(DRAIN_US, () -> crash(server));
    }

    /** Starts a stopped server, cold. */
    public void start(Server server) {
        server.start();
        if (server.up()) {
            onChange.accept(server);
        }
        connectToLog(server.group);
    }

    /** Cuts or restores the network in one direction between two zones; the servers keep running. */
    public void cut(int from, int to, boolean isCut) {
        links.cut(from, to, isCut);
        for (int group = 0; group < groups; group++) {
            connectToLog(group);
        }
    }

    /** Connects each running member that the group's primary reaches to the primary's log, and no other. */
    private void connectToLog(int group) {
        List<Server> members = group(group);
        Server primary = members.stream().filter(Server::primary).findFirst().orElse(null);
        members.forEach(
                server -> server.connectToLog(primary != null && server.up() && links.open(primary.zone, server.zone)));
    }

    private void elect(int group) {
        connectToLog(group);
        scheduler.after(random.nextLong(MIN_ELECTION_US, MAX_ELECTION_US), () -> {
            if (group(group).stream().anyMatch(Server::primary)) {
                return;
            }
            Server best = best(group, null);
            if (best == null) {
                elect(group);
            } else {
                group(group).forEach(server -> lost.get(group).addAll(server.dropCommitsAfter(best.appliedUs())));
                best.succeedLostPrimary();
                announce(best);
            }
        });
    }

    /** The most up-to-date member that runs and is not draining; null where there is none. */
    private Server best(int group, Server excluded) {
        Server best = null;
        for (Server server : group(group)) {
            boolean eligible = server.up() && !server.draining() && server != excluded;
            best = eligible && (best == null || server.appliedUs() > best.appliedUs()) ? server : best;
        }
        return best;
    }

    private void makePrimary(Server server) {
        server.promote(true);
        announce(server);
    }

    private void announce(Server primary) {
        connectToLog(primary.group);
        onChange.accept(primary);
    }
}
