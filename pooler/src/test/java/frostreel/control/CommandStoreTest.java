package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.net.EventLoop;
import frostreel.operation.OperatorCommands;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandStoreTest {
    private static final Map<String, OperatorCommands.Command> OUT =
            Map.of("server a", new OperatorCommands.Command(true, 5, 5));

    @TempDir
    Path dir;

    private CommandStore life(String name) {
        return new CommandStore(dir.resolve("orders"), name);
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(dir.resolve("orders"))) {
            return all.sorted().toList();
        }
    }

    @Test
    void whatOneLifeWroteTheNextFindsAndItsOwnIsNotNews() throws Exception {
        CommandStore one = life("one");
        assertThat(one.read().orders()).as("nobody has written").isEmpty();
        one.write(OUT);
        one.write(OUT);
        assertThat(files()).as("one file a life").hasSize(1);
        assertThat(one.read().orders()).isEmpty();
        CommandStore two = life("two");
        assertThat(two.read().orders()).isEqualTo(OUT);
        assertThat(two.read().orders()).as("read once").isEmpty();
        Map<String, OperatorCommands.Command> later = Map.of("server a", new OperatorCommands.Command(false, 5, 9));
        two.write(later);
        assertThat(one.read().orders()).isEqualTo(later);
        assertThat(life("three").read().orders()).as("the later order holds").isEqualTo(later);
    }

    @Test
    void aFileCutOrChangedAnywhereIsLeftOutWhole() throws Exception {
        life("one").write(OUT);
        Path file = files().get(0);
        byte[] whole = Files.readAllBytes(file);
        for (int i = 0; i < whole.length; i += 1 + i / 16) { // Every byte of its head, and some of the rest.
            Files.write(file, Arrays.copyOf(whole, i));
            assertThat(life("two").read().orders()).as("cut at %d", i).isEmpty();
            byte[] changed = whole.clone();
            changed[i] ^= 4;
            Files.write(file, changed);
            assertThat(life("two").read().orders()).as("changed at %d", i).isEmpty();
        }
        Files.write(file, whole);
        assertThat(life("two").read().orders()).isEqualTo(OUT);
    }

    @Test
    void aFolderThatTakesNothingFailsAndDisturbsNobody() throws Exception {
        Files.writeString(dir.resolve("orders"), "a file in its place");
        assertThatThrownBy(() -> life("one").write(OUT)).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> life("one").read()).isInstanceOf(IOException.class);
    }

    /** A link to the device that takes no byte, where the file is written before it has its name. */
    @Test
    void aDiskThatIsFullFailsAndLeavesWhatWasThere() throws Exception {
        CommandStore one = life("one");
        one.write(OUT);
        Path half = Files.createSymbolicLink(dir.resolve("orders/one.new"), Path.of("/dev/full"));
        assertThatThrownBy(() -> one.write(Map.of()))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("No space left");
        assertThat(life("two").read().orders()).isEqualTo(OUT);
        assertThat(half).as("what was half written takes no room").doesNotExist();
        one.write(Map.of());
        assertThat(life("three").read().orders()).as("room again").isEmpty();
    }

    @Test
    void filesOfManyLivesDoNotPileUp() throws Exception {
        for (int i = 0; i < 40; i++) {
            life("life" + i).write(OUT);
            Files.setLastModifiedTime(dir.resolve("orders/life" + i + "-00000001.orders"), FileTime.fromMillis(i));
        }
        life("last").clean();
        assertThat(files()).hasSize(16);
        assertThat(life("last").read().orders()).isEqualTo(OUT);
    }

    @Test
    void aFileThatCannotBeReadNowIsReadOnceItCan() throws Exception {
        life("one").write(OUT);
        Path file = files().get(0);
        byte[] whole = Files.readAllBytes(file);
        Files.delete(file);
        Files.createDirectory(file); // Reading it fails, and not for what it holds.
        CommandStore two = life("two");
        assertThat(two.read().complete()).isFalse();
        Files.delete(file);
        Files.write(file, whole);
        CommandStore.Found found = two.read();
        assertThat(found.orders()).isEqualTo(OUT);
        assertThat(found.complete()).isTrue();
    }

    @Test
    void whatALifeThatWasKilledLeftHalfWrittenIsRemovedOnceItIsOld() throws Exception {
        life("one").write(OUT);
        Path old = Files.writeString(dir.resolve("orders/dead.new"), "half");
        Path young = Files.writeString(dir.resolve("orders/living.new"), "half");
        Files.setLastModifiedTime(old, FileTime.fromMillis(System.currentTimeMillis() - 120_000));
        life("two").clean();
        assertThat(old).doesNotExist();
        assertThat(young).exists();
    }

    /** Orders that were answered while the disk took nothing are owed to a successor all the same. */
    @Test
    void whatADiskDidNotTakeIsWrittenOnceItDoes() throws Exception {
        Path inItsPlace = Files.writeString(dir.resolve("orders"), "a file in its place");
        EventLoop loop = new EventLoop();
        CommandReplicator keeper = new CommandReplicator(loop, dir.resolve("orders"), "one");
        CompletableFuture<String> answer = new CompletableFuture<>();
        loop.thread().execute(() -> keeper.keep(OUT, failure -> answer.complete("" + failure)));
        assertThat(answer.get()).isEqualTo("cannot be kept for a successor");
        Files.delete(inItsPlace);
        CommandStore successor = life("two");
        Map<String, OperatorCommands.Command> found = successor.read().orders();
        while (found.isEmpty()) {
            Thread.onSpinWait();
            found = successor.read().orders();
        }
        assertThat(found).isEqualTo(OUT);
        loop.end();
    }
}
