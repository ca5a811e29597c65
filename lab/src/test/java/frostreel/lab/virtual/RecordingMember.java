package frostreel.lab.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.cluster.Membership;
import frostreel.cluster.MembershipView;
import frostreel.cluster.Peer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Records the events of one incarnation in a {@link VirtualGroup}, and checks that each view follows the last. */
final class RecordingMember implements Membership.Listener {
    final List<MembershipView> views = new ArrayList<>();
    /** As {@code sender:text}. */
    final List<String> messages = new ArrayList<>();

    final Set<String> suspects = new TreeSet<>();
    final List<String> joinFailures = new ArrayList<>();
    final Membership membership;

    RecordingMember(VirtualGroup group, String name, long incarnation) {
        membership = group.join(name, incarnation, this);
    }

    /** The names of the members in its present view. */
    List<String> viewMembers() {
        return membership.view().members().stream().map(Peer::name).toList();
    }

    @Override
    public void onViewChanged(MembershipView view, MembershipView before) {
        assertThat(before).isEqualTo(views.isEmpty() ? MembershipView.NONE : views.get(views.size() - 1));
        assertThat(view.number()).isGreaterThan(before.number());
        assertThat(view.members()).contains(membership.self());
        views.add(view);
    }

    @Override
    public void onSuspected(Peer peer) {
        suspects.add(peer.name());
    }

    @Override
    public void onMessage(Peer from, byte[] message) {
        messages.add(from.name() + ":" + new String(message));
    }

    @Override
    public void onJoinFailed(String reason) {
        joinFailures.add(reason);
    }
}
