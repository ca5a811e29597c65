package frostreel.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

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
    void acceptsGoodSettings() {
        assertThat(Draft.GOOD.settings().advertised()).isEqualTo(ADDRESS_A);
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                fault(
                        "the members do not name this pooler, c",
                        draft -> draft.members(Map.of("a", ADDRESS_A, "b", ADDRESS_B))
                                .self("c")),
                fault("b has another member's address", draft -> draft.members(Map.of("a", ADDRESS_A, "b", ADDRESS_A))),
                fault("bind to one address, not to all", draft -> draft.bind(WILDCARD)),
                fault("a has no address of its own", draft -> draft.members(Map.of("a", WILDCARD))),
                fault(
                        "unknown address",
                        draft -> draft.members(Map.of("a", InetSocketAddress.createUnresolved("x", 1)))),
                fault("unknown address", draft -> draft.members(Map.of("a", new InetSocketAddress("127.0.0.1", 0)))),
                fault("the group has no name", draft -> draft.group(" ")),
                fault("silentAfterMs is 499", draft -> draft.silentMs(499)),
                fault("silentAfterMs is 60001", draft -> draft.silentMs(60_001)));
    }

    private static Arguments fault(String reason, UnaryOperator<Draft> change) {
        return Arguments.of(reason, change);
    }

    @ParameterizedTest
    @MethodSource("faults")
    void rejectsFaultySettingsWithTheReason(String reason, UnaryOperator<Draft> change) {
        Draft faulty = change.apply(Draft.GOOD);

        assertThatThrownBy(faulty::settings)
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(reason);
    }
}
