package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.virtual.SimulationPlan;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Processes of the program that are members of one cluster, and faults between them; waits are for their pages. */
@Timeout(300)
class ClusterMemberTest {
    private static final int POOLERS = 3;
    private static final long SILENT_MS = 800;

    @TempDir
    Path dir;

    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(
                new SimulationPlan(3, 3, 1, 2, 2, 30, 0, 600_000_000, true),
                POOLERS,
                SILENT_MS,
                false,
                ExperimentPlay.PROGRAM,
                dir,
                20_000_000);
        fleet.start();
        fleet.begin(List.of());
        awaitAllPresent();
    }

    @AfterEach
    void end() throws Exception {
        fleet.end();
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    /** Reads a pooler's page until it has a line that begins with each text, and returns it. */
    private String await(int pooler, String... beginnings) throws IOException {
        while (true) {
            String page = fleet.page(pooler, "fleet");
            if (List.of(beginnings).stream()
                    .allMatch(beginning -> page.lines().anyMatch(line -> line.startsWith(beginning)))) {
                return page;
            }
            Thread.onSpinWait();
        }
    }

    private void awaitAllPresent() throws IOException {
        for (int pooler = 0; pooler < POOLERS; pooler++) {
            await(pooler, "p0 present", "p1 present", "p2 present");
        }
    }

    private void cut(boolean isCut, List<Integer> from, List<Integer> to) throws Exception {
        fleet.onLoop(() -> {
            fleet.network().cutPeers(from, to, isCut);
            return null;
        });
    }

    private static long incarnation(String page, String name) {
        Matcher incarnation =
                Pattern.compile("(?m)^" + name + " present incarnation=(\\d+)").matcher(page);
        assertThat(incarnation.find()).as(page).isTrue();
        return Long.parseLong(incarnation.group(1));
    }

    private void assertRulesKept() throws Exception {
        CountDownLatch allEnded = new CountDownLatch(1);
        fleet.onLoop(() -> {
            fleet.load().whenAllEnded(allEnded::countDown);
            return null;
        });
        allEnded.await();
        fleet.judge();
        assertThat(fleet.invariants().broken())
                .as(() -> String.join("\n", fleet.log()))
                .isZero();
        assertThat(fleet.load().statistics().served()).isPositive();
        assertThat(fleet.lifecycle().crashed()).isEmpty();
    }

    @Test
    void poolerThatIsNotHeardIsAbsentButServesAndRejoinsOnceHealed() throws Exception {
        cut(true, List.of(2), List.of(0, 1));
        await(0, "p0 present", "p1 present", "p2 absent");
        await(1, "p0 present", "p1 present", "p2 absent");
        assertThat(fleet.page(2, "stats")).isNotEmpty();
        cut(false, List.of(2), List.of(0, 1));
        awaitAllPresent();
        assertRulesKept();
    }

    @Test
    void killedPoolerRejoinsInANewIncarnationAndAPausedOneInItsOwn() throws Exception {
        long first = incarnation(await(0, "p1 present"), "p1");
        CountDownLatch restarted = new CountDownLatch(1);
        fleet.onLoop(() -> {
            fleet.lifecycle().kill(1, 0, restarted::countDown);
            return null;
        });
        restarted.await();
        String page = await(0, "p1 present incarnation=");
        while (incarnation(page, "p1") == first) {
            page = await(0, "p1 present incarnation=");
        }
        assertThat(incarnation(page, "p1")).isGreaterThan(first);
        long paused = incarnation(await(0, "p2 present"), "p2");
        pause(true);
        await(0, "p2 absent");
        await(1, "p2 absent");
        pause(false);
        for (int i = 0; i < POOLERS; i++) {
            assertThat(incarnation(await(i, "p0 present", "p1 present", "p2 present"), "p2"))
                    .isEqualTo(paused);
        }
        assertRulesKept();
    }

    private void pause(boolean isPaused) throws Exception {
        fleet.onLoop(() -> {
            fleet.lifecycle().pause(2, isPaused);
            return null;
        });
    }
}
