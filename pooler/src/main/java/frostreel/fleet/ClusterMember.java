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
    private final Set<String> configured;
    private final Set<Peer> suspected = new TreeSet<>();
    private final GroupMembership membership;
    private String joinFailure;

    /** Joins as {@code self}; its life is the time of its start, Unix milliseconds. */
    public ClusterMember(OperatorSettings.Cluster cluster, String self, EventLoop loop) {
        configured = cluster.members().keySet();
        Map<String, InetSocketAddress> members = new TreeMap<>();
        cluster.members().forEach((name, address) -> members.put(name, address.advertised()));
        membership = new GroupMembership(
                new ClusterSettings(
                        cluster.group(), self, cluster.members().get(self).bind(), members, cluster.silentAfterMs()),
                loop.clock().now() / 1000,
                loop.thread(),
                this);
    }

    @Override
    public void onViewChanged(MembershipView view, MembershipView before) {
        suspected.retainAll(view.members());
        view.joined(before).stream()
                .filter(p -> !p.equals(membership.self()))
                .forEach(p -> LOG.info("fleet: " + p.name() + " is here, life " + p.incarnation()));
        view.left(before).forEach(p -> LOG.warning("GW_FLEET: " + p.name() + " is gone, life " + p.incarnation()));
        if (view.merged()) {
            LOG.info("fleet: parts that were apart are one again");
        }
    }

    @Override
    public void onSuspected(Peer peer) {
        if (suspected.add(peer)) {
            LOG.warning("GW_FLEET: " + peer.name() + " is silent");
        }
    }

    @Override
    public void onMessage(Peer from, byte[] message) {
        LOG.fine("fleet: " + message.length + " bytes of " + from + " that nobody here knows");
    }

    @Override
    public void onJoinFailed(String why) {
        joinFailure = why;
    }

    /** Leaves, so that the others know at once; waits for that no longer than so many milliseconds. */
    public void leave(EventLoop loop, long timeoutMs) throws InterruptedException {
        loop.thread().execute(membership::leave);
        membership.awaitTermination(timeoutMs);
    }

    /** For on-call staff: one line of its own, and one for each pooler named. */
    @Override
    public String toString() {
        MembershipView view = membership.view();
        Map<String, Long> incarnations = view.members().stream().collect(Collectors.toMap(Peer::name, Peer::incarnation, Math::max));
        StringBuilder page = new StringBuilder("self=" + membership.self() + " view=" + view.number() + " here="
                + incarnations.size() + " named=" + configured.size() + " " + membership.counters()
                + (joinFailure == null ? "" : " failed='" + joinFailure + "'"));
        for (String name : configured) {
            Long incarnation = incarnations.get(name);
            boolean isSuspected = suspected.stream().anyMatch(p -> p.name().equals(name));
            page.append('\n')
                    .append(name)
                    .append(incarnation == null ? " absent" : " here life=" + incarnation)
                    .append(isSuspected ? " silent" : "");
        }
        return page.toString();
    }
}
