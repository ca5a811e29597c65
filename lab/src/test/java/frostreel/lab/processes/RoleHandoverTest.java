package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.processes.UpgradeRig.DatabaseServer;
import frostreel.lab.processes.UpgradeRig.PoolerAndClient;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Roles that one process of an upgrade is told of, and reads through the other; real processes. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RoleHandoverTest {
    @TempDir
    Path dir;

    private UpgradeRig rig;
    private DatabaseServer former;
    private DatabaseServer current;

    /** The list names the server that was the primary when the day began; since then the other one is. */
    @BeforeEach
    void startServers() throws Exception {
        rig = new UpgradeRig(dir);
        former = rig.startServer("former", true, false);
        current = rig.startServer("present", false, true);
    }

    @AfterEach
    void endAll() throws Exception {
        rig.endAll();
    }

    /** Guards against stale reads through a successor that trusts the endpoint list (review/9). */
    @Test
    void successorReadsFromThePrimaryThatItsPredecessorsFoundOverSeveralUpgrades() throws Exception {
        PoolerAndClient first = rig.startPooler();
        assertThat(first.write("7f3a")).isEqualTo("present");
        PoolerAndClient second = rig.startPooler();
        first.kill();
        PoolerAndClient third = rig.startPooler();
        second.kill();
        assertThat(third.read("7f3a")).isEqualTo("present");
    }

    /** Guards against stale reads after a failover that only the other process has noticed. */
    @Test
    void processReadsFromThePrimaryThatTheOtherFindsWhileBothServe() throws Exception {
        PoolerAndClient before = rig.startPooler();
        PoolerAndClient after = rig.startPooler();
        assertThat(after.write("7f3a")).isEqualTo("present");
        assertThat(before.read("7f3a")).as("told to the new one").isEqualTo("present");
        current.becomeReplica();
        former.becomePrimary();
        assertThat(before.write("7f3b")).isEqualTo("former");
        assertThat(after.read("7f3b")).as("told to the old one").isEqualTo("former");
        former.becomeReplica();
        current.becomePrimary();
        before.terminate();
        assertThat(before.write("7f3c")).isEqualTo("present");
        assertThat(after.read("7f3c")).as("told to the old one while it ends").isEqualTo("present");
    }

    /** Guards against reads and writes that a new pooler sends by what a dead one knew. */
    @Test
    void whatADeadPoolerKnewYieldsToWhatServersSay() throws Exception {
        PoolerAndClient dead = rig.startPooler();
        assertThat(dead.write("7f3a")).isEqualTo("present");
        dead.kill();
        current.becomeReplica();
        former.becomePrimary();
        PoolerAndClient next = rig.startPooler();
        assertThat(next.read("7f3a")).isEqualTo("former");
        assertThat(next.write("7f3b")).isEqualTo("former");
    }

    private enum Damage {
        MISSING,
        EMPTY,
        GARBAGE,
        OTHER_VERSION
    }

    private void damage(Damage damage) throws IOException {
        Path file = dir.resolve("frostreel-orders").resolve("roles");
        byte[] content = Files.readAllBytes(file);
        switch (damage) {
            case MISSING -> Files.delete(file);
            case EMPTY -> Files.write(file, new byte[0]);
            case GARBAGE -> {
                new SplittableRandom(3).nextBytes(content);
                Files.write(file, content);
            }
            case OTHER_VERSION -> {
                content[0] ^= 1;
                Files.write(file, content);
            }
        }
    }

    /** Guards against crashes and stale reads where the file is damaged under the old process. */
    @ParameterizedTest
    @EnumSource
    void damagedFileCostsNeitherProcessNorReadAndIsWrittenAnew(Damage damage) throws Exception {
        PoolerAndClient before = rig.startPooler();
        assertThat(before.write("7f3a")).isEqualTo("present");
        damage(damage);
        PoolerAndClient after = rig.startPooler();
        assertThat(after.read("7f3a")).isEqualTo("present");
        assertThat(before.write("7f3b")).isEqualTo("present");
        before.kill();
        assertThat(after.read("7f3b")).isEqualTo("present");
        assertThat(rig.startPooler().read("7f3b")).isEqualTo("present");
    }
}
