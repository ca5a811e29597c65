package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.OperatorCommands;
import frostreel.operation.SharedCommitTable;
import frostreel.routing.Router.Outcome;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process from before there was the commits' file serves in the same folder. Held: its orders and the
 * successor's go both ways as ever, and from the successor on each life knows what the lives since answered.
 * Not held: what goes through the old one itself (docs/REMAINS.md).
 */
class BeforeCommitsTest {
    private static final long NOW = 1_000_000_000;
    private static final Map<String, OperatorCommands.Command> OUT =
            Map.of("server a", new OperatorCommands.Command(true, 5, 5));
    private static final Map<String, OperatorCommands.Command> BACK =
            Map.of("server a", new OperatorCommands.Command(false, 5, 9));

    @TempDir
    Path dir;

    private SharedCommitTable board(long life) throws IOException {
        CommitTableFile file = CommitTableFile.open(dir);
        assertThat(file.replacementReason()).isEmpty();
        return new SharedCommitTable(file, life, NOW);
    }

    @Test
    void ordersGoBothWaysBesideTheFileAndTheOldOneDoesNotClearItAway() throws Exception {
        CommandStore old = new CommandStore(dir, "old");
        old.write(OUT);
        SharedCommitTable successor = board(1);
        CommandStore orders = new CommandStore(dir, "new");
        assertThat(orders.read().orders()).isEqualTo(OUT);
        orders.write(BACK);
        assertThat(old.read().orders()).isEqualTo(BACK);
        for (int i = 0; i < 40; i++) {
            new CommandStore(dir, "life" + i).write(OUT);
        }
        successor.onSent(NOW, 7, NOW + 1_000_000);
        successor.onEnded(NOW, 7, NOW + 1_000_000, Outcome.OK, NOW);
        old.clean();
        assertThat(Files.size(dir.resolve(CommitTableFile.NAME))).isEqualTo((1 + SharedCommitTable.LONGS) * Long.BYTES);
        assertThat(board(2).boundUs(NOW + 50_000, 7)).isEqualTo(NOW + 1_000);
    }

    @Test
    void fromTheSuccessorOnEachLifeKnowsWhatTheOthersAnswered() throws Exception {
        new CommandStore(dir, "old").write(OUT);
        SharedCommitTable successor = board(1);
        successor.onSent(NOW, 7, NOW + 1_000_000);
        successor.onEnded(NOW, 7, NOW + 1_000_000, Outcome.OK, NOW + 2_000);
        SharedCommitTable third = board(2);
        third.onSent(NOW, 8, NOW + 1_000_000);
        third.onEnded(NOW, 8, NOW + 1_000_000, Outcome.OK, NOW + 4_000);
        assertThat(third.boundUs(NOW + 50_000, 7)).isEqualTo(NOW + 3_000);
        assertThat(successor.boundUs(NOW + 50_000, 8)).isEqualTo(NOW + 5_000);
    }
}
