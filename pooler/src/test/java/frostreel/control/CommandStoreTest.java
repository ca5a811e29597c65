package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandStoreTest {
    private static final Map<CommandTarget, CommandState> SUSPENDED =
            Map.of(CommandTarget.server("a"), CommandState.issued(5));

    @TempDir
    Path dir;

    private CommandStore store(String incarnation) {
        return new CommandStore(dir.resolve("orders"), incarnation);
    }

    private Map<CommandTarget, CommandState> readBy(String incarnation) throws IOException {
        return store(incarnation).readOthers().commands();
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(dir.resolve("orders"))) {
            return all.sorted().toList();
        }
    }

    @Test
    void readsOnceWhatOthersWroteAndNotItsOwn() throws Exception {
        CommandStore one = store("one");
        assertThat(one.readOthers().commands()).as("nothing has been written").isEmpty();

        one.write(SUSPENDED);
        one.write(SUSPENDED);
        assertThat(files()).as("one file per incarnation").hasSize(1);
        assertThat(one.readOthers().commands()).isEmpty();

        CommandStore two = store("two");
        assertThat(two.readOthers().commands()).isEqualTo(SUSPENDED);
        assertThat(two.readOthers().commands()).as("read once").isEmpty();

        Map<CommandTarget, CommandState> later = Map.of(CommandTarget.server("a"), CommandState.revoked(5, 9));
        two.write(later);
        assertThat(one.readOthers().commands()).isEqualTo(later);
        assertThat(readBy("three")).as("the last command wins").isEqualTo(later);
    }

    @Test
    void skipsFilesTruncatedOrChangedAnywhere() throws Exception {
        store("one").write(SUSPENDED);
        Path file = files().get(0);
        byte[] complete = Files.readAllBytes(file);
        for (int i = 0; i < complete.length; i += 1 + i / 16) { // Every early offset, some later ones.
            Files.write(file, Arrays.copyOf(complete, i));
            assertThat(readBy("two")).as("truncated at %d", i).isEmpty();
            byte[] changed = complete.clone();
            changed[i] ^= 4;
            Files.write(file, changed);
            assertThat(readBy("two")).as("changed at %d", i).isEmpty();
        }
        Files.write(file, complete);
        assertThat(readBy("two")).isEqualTo(SUSPENDED);
    }

    @Test
    void failsWritesAndReadsInUnusableFolder() throws Exception {
        Files.writeString(dir.resolve("orders"), "a file in its place");
        assertThatThrownBy(() -> store("one").write(SUSPENDED)).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> store("one").readOthers()).isInstanceOf(IOException.class);
    }

    /** A full disk is simulated by a link to /dev/full in place of the temporary file. */
    @Test
    void fullDiskFailsTheWriteAndKeepsStoredCommands() throws Exception {
        CommandStore one = store("one");
        one.write(SUSPENDED);

        Path temporary = Files.createSymbolicLink(dir.resolve("orders/one.new"), Path.of("/dev/full"));
        assertThatThrownBy(() -> one.write(Map.of()))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("No space left");
        assertThat(readBy("two")).isEqualTo(SUSPENDED);
        assertThat(temporary).as("the temporary file is deleted").doesNotExist();

        one.write(Map.of());
        assertThat(readBy("three")).as("after the disk has space again").isEmpty();
    }

    @Test
    void removesFilesOfOldIncarnations() throws Exception {
        for (int i = 0; i < 40; i++) {
            store("process" + i).write(SUSPENDED);
            Files.setLastModifiedTime(dir.resolve("orders/process" + i + "-00000001.orders"), FileTime.fromMillis(i));
        }

        store("last").removeStale();

        assertThat(files()).hasSize(16);
        assertThat(readBy("last")).isEqualTo(SUSPENDED);
    }

    @Test
    void retriesUnreadableFiles() throws Exception {
        store("one").write(SUSPENDED);
        Path file = files().get(0);
        byte[] complete = Files.readAllBytes(file);
        Files.delete(file);
        Files.createDirectory(file); // Reading it fails for a reason other than its content.
        CommandStore two = store("two");
        assertThat(two.readOthers().complete()).isFalse();

        Files.delete(file);
        Files.write(file, complete);
        CommandStore.ReadResult found = two.readOthers();
        assertThat(found.commands()).isEqualTo(SUSPENDED);
        assertThat(found.complete()).isTrue();
    }

    @Test
    void removesUnfinishedFilesOnceTheyAreOld() throws Exception {
        store("one").write(SUSPENDED);
        Path stale = Files.writeString(dir.resolve("orders/killed.new"), "half");
        Path recent = Files.writeString(dir.resolve("orders/running.new"), "half");
        Files.setLastModifiedTime(stale, FileTime.fromMillis(System.currentTimeMillis() - 120_000));

        store("two").removeStale();

        assertThat(stale).doesNotExist();
        assertThat(recent).exists();
    }

    /** Guards against commands that are stored in a file that is too long to be read, and lost with their process. */
    @Test
    void storesThousandsOfCommandsSoThatEachRoundOfThemIsReadByOthers() throws Exception {
        CommandStore one = store("one");
        CommandStore two = store("two");
        for (int round = 0; round < 5; round++) {
            for (CommandState state : List.of(issuedAt(round), revokedAt(round))) {
                Map<CommandTarget, CommandState> commands = new HashMap<>();
                IntStream.range(0, 3_200)
                        .forEach(i -> commands.put(CommandTarget.server(String.format("s-%08x", i)), state));
                one.write(commands);
                assertThat(two.readOthers().commands()).isEqualTo(commands);
                assertThat(readBy("three")).isEqualTo(commands);
                assertThat(files()).as("parts, of which none is left over").hasSize(2);
            }
        }
    }

    private static CommandState issuedAt(int round) {
        return CommandState.issued(1_765_000_000_000_000L + 2 * round);
    }

    private static CommandState revokedAt(int round) {
        long issuedUs = issuedAt(round).inForceSinceUs();
        return CommandState.revoked(issuedUs, issuedUs + 1);
    }

    @Test
    void refusesMoreCommandsThanItsFilesHoldAndKeepsTheFormerOnes() throws Exception {
        CommandStore one = store("one");
        one.write(SUSPENDED);
        Map<CommandTarget, CommandState> tooMany = new HashMap<>();
        IntStream.range(0, 60_000).forEach(i -> tooMany.put(CommandTarget.server("server" + i), issuedAt(i)));
        assertThatThrownBy(() -> one.write(tooMany)).isInstanceOf(IOException.class);
        assertThat(readBy("two")).isEqualTo(SUSPENDED);
    }
}
