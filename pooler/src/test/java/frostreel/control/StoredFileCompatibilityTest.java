package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import frostreel.operation.SharedCommitTable;
import frostreel.routing.Router.Outcome;
import frostreel.time.Clock;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Stored files of an earlier build, from commit 223cd4e, are read with the same results as by that build, both
 * complete and truncated. The test resources contain the files as it wrote them, and in {@code expected.tsv} what
 * its own classes read from them.
 */
class StoredFileCompatibilityTest {
    private static final String RESOURCES = "stored-by-223cd4e";
    private static final String TAB = "\t";
    /** The time at which the earlier build wrote the commit table. */
    private static final long WRITTEN_US = 1_764_682_200_000_000L;

    private static final long SECOND_US = 1_000_000;
    /** The time at which the earlier build read the commit table. */
    private static final long READ_US = WRITTEN_US + 5 * SECOND_US;

    private static final long READER_INCARNATION = 0x0123_4567_89ab_cdefL;

    @TempDir
    Path folder;

    private static Path stored() {
        try {
            return Path.of(
                    StoredFileCompatibilityTest.class.getResource(RESOURCES).toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private static List<Path> storedCommandFiles() throws IOException {
        try (Stream<Path> all = Files.list(stored())) {
            return all.filter(file -> file.toString().endsWith(".orders")).toList();
        }
    }

    /** Returns the rows of this kind in {@code expected.tsv}, without the kind. */
    private static List<String[]> expected(String kind) throws IOException {
        List<String[]> rows = Files.readAllLines(stored().resolve("expected.tsv"), StandardCharsets.UTF_8).stream()
                .filter(line -> line.startsWith(kind + TAB))
                .map(line -> line.substring(kind.length() + 1).split(TAB))
                .toList();
        assertThat(rows).as(kind).isNotEmpty();
        return rows;
    }

    private void copyOfStored(Path file) throws IOException {
        Files.copy(file, folder.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
    }

    private static String sha256(Path file) throws IOException, NoSuchAlgorithmException {
        byte[] digest = MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(file));
        return HexFormat.of().formatHex(digest);
    }

    @Test
    void readsTheSameCommands() throws Exception {
        for (Path file : storedCommandFiles()) {
            copyOfStored(file);
        }
        Map<CommandTarget, CommandState> expected = new HashMap<>();
        for (String[] row : expected("command")) {
            CommandState state =
                    new CommandState(Boolean.parseBoolean(row[1]), Long.parseLong(row[2]), Long.parseLong(row[3]));
            expected.put(new CommandTarget(row[0]), state);
        }
        CommandStore.ReadResult result = new CommandStore(folder, "reader").readOthers();
        assertThat(result.commands()).isEqualTo(expected);
        assertThat(result.complete())
                .isEqualTo(Boolean.parseBoolean(expected("commands-complete").get(0)[0]));
    }

    @Test
    void writesCommandsToTheSameBytes() throws Exception {
        for (Path file : storedCommandFiles()) {
            byte[] complete = Files.readAllBytes(file);
            String name = file.getFileName().toString();
            String incarnation = name.substring(0, name.indexOf('-'));
            assertThat(CommandFileFormat.encodeParts(incarnation, CommandFileFormat.decode(complete))
                            .get(0))
                    .as(name)
                    .isEqualTo(complete);
        }
    }

    @Test
    void readsTheSameFromTruncatedCommandFiles() throws Exception {
        List<String[]> expected = expected("cut-commands");
        assertThat(expected).hasSameSizeAs(storedCommandFiles());
        for (String[] row : expected) {
            byte[] complete = Files.readAllBytes(stored().resolve(row[0]));
            assertThat(complete).hasSize(Integer.parseInt(row[1]));
            int nonEmpty = 0;
            int incomplete = 0;
            for (int length = 0; length < complete.length; length++) {
                Files.write(folder.resolve(row[0]), Arrays.copyOf(complete, length));
                CommandStore.ReadResult result = new CommandStore(folder, "reader").readOthers();
                nonEmpty += result.commands().isEmpty() ? 0 : 1;
                incomplete += result.complete() ? 0 : 1;
            }
            assertThat(nonEmpty).as(row[0]).isEqualTo(Integer.parseInt(row[2]));
            assertThat(incomplete).as(row[0]).isEqualTo(Integer.parseInt(row[3]));
            Files.delete(folder.resolve(row[0]));
        }
    }

    @Test
    void readsAndWritesTheSameCommits() throws Exception {
        copyOfStored(stored().resolve("commits"));
        SharedTableFile file = SharedTableFile.open(folder, PeerProcessCommits.SharedFile.FORMAT);
        assertThat(file.origin() == SharedTableFile.Origin.REPLACED)
                .isEqualTo(Boolean.parseBoolean(expected("commits-replaced").get(0)[0]));
        SharedCommitTable table = new SharedCommitTable(file, READER_INCARNATION, READ_US);
        assertThat(sha256(folder.resolve("commits")))
                .isEqualTo(expected("commits-claimed").get(0)[0]);
        for (String[] row : expected("bound")) {
            long nowUs = Long.parseLong(row[0]);
            long session = Long.parseLong(row[1]);
            assertThat(table.requiredPositionUs(nowUs, session))
                    .as("session %d", session)
                    .isEqualTo(Long.parseLong(row[2]));
        }
        write(table, 7, Outcome.OK, READ_US + 7_000);
        write(table, 20, Outcome.TIMEOUT, 0);
        table.onSent(READ_US + SECOND_US, 21, READ_US + 4 * SECOND_US);
        table.onHeartbeat(READ_US + SECOND_US + 1);
        assertThat(sha256(folder.resolve("commits")))
                .isEqualTo(expected("commits-written").get(0)[0]);
    }

    private static void write(SharedCommitTable table, long session, Outcome outcome, long positionUs) {
        long deadlineUs = READ_US + 3 * SECOND_US;
        table.onSent(READ_US, session, deadlineUs);
        table.onEnded(READ_US + 8_000, session, deadlineUs, outcome, positionUs);
    }

    @Test
    void replacesTheSameTruncatedCommitFiles() throws Exception {
        byte[] complete = Files.readAllBytes(stored().resolve("commits"));
        Path file = folder.resolve("commits");
        for (String[] row : expected("cut-commits")) {
            Files.write(file, Arrays.copyOf(complete, Integer.parseInt(row[0])));
            boolean replaced = SharedTableFile.open(folder, PeerProcessCommits.SharedFile.FORMAT)
                            .origin()
                    == SharedTableFile.Origin.REPLACED;
            assertThat(replaced).as("truncated to %s", row[0]).isEqualTo(Boolean.parseBoolean(row[1]));
            assertThat(sha256(file)).as("truncated to %s", row[0]).isEqualTo(row[2]);
        }
    }

    /** The stored boot id is that of the machine that wrote the file; the test replaces it by this machine's. */
    @Test
    void readsTheSameFromCompleteAndTruncatedClockFiles() throws Exception {
        String written = Files.readString(stored().resolve("clock"), StandardCharsets.US_ASCII);
        String bootId =
                Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip();
        String complete = bootId + written.substring(bootId.length());
        Path file = folder.resolve("clock");
        for (String[] row : expected("clock")) {
            String content = complete.substring(0, Integer.parseInt(row[0]));
            Files.writeString(file, content, StandardCharsets.US_ASCII);
            Clock clock = SharedClock.open(folder);
            long earliestUs = System.nanoTime() / 1_000;
            long nowUs = clock.now();
            long latestUs = System.nanoTime() / 1_000;
            if (row[1].equals("replaced")) {
                assertThat(Files.readString(file))
                        .as(content)
                        .isNotEqualTo(content)
                        .startsWith(bootId + " ");
            } else {
                assertThat(Files.readString(file)).as(content).isEqualTo(content);
                assertThat(nowUs - Long.parseLong(row[1])).as(content).isBetween(earliestUs, latestUs);
            }
        }
    }

    @Test
    void replacesTheClockOfAnotherBoot() throws Exception {
        String written = Files.readString(stored().resolve("clock"), StandardCharsets.US_ASCII);
        String ofAnotherBoot = "0".repeat(written.indexOf(' ')) + written.substring(written.indexOf(' '));
        Files.writeString(folder.resolve("clock"), ofAnotherBoot, StandardCharsets.US_ASCII);
        long beforeUs = Clock.system().now();
        assertThat(SharedClock.open(folder).now() - beforeUs).isBetween(-1_000L, 60 * SECOND_US);
        assertThat(Files.readString(folder.resolve("clock"))).isNotEqualTo(ofAnotherBoot);
    }
}
