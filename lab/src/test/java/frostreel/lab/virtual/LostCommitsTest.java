package frostreel.lab.virtual;

import static frostreel.lab.virtual.KnownSitesTest.event;
import static frostreel.lab.virtual.SimulationAssertions.assertRulesKept;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.rules.RunListener.Answer;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Primaries are lost under writes and stay away until another is elected. Where commits are asynchronous, no
 * member has their last acknowledged commits any more; {@link VirtualPooler#lastCommitUs} states which data reads
 * of such sessions require.
 */
class LostCommitsTest {
    private static final int SEEDS = 20;
    /** So many that each writes seldom, and some read after a loss before they write again. */
    private static final int SESSIONS = 3_000;
    /** After the election of a primary, requests that waited for it have ended by then. */
    private static final long SETTLE_US = 2_000_000;

    private static Simulation play(String site, long seed) throws Exception {
        RandomScenario scenario = KnownSitesTest.scenario(
                KnownSitesTest.settings(site),
                2,
                0.4,
                seed,
                event("lag", 3, 6.5, 0.9, 0.1),
                event("losePrimary", 6, 8, 1, 0.5),
                event("losePrimary", 9, 8, 1, 0.5).put("from", 1),
                event("losePrimary", 20, 8, 1, 0.5));
        scenario.json().getJSONObject("fleet").put("sessions", SESSIONS);
        return scenario.play();
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
                    .filter(read -> read.primaryAgeUs() > SETTLE_US)
                    .toList();
            assertThat(settled)
                    .as("seed %d", seed)
                    .isNotEmpty()
                    .allSatisfy(read -> assertThat(read.answer()).isEqualTo(Answer.SERVED));
        }
    }

    @Test
    void noCommitIsLostWhereCommitsAreSynchronous() throws Exception {
        assertThat(play("billing-kamloops", 1).cluster().lostCommits()).isZero();
    }
}
