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
 * Replica groups of servers over zones: who is primary, who has the log, and their faults. It knows no pooler.
 *
 * <p>Positions are times up to which a server has every commit that there still is. Where commits do not wait
 * for a replica, the successor of a lost primary has the log as far as it had applied it; what was committed
 * later is lost, and an old primary that comes back has dropped it too. So no position ever goes back: between
 * the end of that log and the new primary's first commit there is nothing to apply. A primary that hands over
 * loses nothing.
 */
public final class Cluster {
    private static final long WITHIN_ZONE_DELAY_US = 250;
    private static final long BETWEEN_ZONES_DELAY_US = 1_500;
    /** From the loss of a primary until a replica takes over. */
    private static final long MIN_ELECTION_US = 2_800_000;

    private static final long MAX_ELECTION_US = 6_500_000;
    /** A primary that drains hands over; a draining server ends after so long. */
    private static final long HANDOVER_US = 400_000;

    private static final long DRAIN_US = 3_000_000;
    private final Scheduler scheduler;
    private final SplittableRandom random;
    private final Consumer<Server> onChange;
    private final int groups;
    private final Links links;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    /** Commits that were answered and that no member has any more, of each group. */
    private final List<Set<Long>> lost = new ArrayList<>();

    /**
     * Each zone has one member of each group; {@code onChange} hears of each change that the endpoint list tells.
     */
    public Cluster(
            Scheduler scheduler, SplittableRandom random, int zones, int groups, int cores, Consumer<Server> onChange) {
        this(scheduler, random, ServerParameters.USUAL, zones, 1, groups, cores, onChange);
    }

    /** Each zone has {@code membersPerZone} of each group. */
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

    public Links links() {
        return links;
    }

    /** All servers, by their ids, group by group. */
    public Map<String, Server> servers() {
        return servers;
    }

    public Collection<Server> all() {
        return servers.values();
    }

    public List<Server> zone(int zone) {
        return servers.values().stream().filter(server -> server.zone == zone).toList();
    }

    /** Whether a group's commit was answered and is gone with its primary. */
    public boolean isLost(int group, long commitUs) {
        return lost.get(group).contains(commitUs);
    }

    /** How many such there are. */
    public int lostCommits() {
        return lost.stream().mapToInt(Set::size).sum();
    }

    private List<Server> group(int group) {
        return servers.values().stream().filter(server -> server.group == group).toList();
    }

    /** What a list says of a server. */
    public static Router.Member entry(Server server) {
        Router.State state =
                !server.up() ? Router.State.GONE : server.draining() ? Router.State.DRAINING : Router.State.UP;
        return new Router.Member(
                server.id, server.zone, 0, server.group, server.primary(), state, 1, server.startedUs());
    }

    /** Its machine is gone: it says nothing. */
    public void vanish(Server server) {
        end(server, server::vanish);
    }

    /** Its process ends: what it held ends as a reset. */
    public void crash(Server server) {
        end(server, server::crash);
    }

    private void end(Server server, Runnable ending) {
        if (server.up()) {
            boolean led = server.primary();
            ending.run();
            if (led) {
                elect(server.group);
            }
            onChange.accept(server);
        }
    }

    /** It wants nothing new, hands over if it leads, finishes what it has, and ends. */
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

    /** It comes back, cold. */
    public void start(Server server) {
        server.start();
        if (server.up()) {
            onChange.accept(server);
        }
        connectToLog(server.group);
    }

    /** Servers keep running, and what one zone sends another is lost on the way. */
    public void cut(int from, int to, boolean isCut) {
        links.cut(from, to, isCut);
        for (int group = 0; group < groups; group++) {
            connectToLog(group);
        }
    }

    /** Who has the log of a group's primary: all that it reaches. */
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

    /** The one that has most of the log, of those that run and stay. */
    private Server best(int group, Server excluded) {
        Server best = null;
        for (Server server : group(group)) {
            boolean fit = server.up() && !server.draining() && server != excluded;
            best = fit && (best == null || server.appliedUs() > best.appliedUs()) ? server : best;
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
