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

/** Tests the validation of cluster settings. */
class ClusterSettingsTest {
    private static final InetSocketAddress ADDRESS_A = new InetSocketAddress("127.0.0.1", 7800);
    private static final InetSocketAddress ADDRESS_B = new InetSocketAddress("127.0.0.2", 7800);
    private static final InetSocketAddress WILDCARD = new InetSocketAddress("0.0.0.0", 7800);

    /** Valid settings of a cluster with the only member a; each method returns a copy with one change. */
    private record Draft(
            String clusterName,
            String self,
            InetSocketAddress bind,
            Map<String, InetSocketAddress> members,
            long silentMs) {
        static final Draft VALID = new Draft("g", "a", ADDRESS_A, Map.of("a", ADDRESS_A), 1000);

        Draft clusterName(String newName) {
            return new Draft(newName, self, bind, members, silentMs);
        }

        Draft self(String name) {
            return new Draft(clusterName, name, bind, members, silentMs);
        }

        Draft bind(InetSocketAddress address) {
            return new Draft(clusterName, self, address, members, silentMs);
        }

        Draft members(Map<String, InetSocketAddress> addresses) {
            return new Draft(clusterName, self, bind, addresses, silentMs);
        }

        Draft silentMs(long millis) {
            return new Draft(clusterName, self, bind, members, millis);
        }

        ClusterSettings settings() {
            return new ClusterSettings(clusterName, self, bind, members, silentMs);
        }
    }

    @Test
    void acceptsValidSettings() {
        assertThat(Draft.VALID.settings().advertised()).isEqualTo(ADDRESS_A);
    }

    static Stream<Arguments> invalidSettings() {
        return Stream.of(
                invalid(
                        "members do not include this pooler, c",
                        draft -> draft.members(Map.of("a", ADDRESS_A, "b", ADDRESS_B))
                                .self("c")),
                invalid(
                        "address of b is already used by another member",
                        draft -> draft.members(Map.of("a", ADDRESS_A, "b", ADDRESS_A))),
                invalid("the bind address must not be a wildcard", draft -> draft.bind(WILDCARD)),
                invalid("address of a must not be a wildcard", draft -> draft.members(Map.of("a", WILDCARD))),
                invalid(
                        "address of a is unresolved or has no port",
                        draft -> draft.members(Map.of("a", InetSocketAddress.createUnresolved("x", 1)))),
                invalid(
                        "address of a is unresolved or has no port",
                        draft -> draft.members(Map.of("a", new InetSocketAddress("127.0.0.1", 0)))),
                invalid("the cluster name is blank", draft -> draft.clusterName(" ")),
                invalid("silentAfterMs is 499, must be 500 to 60000", draft -> draft.silentMs(499)),
                invalid("silentAfterMs is 60001, must be 500 to 60000", draft -> draft.silentMs(60_001)));
    }

    private static Arguments invalid(String reason, UnaryOperator<Draft> change) {
        return Arguments.of(reason, change);
    }

    @ParameterizedTest
    @MethodSource("invalidSettings")
    void rejectsInvalidSettingsWithTheReason(String reason, UnaryOperator<Draft> change) {
        Draft invalidDraft = change.apply(Draft.VALID);

        assertThatThrownBy(invalidDraft::settings)
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(reason);
    }
}
