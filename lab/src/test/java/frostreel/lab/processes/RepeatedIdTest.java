package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.processes.UpgradeRig.PoolerAndClient;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Writes whose ids come again, at either process of an upgrade; real processes. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RepeatedIdTest {
    private static final String MAY_HAVE_RUN = "the id of a request that may have run";

    @TempDir
    Path dir;

    private UpgradeRig rig;

    @BeforeEach
    void startServers() throws Exception {
        rig = new UpgradeRig(dir);
        rig.startServer("primary", true, true);
    }

    @AfterEach
    void endAll() throws Exception {
        rig.endAll();
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
