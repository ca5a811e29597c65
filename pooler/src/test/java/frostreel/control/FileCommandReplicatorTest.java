package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.net.EventLoop;
import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FileCommandReplicatorTest {
    private static final Map<CommandTarget, CommandState> SUSPENDED =
            Map.of(CommandTarget.server("a"), CommandState.issued(5));
    private static final Map<CommandTarget, CommandState> PAUSED =
            Map.of(CommandTarget.CLIENTS, CommandState.issued(7));

    @TempDir
    Path dir;

    private Path folder;
    private EventLoop loop;
    private CommandReplicator replicator;

    @BeforeEach
    void begin() throws Exception {
        folder = dir.resolve("commands");
        loop = new EventLoop();
        replicator = new FileCommandReplicator(loop, folder, "one");
    }

    @AfterEach
    void end() throws Exception {
        loop.shutDown();
    }

    @Test
    void receivesEarlierCommandsBeforeRestoreCompletes() throws Exception {
        new CommandStore(folder, "earlier1").write(SUSPENDED);
        new CommandStore(folder, "earlier2").write(PAUSED);
        Map<CommandTarget, CommandState> received = new HashMap<>();
        CompletableFuture<Map<CommandTarget, CommandState>> restored = new CompletableFuture<>();
        loop.thread()
                .execute(() -> replicator.restore(received::putAll, () -> restored.complete(Map.copyOf(received))));
        assertThat(restored.get()).hasSize(2).containsAllEntriesOf(SUSPENDED).containsAllEntriesOf(PAUSED);
    }

    @Test
    void restoresNothingWithoutEarlierProcesses() throws Exception {
        List<Map<CommandTarget, CommandState>> received = new ArrayList<>();
        CompletableFuture<Boolean> restoredNothing = new CompletableFuture<>();
        loop.thread()
                .execute(() -> replicator.restore(
                        received::add,
                        () -> restoredNothing.complete(received.stream().allMatch(Map::isEmpty))));
        assertThat(restoredNothing.get()).isTrue();
    }

    @Test
    void receivesLaterCommandsOfOthersWhileWatching() throws Exception {
        CompletableFuture<Map<CommandTarget, CommandState>> received = new CompletableFuture<>();
        loop.thread().execute(() -> replicator.watch(received::complete));
        new CommandStore(folder, "other").write(SUSPENDED);
        assertThat(received.get()).isEqualTo(SUSPENDED);
    }

    @Test
    void storesPublishedCommandsForSuccessors() throws Exception {
        CompletableFuture<Durability> durability = new CompletableFuture<>();
        loop.thread().execute(() -> replicator.publish(SUSPENDED, durability::complete));
        assertThat(durability.get()).isEqualTo(Durability.DURABLE);
        assertThat(new CommandStore(folder, "successor").readOthers().commands())
                .isEqualTo(SUSPENDED);
    }

    /** Commands acknowledged during a failure of the disk must still reach a successor. */
    @Test
    void retriesFailedWritesUntilTheySucceed() throws Exception {
        Path obstacle = Files.writeString(folder, "a file in its place");
        CompletableFuture<Durability> durability = new CompletableFuture<>();
        loop.thread().execute(() -> replicator.publish(SUSPENDED, durability::complete));
        assertThat(durability.get()).isEqualTo(Durability.NOT_DURABLE);
        Files.delete(obstacle);
        CommandStore successor = new CommandStore(folder, "successor");
        Map<CommandTarget, CommandState> found = successor.readOthers().commands();
        while (found.isEmpty()) {
            Thread.onSpinWait();
            found = successor.readOthers().commands();
        }
        assertThat(found).isEqualTo(SUSPENDED);
    }

    @Test
    void restoresAndWritesNothingWithoutOtherProcesses() {
        List<String> events = new ArrayList<>();
        CommandReplicator.NONE.restore(commands -> events.add("received"), () -> events.add("restored"));
        CommandReplicator.NONE.watch(commands -> events.add("received"));
        CommandReplicator.NONE.publish(SUSPENDED, durability -> events.add(durability.name()));
        assertThat(events).containsExactly("restored", "DURABLE");
    }
}
