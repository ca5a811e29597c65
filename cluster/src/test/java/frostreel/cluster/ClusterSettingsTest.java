package frostreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

class ClusterSettingsTest {
    private static final InetSocketAddress ADDRESS_A = new InetSocketAddress("127.0.0.1", 7800);
    private static final InetSocketAddress ADDRESS_B = new InetSocketAddress("127.0.0.2", 7800);
    private static final InetSocketAddress WILDCARD = new InetSocketAddress("0.0.0.0", 7800);

    /** Good settings of the member a alone, and one change to them at a time. */
    private record Draft(
            String group, String self, InetSocketAddress bind, Map<String, InetSocketAddress> members, long silentMs) {
        static final Draft GOOD = new Draft("g", "a", ADDRESS_A, Map.of("a", ADDRESS_A), 1000);

        Draft group(String name) {
            return new Draft(name, self, bind, members, silentMs);
        }

        Draft self(String name) {
            return new Draft(group, name, bind, members, silentMs);
        }

        Draft bind(InetSocketAddress address) {
            return new Draft(group, self, address, members, silentMs);
        }

        Draft members(Map<String, InetSocketAddress> addresses) {
            return new Draft(group, self, bind, addresses, silentMs);
        }

        Draft silentMs(long millis) {
            return new Draft(group, self, bind, members, millis);
        }

        ClusterSettings settings() {
            return new ClusterSettings(group, self, bind, members, silentMs);
        }
    }

    @Test
    void wrongSettingsAreRejectedWithTheReason() {
        assertThat(Draft.GOOD.settings().advertised()).isEqualTo(ADDRESS_A);
        assertRejected(
                "the members do not name this pooler, c",
                draft -> draft.members(Map.of("a", ADDRESS_A, "b", ADDRESS_B)).self("c"));
        assertRejected(
                "b has another member's address", draft -> draft.members(Map.of("a", ADDRESS_A, "b", ADDRESS_A)));
        assertRejected("bind to one address, not to all", draft -> draft.bind(WILDCARD));
        assertRejected("a has no address of its own", draft -> draft.members(Map.of("a", WILDCARD)));
        assertRejected(
                "unknown address", draft -> draft.members(Map.of("a", InetSocketAddress.createUnresolved("x", 1))));
        assertRejected("unknown address", draft -> draft.members(Map.of("a", new InetSocketAddress("127.0.0.1", 0))));
        assertRejected("the group has no name", draft -> draft.group(" "));
        assertRejected("silentAfterMs is 499", draft -> draft.silentMs(499));
        assertRejected("silentAfterMs is 60001", draft -> draft.silentMs(60_001));
    }

    private static void assertRejected(String reason, UnaryOperator<Draft> change) {
        assertThatThrownBy(() -> change.apply(Draft.GOOD).settings()).hasMessageContaining(reason);
    }
}
