package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import frostreel.operation.SharedCommitTable;
import frostreel.routing.Router.Outcome;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process of a version without the commit table shares the folder with newer processes. Commands are exchanged in
 * both directions, and the newer processes know each other's commits. How they read beside the old process is tested by
 * {@code PeerProcessCommitsTest}.
 */
class ProcessWithoutCommitTableTest {
    private static final long NOW_US = 1_000_000_000;
    private static final Map<CommandTarget, CommandState> SUSPENDED =
            Map.of(CommandTarget.server("a"), CommandState.issued(5));
    private static final Map<CommandTarget, CommandState> RESTORED =
            Map.of(CommandTarget.server("a"), CommandState.revoked(5, 9));

    @TempDir
    Path dir;

    private SharedCommitTable table(long incarnation) throws IOException {
        SharedTableFile file = SharedTableFile.open(dir, PeerProcessCommits.SharedFile.FORMAT);
        assertThat(file.origin()).isNotEqualTo(SharedTableFile.Origin.REPLACED);
        return new SharedCommitTable(file, incarnation, NOW_US);
    }

    @Test
    void exchangesCommandsBothWaysAndKeepsTheCommitTable() throws Exception {
        CommandStore oldStore = new CommandStore(dir, "old");
        oldStore.write(SUSPENDED);
        SharedCommitTable successor = table(1);
        CommandStore newStore = new CommandStore(dir, "new");
        assertThat(newStore.readOthers().commands()).isEqualTo(SUSPENDED);
        newStore.write(RESTORED);
        assertThat(oldStore.readOthers().commands()).isEqualTo(RESTORED);
        for (int i = 0; i < 40; i++) {
            new CommandStore(dir, "process" + i).write(SUSPENDED);
        }
        successor.onSent(NOW_US, 7, NOW_US + 1_000_000);
        successor.onEnded(NOW_US, 7, NOW_US + 1_000_000, Outcome.OK, NOW_US);
        oldStore.removeStale();
        assertThat(Files.size(dir.resolve(PeerProcessCommits.SharedFile.FORMAT.fileName())))
                .isEqualTo((1 + SharedCommitTable.LONGS) * Long.BYTES);
        assertThat(table(2).requiredPositionUs(NOW_US + 50_000, 7)).isEqualTo(NOW_US + 1_000);
    }

    @Test
    void newerProcessesKnowEachOthersCommits() throws Exception {
        new CommandStore(dir, "old").write(SUSPENDED);
        SharedCommitTable successor = table(1);
        successor.onSent(NOW_US, 7, NOW_US + 1_000_000);
        successor.onEnded(NOW_US, 7, NOW_US + 1_000_000, Outcome.OK, NOW_US + 2_000);
        SharedCommitTable third = table(2);
        third.onSent(NOW_US, 8, NOW_US + 1_000_000);
        third.onEnded(NOW_US, 8, NOW_US + 1_000_000, Outcome.OK, NOW_US + 4_000);
        assertThat(third.requiredPositionUs(NOW_US + 50_000, 7)).isEqualTo(NOW_US + 3_000);
        assertThat(successor.requiredPositionUs(NOW_US + 50_000, 8)).isEqualTo(NOW_US + 5_000);
    }
}
