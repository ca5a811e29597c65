package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the keys under which commands are stored, and the server id in a key. */
class CommandTargetTest {
    @Test
    void usesTheStoredNamesAsKeys() {
        assertThat(CommandTarget.CLIENTS.key()).isEqualTo("clients");
        assertThat(CommandTarget.server("a b").key()).isEqualTo("server a b");
        assertThat(CommandTarget.server("a")).hasToString("server a");
    }

    @Test
    void onlyServerTargetsHaveAServerId() {
        assertThat(CommandTarget.server("a b").serverId()).contains("a b");
        assertThat(new CommandTarget("server a").serverId()).contains("a");
        assertThat(CommandTarget.CLIENTS.serverId()).isEmpty();
        assertThat(new CommandTarget("zone a").serverId())
                .as("kind known only to another version")
                .isEmpty();
    }

    @Test
    void comparesByKey() {
        assertThat(new CommandTarget("server a"))
                .isEqualTo(CommandTarget.server("a"))
                .hasSameHashCodeAs(CommandTarget.server("a"))
                .isNotEqualTo(CommandTarget.server("b"))
                .isLessThan(CommandTarget.server("b"));
    }
}
