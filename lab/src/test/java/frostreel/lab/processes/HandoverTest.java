package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.processes.UpgradeRig.PoolerAndClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Commits through one process of an upgrade, and reads of their sessions through the other; real processes. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HandoverTest {
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

    /** Guards against stale reads of either process where the file that both map was removed between their starts. */
    @Test
    void sessionsSeeTheirWritesThroughTheOtherProcessWithoutTheFileOfCommits() throws Exception {
        PoolerAndClient before = rig.startPooler();
        assertThat(before.write("7f3a")).isEqualTo("primary");
        assertThat(before.read("aaaa")).isEqualTo("replica");
        Files.delete(dir.resolve("frostreel-orders").resolve("commits"));
        PoolerAndClient after = rig.startPooler();
        assertThat(after.read("7f3a")).as("written through the old one").isEqualTo("primary");
        assertThat(after.write("7f3b")).isEqualTo("primary");
        assertThat(before.read("7f3b")).as("written through the new one").isEqualTo("primary");
    }
}
