package frostreel.lab.virtual;

import static frostreel.lab.virtual.KnownSitesTest.event;
import static frostreel.lab.virtual.SimulationAssertions.assertRulesKept;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.rules.RunListener.Answer;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Primaries die under writes where commits do not wait for a replica, and stay away until another leads: what
 * they answered last, no member has any more. What reads of such sessions are owed says {@link
 * VirtualPooler#lastCommitUs}.
 */
class LostCommitsTest {
    private static final int SEEDS = 20;
    /** Sessions write seldom enough that some read after a loss before they write again. */
    private static final int SESSIONS = 3_000;
    /** A new primary is found by then, and what had waited for it is done. */
    private static final long SETTLED_US = 2_000_000;

    private static Simulation play(String site, long seed) throws Exception {
        RandomScenario draw = KnownSitesTest.draw(
                KnownSitesTest.settings(site),
                2,
                0.4,
                seed,
                event("lag", 3, 6.5, 0.9, 0.1),
                event("losePrimary", 6, 8, 1, 0.5),
                event("losePrimary", 9, 8, 1, 0.5).put("from", 1),
                event("losePrimary", 20, 8, 1, 0.5));
        draw.json().getJSONObject("fleet").put("sessions", SESSIONS);
        return draw.play();
    }

    @Test
    void rulesHoldAndReadsOfSessionsWithLostCommitsAreServedAgain() throws Exception {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Simulation simulation = play("bsas-main", seed);
            assertRulesKept("seed " + seed, simulation);
            RunStatistics statistics = simulation.statistics();
            assertThat(statistics.served() + statistics.rejected() + statistics.failed())
                    .isEqualTo(statistics.requests() + statistics.retries());
            assertThat(simulation.cluster().lostCommits()).as("seed %d", seed).isPositive();
            List<LostRead> settled = simulation.lostReads().stream()
                    .filter(r -> r.primaryAgeUs() > SETTLED_US)
                    .toList();
            assertThat(settled)
                    .as("seed %d", seed)
                    .isNotEmpty()
                    .allSatisfy(r -> assertThat(r.answer()).isEqualTo(Answer.SERVED));
        }
    }

    @Test
    void noCommitIsLostWhereCommitsAreSynchronous() throws Exception {
        assertThat(play("billing-kamloops", 1).cluster().lostCommits()).isZero();
    }
}
