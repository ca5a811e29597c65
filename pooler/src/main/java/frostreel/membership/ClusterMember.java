package frostreel.membership;

import frostreel.cluster.ClusterSettings;
import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import frostreel.cluster.jgroups.GroupMembership;
import frostreel.net.EventLoop;
import frostreel.settings.OperatorSettings;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * This process as a member of the cluster: owns its membership, logs which members join and leave, and reports it to
 * operators. Confined to the I/O thread, except for {@link #leave}. Serving does not depend on it.
 */
public final class ClusterMember implements Membership.Listener {
    private static final long MICROS_PER_MILLI = 1000;
    private static final Logger LOG = Logger.getLogger(ClusterMember.class.getName());

    private final Set<String> configured;
    private final Set<Peer> suspected = new TreeSet<>();
    private final GroupMembership membership;
    /** The reason why joining failed permanently, if it did. */
    private Optional<String> joinFailure = Optional.empty();

    /** Joins the cluster as {@code self}; the incarnation is the current time in Unix milliseconds. */
    public ClusterMember(OperatorSettings.Cluster cluster, String self, EventLoop loop) {
        configured = cluster.members().keySet();
        long incarnation = loop.clock().now() / MICROS_PER_MILLI;
        membership = new GroupMembership(clusterSettings(cluster, self), incarnation, loop.thread(), this);
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
        joinFailure = Optional.of(reason);
    }

    /**
     * Leaves the cluster, so that the other members are notified at once. Blocks until it has left or the timeout
     * has expired.
     */
    public void leave(EventLoop loop, long timeoutMs) throws InterruptedException {
        loop.thread().execute(membership::leave);
        membership.awaitTermination(timeoutMs);
    }

    /** Returns the page {@code SHOW fleet}: a line on this member's view, and one for each configured pooler. */
    public String statusPage() {
        MembershipView view = membership.view();
        Map<String, Long> incarnations =
                view.members().stream().collect(Collectors.toMap(Peer::name, Peer::incarnation, Math::max));
        StringBuilder page = new StringBuilder();
        page.append("self=").append(membership.self());
        page.append(" view=").append(view.number());
        page.append(" present=").append(incarnations.size());
        page.append(" configured=").append(configured.size());
        page.append(' ').append(membership.counters());
        joinFailure.ifPresent(reason -> page.append(" failed='").append(reason).append('\''));
        for (String name : configured) {
            page.append('\n').append(name);
            page.append(incarnations.containsKey(name) ? " present incarnation=" + incarnations.get(name) : " absent");
            page.append(isSuspected(name) ? " suspected" : "");
        }
        return page.toString();
    }

    private boolean isSuspected(String name) {
        return suspected.stream().anyMatch(peer -> peer.name().equals(name));
    }
}
