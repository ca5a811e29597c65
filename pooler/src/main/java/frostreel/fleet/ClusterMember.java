package frostreel.fleet;

import frostreel.cluster.ClusterSettings;
import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import frostreel.cluster.jgroups.GroupMembership;
import frostreel.net.EventLoop;
import frostreel.settings.OperatorSettings;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * This pooler among its fellows: owns its membership, says in the log who comes and goes, and shows it. On
 * the loop's thread. Nothing that is served depends on it.
 */
public final class ClusterMember implements Membership.Listener {
    private static final Logger LOG = Logger.getLogger(ClusterMember.class.getName());
    private final Set<String> named;
    private final Set<Peer> silent = new TreeSet<>();
    private final GroupMembership group;
    private String failure;

    /** Joins as {@code self}; its life is the time of its start, Unix milliseconds. */
    public ClusterMember(OperatorSettings.Cluster cluster, String self, EventLoop loop) {
        named = cluster.members().keySet();
        Map<String, InetSocketAddress> members = new TreeMap<>();
        cluster.members().forEach((name, address) -> members.put(name, address.advertised()));
        group = new GroupMembership(
                new ClusterSettings(
                        cluster.group(), self, cluster.members().get(self).bind(), members, cluster.silentAfterMs()),
                loop.clock().now() / 1000,
                loop.thread(),
                this);
    }

    @Override
    public void changed(MembershipView view, MembershipView before) {
        silent.retainAll(view.members());
        view.joined(before).stream()
                .filter(p -> !p.equals(group.self()))
                .forEach(p -> LOG.info("fleet: " + p.name() + " is here, life " + p.life()));
        view.left(before).forEach(p -> LOG.warning("GW_FLEET: " + p.name() + " is gone, life " + p.life()));
        if (view.merged()) {
            LOG.info("fleet: parts that were apart are one again");
        }
    }

    @Override
    public void suspected(Peer peer) {
        if (silent.add(peer)) {
            LOG.warning("GW_FLEET: " + peer.name() + " is silent");
        }
    }

    @Override
    public void received(Peer from, byte[] message) {
        LOG.fine("fleet: " + message.length + " bytes of " + from + " that nobody here knows");
    }

    @Override
    public void failed(String why) {
        failure = why;
    }

    /** Leaves, so that the others know at once; waits for that no longer than so many milliseconds. */
    public void leave(EventLoop loop, long mostMs) throws InterruptedException {
        loop.thread().execute(group::leave);
        group.awaitLeft(mostMs);
    }

    /** For on-call staff: one line of its own, and one for each pooler named. */
    @Override
    public String toString() {
        MembershipView view = group.view();
        Map<String, Long> lives = view.members().stream().collect(Collectors.toMap(Peer::name, Peer::life, Math::max));
        StringBuilder page = new StringBuilder("self=" + group.self() + " view=" + view.number() + " here="
                + lives.size() + " named=" + named.size() + " " + group.counters()
                + (failure == null ? "" : " failed='" + failure + "'"));
        for (String name : named) {
            Long life = lives.get(name);
            boolean quiet = silent.stream().anyMatch(p -> p.name().equals(name));
            page.append('\n')
                    .append(name)
                    .append(life == null ? " absent" : " here life=" + life)
                    .append(quiet ? " silent" : "");
        }
        return page.toString();
    }
}
