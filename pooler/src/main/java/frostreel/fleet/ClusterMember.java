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
 * This process as a member of the cluster: owns its membership, logs who joins and leaves, and shows it to
 * operators. On the I/O thread. Nothing that is served depends on it.
 */
public final class ClusterMember implements Membership.Listener {
    private static final Logger LOG = Logger.getLogger(ClusterMember.class.getName());

    private final Set<String> configured;
    private final Set<Peer> suspected = new TreeSet<>();
    private final GroupMembership membership;
    /** Why joining failed for good; null unless it did. */
    private String joinFailure;

    /** Joins the cluster as {@code self}, with the start time in Unix milliseconds for its incarnation. */
    public ClusterMember(OperatorSettings.Cluster cluster, String self, EventLoop loop) {
        configured = cluster.members().keySet();
        membership =
                new GroupMembership(clusterSettings(cluster, self), loop.clock().now() / 1000, loop.thread(), this);
    }

    private static ClusterSettings clusterSettings(OperatorSettings.Cluster cluster, String self) {
        Map<String, InetSocketAddress> advertised = new TreeMap<>();
        cluster.members().forEach((name, address) -> advertised.put(name, address.advertised()));
        InetSocketAddress bind = cluster.members().get(self).bind();
        return new ClusterSettings(cluster.group(), self, bind, advertised, cluster.silentAfterMs());
    }

    @Override
    public void onViewChanged(MembershipView view, MembershipView before) {
        suspected.retainAll(view.members());
        view.joined(before).stream()
                .filter(peer -> !peer.equals(membership.self()))
                .forEach(peer -> LOG.info("cluster: " + peer.name() + " joined, incarnation " + peer.incarnation()));
        view.left(before)
                .forEach(peer -> LOG.warning(
                        "GW_FLEET: " + peer.name() + " is no longer a member, incarnation " + peer.incarnation()));
        if (view.merged()) {
            LOG.info("cluster partition healed");
        }
    }

    @Override
    public void onSuspected(Peer peer) {
        if (suspected.add(peer)) {
            LOG.warning("GW_FLEET: " + peer.name() + " is suspected");
        }
    }

    @Override
    public void onMessage(Peer from, byte[] message) {
        LOG.fine("cluster: ignored a message of " + message.length + " bytes from " + from);
    }

    @Override
    public void onJoinFailed(String reason) {
        joinFailure = reason;
    }

    /** Leaves the cluster, so that the other members know at once; blocks until then or until the timeout. */
    public void leave(EventLoop loop, long timeoutMs) throws InterruptedException {
        loop.thread().execute(membership::leave);
        membership.awaitTermination(timeoutMs);
    }

    /** The page {@code SHOW fleet}: a line for this member, and one for each pooler that is configured. */
    @Override
    public String toString() {
        MembershipView view = membership.view();
        Map<String, Long> incarnations =
                view.members().stream().collect(Collectors.toMap(Peer::name, Peer::incarnation, Math::max));
        StringBuilder page = new StringBuilder();
        page.append("self=").append(membership.self());
        page.append(" view=").append(view.number());
        page.append(" present=").append(incarnations.size());
        page.append(" configured=").append(configured.size());
        page.append(' ').append(membership.counters());
        if (joinFailure != null) {
            page.append(" failed='").append(joinFailure).append('\'');
        }
        for (String name : configured) {
            page.append('\n').append(describe(name, incarnations.get(name)));
        }
        return page.toString();
    }

    /** {@code incarnation}: null for a pooler that is absent. */
    private String describe(String name, Long incarnation) {
        boolean isSuspected = suspected.stream().anyMatch(peer -> peer.name().equals(name));
        return name
                + (incarnation == null ? " absent" : " present incarnation=" + incarnation)
                + (isSuspected ? " suspected" : "");
    }
}
