package frostreel;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.config.Config;
import frostreel.control.PeerProcessCommits;
import frostreel.routing.Router.Outcome;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The table of recent commits that two processes of one pooler share by mapping the same file. */
class PeerProcessCommitsTest {
    private static final long NOW_US = 1_000_000_000;
    private static final long SESSION = 7;
    private static final String CARRIED = PoolerHarness.configuration("127.0.0.1:1");
    private static final String REMEMBERED = CARRIED.replace("carried", "remembered");

    @TempDir
    Path dir;

    private PeerProcessCommits open(String config, String descriptor, boolean isFirstProcess) throws Exception {
        return PeerProcessCommits.open(
                Config.parse(config, Map.of("GW_FD", descriptor, "TMPDIR", dir.toString())), NOW_US, isFirstProcess);
    }

    private PeerProcessCommits open(String config, String descriptor) throws Exception {
        return open(config, descriptor, true);
    }

    private PeerProcessCommits open() throws Exception {
        return open(REMEMBERED, "0");
    }

    private Path folder() {
        return dir.resolve("frostreel-orders");
    }

    private static void write(PeerProcessCommits writer, long commitUs) {
        writer.writeObserver().onSent(NOW_US, SESSION, NOW_US + 1_000_000);
        writer.writeObserver().onEnded(NOW_US, SESSION, NOW_US + 1_000_000, Outcome.OK, commitUs);
    }

    /** Returns the position in microseconds that a read of the session requires because of other processes' commits. */
    private static long requiredPositionUs(PeerProcessCommits process) {
        return process.peerCommits().requiredPositionUs(NOW_US + 50_000, SESSION);
    }

    /** Checks that a read requires any commit of other processes whose response a client may have. */
    private void assertPeersUnknown(PeerProcessCommits process) {
        assertThat(requiredPositionUs(process)).as("required position").isEqualTo(NOW_US - 50_000);
    }

    @Test
    void readsRequireCommitsThroughTheOtherProcess() throws Exception {
        PeerProcessCommits before = open();
        PeerProcessCommits after = open();
        assertThat(List.of(requiredPositionUs(before), requiredPositionUs(after)))
                .containsOnly(0L);
        write(before, NOW_US + 2_000);
        assertThat(requiredPositionUs(after)).isEqualTo(NOW_US + 3_000);
        assertThat(requiredPositionUs(before)).isZero();
        write(after, NOW_US + 5_000);
        assertThat(requiredPositionUs(before)).isEqualTo(NOW_US + 6_000);
        assertThat(requiredPositionUs(open()))
                .as("required position of a third process")
                .isEqualTo(NOW_US + 6_000);
    }

    @Test
    void noFileWithoutPeerProcessOrIfClientsCarryPositions() throws Exception {
        for (PeerProcessCommits alone : List.of(open(REMEMBERED, ""), open(CARRIED, "0"))) {
            write(alone, NOW_US);
            assertThat(requiredPositionUs(alone)).isZero();
        }
        assertThat(folder()).doesNotExist();
    }

    private enum Damage {
        EMPTY,
        CUT_SHORT,
        LONGER,
        OTHER_VERSION
    }

    private void damage(Damage damage) throws IOException {
        try (FileChannel channel = FileChannel.open(folder().resolve("commits"), StandardOpenOption.WRITE)) {
            switch (damage) {
                case EMPTY -> channel.truncate(0);
                case CUT_SHORT -> channel.truncate(channel.size() - 1);
                case LONGER -> channel.write(ByteBuffer.allocate(Long.BYTES), channel.size());
                case OTHER_VERSION -> channel.write(ByteBuffer.wrap(new byte[] {2}), 0);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void damagedFileHidesPeersFromOneProcessAndIsReplacedForTheNext(Damage damage) throws Exception {
        open();
        damage(damage);

        PeerProcessCommits first = open();
        assertPeersUnknown(first);
        write(first, NOW_US + 2_000);
        assertPeersUnknown(first);

        PeerProcessCommits second = open();
        assertThat(requiredPositionUs(second)).isEqualTo(NOW_US + 3_000);
        write(second, NOW_US + 60_000);
        assertPeersUnknown(first);
        try (Stream<Path> remaining = Files.list(folder())) {
            assertThat(remaining).as("files, of which none is incomplete").hasSize(1);
        }
    }

    @Test
    void servesWithUnknownPeersIfTheFileCannotBeCreated() throws Exception {
        Files.createDirectories(folder().resolve("commits")); // A directory, as root ignores permissions.
        PeerProcessCommits before = open();
        write(before, NOW_US);
        assertPeersUnknown(before);
        Files.delete(folder().resolve("commits"));
        Files.delete(folder());
        Files.createFile(folder());
        assertPeersUnknown(open());
        assertPeersUnknown(PeerProcessCommits.open(Config.parse(REMEMBERED, Map.of("GW_FD", "0")), NOW_US, true));
    }

    /** Guards against stale reads beside a process that began without the file, or is from before it. */
    @Test
    void missingFileBesideAnEarlierProcessHidesItsCommitsUntilItMustHaveEnded() throws Exception {
        PeerProcessCommits after = open(REMEMBERED, "0", false);
        assertPeersUnknown(after);
        write(open(), NOW_US + 2_000);
        assertThat(after.peerCommits().requiredPositionUs(NOW_US + 60_000_000, SESSION))
                .isEqualTo(NOW_US + 15_000_000);
        assertThat(requiredPositionUs(open(REMEMBERED, "0", false)))
                .as("the file is there now")
                .isEqualTo(NOW_US + 3_000);
    }

    /** Guards against stale reads of a process whose file has gone, so that its successor makes another one. */
    @Test
    void removedFileHidesPeersFromTheProcessThatStillMapsIt() throws Exception {
        PeerProcessCommits before = open();
        before.onHeartbeat(NOW_US, Runnable::run);
        assertThat(requiredPositionUs(before)).isZero();
        Files.delete(folder().resolve("commits"));
        write(open(REMEMBERED, "0", false), NOW_US);
        before.onHeartbeat(NOW_US, Runnable::run);
        assertPeersUnknown(before);
    }
}
