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
 * Groups of servers over zones: who leads, who has the log, and what befalls them. It knows no pooler.
 *
 * <p>Positions are times up to which a server has every commit that there still is. Where commits do not wait
 * for a replica, who takes over from a primary that is gone has the log as far as it had applied it; what was
 * committed later is lost, and an old primary that comes back has dropped it too. So no position ever goes
 * back: between the end of that log and its new primary's first commit there is nothing to be applied. A
 * primary that hands over loses nothing.
 */
public final class Cluster {
    private static final long WITHIN_US = 250;
    private static final long BETWEEN_US = 1_500;
    /** An election: so long until a primary is given up, and until a replica takes over. */
    private static final long LEAST_ELECTION_US = 2_800_000;

    private static final long MOST_ELECTION_US = 6_500_000;
    /** A primary that drains hands over; a draining server ends after so long. */
    private static final long HAND_OVER_US = 400_000;

    private static final long DRAIN_US = 3_000_000;
    private final Scheduler kernel;
    private final SplittableRandom chance;
    private final Consumer<Server> changed;
    private final int groups;
    private final Links links;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    /** Commits that were answered and that no member has any more, of each group. */
    private final List<Set<Long>> lost = new ArrayList<>();

    /**
     * Each zone has one member of each group; {@code changed} hears of each server that the list has news of.
     */
    public Cluster(
            Scheduler kernel, SplittableRandom chance, int zones, int groups, int cores, Consumer<Server> changed) {
        this(kernel, chance, ServerParameters.USUAL, zones, 1, groups, cores, changed);
    }

    /** Each zone has {@code members} of each group. */
    public Cluster(
            Scheduler kernel,
            SplittableRandom chance,
            ServerParameters physics,
            int zones,
            int members,
            int groups,
            int cores,
            Consumer<Server> changed) {
        this.kernel = kernel;
        this.chance = chance;
        this.groups = groups;
        this.changed = changed;
        links = new Links(zones, WITHIN_US, BETWEEN_US);
        for (int g = 0; g < groups; g++) {
            lost.add(new HashSet<>());
            for (int m = 0; m < zones * members; m++) {
                String id = String.format("g%03d-%08x", g, chance.nextInt());
                Server s = new Server(kernel, physics, id, m % zones, g, cores, 1);
                s.promote(m == g % zones);
                servers.put(id, s);
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
        return servers.values().stream().filter(s -> s.zone == zone).toList();
    }

    /** Whether a group's commit was answered and is gone with its primary. */
    public boolean lost(int group, long commitUs) {
        return lost.get(group).contains(commitUs);
    }

    /** How many such there are. */
    public int lost() {
        return lost.stream().mapToInt(Set::size).sum();
    }

    private List<Server> group(int group) {
        return servers.values().stream().filter(s -> s.group == group).toList();
    }

    /** What a list says of a server. */
    public static Router.Member entry(Server s) {
        Router.State state = !s.up() ? Router.State.GONE : s.draining() ? Router.State.DRAINING : Router.State.UP;
        return new Router.Member(s.id, s.zone, 0, s.group, s.primary(), state, 1, s.bornUs());
    }

    /** Its machine is gone: it says nothing. */
    public void vanish(Server s) {
        end(s, s::vanish);
    }

    /** Its process ends: what it held ends as a reset. */
    public void crash(Server s) {
        end(s, s::crash);
    }

    private void end(Server s, Runnable how) {
        if (s.up()) {
            boolean led = s.primary();
            how.run();
            if (led) {
                elect(s.group);
            }
            changed.accept(s);
        }
    }

    /** It wants nothing new, hands over if it leads, finishes what it has, and ends. */
    public void drain(Server s) {
        if (!s.up() || s.draining()) {
            return;
        }
        s.drain();
        changed.accept(s);
        kernel.after(HAND_OVER_US, () -> {
            Server best = s.primary() ? best(s.group, s) : null;
            if (best != null) {
                s.promote(false);
                lead(best);
            }
        });
        kernel.after(DRAIN_US, () -> crash(s));
    }

    /** It comes back, cold. */
    public void start(Server s) {
        s.start();
        if (s.up()) {
            changed.accept(s);
        }
        feed(s.group);
    }

    /** Servers keep running, and what one zone sends another is lost on the way. */
    public void cut(int from, int to, boolean isCut) {
        links.cut(from, to, isCut);
        for (int g = 0; g < groups; g++) {
            feed(g);
        }
    }

    /** Who has the log of a group's primary: all that it reaches. */
    private void feed(int group) {
        List<Server> members = group(group);
        Server primary = members.stream().filter(Server::primary).findFirst().orElse(null);
        members.forEach(s -> s.feed(primary != null && s.up() && links.open(primary.zone, s.zone)));
    }

    private void elect(int group) {
        feed(group);
        kernel.after(chance.nextLong(LEAST_ELECTION_US, MOST_ELECTION_US), () -> {
            if (group(group).stream().anyMatch(Server::primary)) {
                return;
            }
            Server best = best(group, null);
            if (best == null) {
                elect(group);
            } else {
                group(group).forEach(s -> lost.get(group).addAll(s.lose(best.applied())));
                best.succeed();
                tell(best);
            }
        });
    }

    /** The one that has most of the log, of those that run and stay. */
    private Server best(int group, Server but) {
        Server best = null;
        for (Server s : group(group)) {
            boolean fit = s.up() && !s.draining() && s != but;
            best = fit && (best == null || s.applied() > best.applied()) ? s : best;
        }
        return best;
    }

    private void lead(Server s) {
        s.promote(true);
        tell(s);
    }

    private void tell(Server primary) {
        feed(primary.group);
        changed.accept(primary);
    }
}
