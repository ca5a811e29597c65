package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests recording, revoking and merging of operator commands. */
class OperatorCommandsTest {
    private static final CommandTarget SERVER = CommandTarget.server("a");
    private final OperatorCommands commands = new OperatorCommands();

    private CommandState state() {
        return commands.latest(SERVER).orElseThrow();
    }

    @Test
    void doesNotRecordCommandsThatChangeNothing() {
        assertThat(commands.revoke(5, SERVER)).as("no command was in force").isFalse();
        assertThat(commands.latest(SERVER)).isEmpty();
        assertThat(commands.issue(10, SERVER)).isTrue();
        assertThat(commands.issue(20, SERVER)).isFalse();
        assertThat(state()).isEqualTo(CommandState.issued(10));
    }

    @Test
    void revokedCommandKeepsTheTimeItLastCameIntoForce() {
        commands.issue(10, SERVER);
        commands.revoke(30, SERVER);
        assertThat(state()).isEqualTo(CommandState.revoked(10, 30));
        assertThat(commands.isInForce(SERVER)).isFalse();
        commands.issue(40, SERVER);
        assertThat(state()).isEqualTo(CommandState.issued(40));
    }

    @Test
    void laterCommandGetsLaterTimeIfTheClockStandsStill() {
        commands.issue(10, SERVER);
        commands.revoke(10, SERVER);
        assertThat(state()).isEqualTo(CommandState.revoked(10, 11));
        commands.issue(3, SERVER);
        assertThat(state()).isEqualTo(CommandState.issued(12));
    }

    @Test
    void commandInForceWinsOverRevocationAtTheSameTime() {
        assertThat(commands.merge(SERVER, CommandState.revoked(5, 10))).isTrue();
        assertThat(commands.merge(SERVER, CommandState.issued(10))).isTrue();
        assertThat(commands.merge(SERVER, CommandState.revoked(5, 10))).isFalse();
        assertThat(commands.isInForce(SERVER)).isTrue();
    }

    @Test
    void mergingInAnyOrderConverges() {
        record Recorded(CommandTarget target, CommandState state) {}
        Random random = new Random(7);
        for (int round = 0; round < 2000; round++) {
            List<Recorded> all = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                long atUs = random.nextInt(4);
                CommandTarget target = CommandTarget.server("s" + random.nextInt(2));
                all.add(new Recorded(target, new CommandState(random.nextBoolean(), atUs, atUs)));
            }
            OperatorCommands one = new OperatorCommands();
            all.forEach(recorded -> one.merge(recorded.target(), recorded.state()));
            Collections.shuffle(all, random);
            OperatorCommands other = new OperatorCommands();
            all.forEach(recorded -> other.merge(recorded.target(), recorded.state()));
            assertThat(other.all()).isEqualTo(one.all());
        }
    }
}
