package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.processes.UpgradeRig.PoolerAndClient;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Commits and ids of writes through one process of an upgrade, and requests through the other; real processes. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HandoverTest {
    private static final String MAY_HAVE_RUN = "the id of a request that may have run";
    /** How long to wait after a kill; longer does no harm. */
    private static final long PAUSE_NS = 150_000_000;

    @TempDir
    Path dir;

    private UpgradeRig rig;

    @BeforeEach
    void startServers() throws Exception {
        rig = new UpgradeRig(dir);
        rig.startServer("primary", true, true);
        rig.startServer("replica", false, false);
    }

    @AfterEach
    void endAll() throws Exception {
        rig.endAll();
    }

    @Test
    void sessionsSeeTheirWritesThroughTheOtherProcessEvenAfterAKill() throws Exception {
        PoolerAndClient before = rig.startPooler();
        assertThat(before.write("7f3a")).isEqualTo("primary");
        PoolerAndClient after = rig.startPooler();
        assertThat(after.read("aaaa")).as("a session without writes").isEqualTo("replica");
        assertThat(after.read("7f3a")).as("written through the old one").isEqualTo("primary");
        assertThat(after.write("7f3b")).isEqualTo("primary");
        assertThat(before.read("7f3b")).as("written through the new one").isEqualTo("primary");
        CountDownLatch unanswered = rig.leaveWritesUnanswered();
        before.sendWrite("7f3c");
        unanswered.await();
        before.kill();
        assertThat(after.read("7f3a")).as("answered by the killed process").isEqualTo("primary");
        long killedNs = System.nanoTime();
        while (System.nanoTime() - killedNs < PAUSE_NS) {
            Thread.onSpinWait();
        }
        assertThat(after.read("7f3c")).as("in flight at the kill").isEqualTo("primary");
    }

    /** The limit on the size of files makes a write fail as on a full disk. */
    @Test
    void servesWithoutTheCommitTableWhereItsFileCannotGrow() throws Exception {
        PoolerAndClient full = rig.startPooler("ulimit -f 40; exec \"$@\"");
        assertThat(full.read("aaaa"))
                .as("any session may have commits through the other process")
                .isEqualTo("primary");
        assertThat(full.write("7f3a")).isEqualTo("primary");
        assertThat(full.read("7f3a")).isEqualTo("primary");
        assertThat(Files.readString(full.log))
                .containsOnlyOnce("commits of peer processes unknown: java.io.IOException: File too large");
        try (Stream<Path> left = Files.list(dir.resolve("frostreel-orders"))) {
            assertThat(left.map(file -> file.getFileName().toString()))
                    .as("no incomplete file is left")
                    .containsExactly("clock");
        }
        PoolerAndClient next = rig.startPooler();
        assertThat(next.read("7f3a"))
                .as("written through the process that shares nothing")
                .isEqualTo("primary");
        full.kill();
        assertThat(rig.startPooler().read("aaaa"))
                .as("the next process has created the file")
                .isEqualTo("replica");
    }

    /** Guards against stale reads of either process where the file that both map, or all of them, were removed. */
    @ParameterizedTest
    @ValueSource(strings = {"commits", "*"})
    void sessionsSeeTheirWritesThroughTheOtherProcessWithoutTheFiles(String removed) throws Exception {
        PoolerAndClient before = rig.startPooler();
        assertThat(before.write("7f3a")).isEqualTo("primary");
        assertThat(before.read("aaaa")).isEqualTo("replica");
        Path folder = dir.resolve("frostreel-orders");
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, removed)) {
            for (Path file : files) {
                Files.delete(file);
            }
        }
        while (Files.notExists(folder.resolve("clock"))) {
            Thread.onSpinWait(); // The old process writes it again.
        }
        PoolerAndClient after = rig.startPooler();
        assertThat(after.read("7f3a")).as("written through the old one").isEqualTo("primary");
        assertThat(after.write("7f3b")).isEqualTo("primary");
        assertThat(before.read("7f3b")).as("written through the new one").isEqualTo("primary");
    }

    /** Guards against a write that runs twice when its id comes again, after its client has left or elsewhere. */
    @Test
    void writeDoesNotRunAgainThroughEitherProcess() throws Exception {
        PoolerAndClient before = rig.startPooler();
        PoolerAndClient after = rig.startPooler();
        assertThat(before.write("7f3a", "e1")).isEqualTo("primary");
        assertThat(before.write("7f3a", "e1")).contains(MAY_HAVE_RUN);
        assertThat(after.write("7f3a", "e1")).contains(MAY_HAVE_RUN);
        assertThat(after.write("7f3a", "e2")).isEqualTo("primary");
        assertThat(before.write("7f3a", "e2")).contains(MAY_HAVE_RUN);
        CountDownLatch unanswered = rig.leaveWritesUnanswered();
        before.sendWrite("7f3a", "e3");
        unanswered.await();
        before.disconnectClient();
        assertThat(after.write("7f3a", "e3")).contains(MAY_HAVE_RUN);
        before.kill();
        assertThat(after.write("7f3a", "e3")).contains(MAY_HAVE_RUN);
        assertThat(rig.startPooler().write("7f3a", "e1")).contains(MAY_HAVE_RUN);
    }
}
