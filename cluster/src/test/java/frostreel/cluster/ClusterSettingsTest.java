package frostreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ClusterSettingsTest {
    private static final InetSocketAddress A = new InetSocketAddress("127.0.0.1", 7800);
    private static final InetSocketAddress B = new InetSocketAddress("127.0.0.2", 7800);

    @Test
    void faultsAreNamed() {
        refused("the members do not name this pooler, c", "g", "c", A, Map.of("a", A, "b", B), 1000);
        refused("b has another member's address", "g", "a", A, Map.of("a", A, "b", A), 1000);
        refused(
                "bind to one address, not to all",
                "g",
                "a",
                new InetSocketAddress("0.0.0.0", 7800),
                Map.of("a", A),
                1000);
        refused("a has no address of its own", "g", "a", A, Map.of("a", new InetSocketAddress("0.0.0.0", 7800)), 1000);
        refused("unknown address", "g", "a", A, Map.of("a", InetSocketAddress.createUnresolved("x", 1)), 1000);
        refused("unknown address", "g", "a", A, Map.of("a", new InetSocketAddress("127.0.0.1", 0)), 1000);
        refused("the group has no name", " ", "a", A, Map.of("a", A), 1000);
        refused("silentAfterMs is 499", "g", "a", A, Map.of("a", A), 499);
        refused("silentAfterMs is 60001", "g", "a", A, Map.of("a", A), 60_001);
    }

    private static void refused(
            String why,
            String group,
            String self,
            InetSocketAddress bind,
            Map<String, InetSocketAddress> members,
            long silentMs) {
        assertThatThrownBy(() -> new ClusterSettings(group, self, bind, members, silentMs))
                .hasMessageContaining(why);
    }

    @Test
    void whoCameAndWhoWentIsSeenFromTwoViews() {
        Peer a = new Peer("a", 1);
        Peer b = new Peer("b", 1);
        Peer again = new Peer("b", 2);
        MembershipView before = new MembershipView(1, List.of(b, a), false);
        MembershipView after = new MembershipView(2, List.of(a, again), false);
        assertThat(before.members()).containsExactly(a, b);
        assertThat(after.joined(before)).containsExactly(again);
        assertThat(after.left(before)).containsExactly(b);
        assertThat(before.joined(MembershipView.NONE)).containsExactly(a, b);
    }
}
