package frostreel.lab.virtual;

import static frostreel.lab.virtual.SimulationAssertions.assertNoServerOverloaded;
import static frostreel.lab.virtual.SimulationAssertions.assertRulesKept;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.rules.Rule;
import frostreel.routing.ChainRouter;
import frostreel.routing.Router;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Runs of the simulation are reproducible, keep the rules, and its checks report routers that break them. */
class SimulationTest {
    private static SimulationPlan plan(long seed) {
        return new SimulationPlan(seed, 3, 2, 6, 4, 0.5, 2_000_000, 25_000_000, true);
    }

    private static Simulation loseAndReturnZone(long seed) {
        Simulation simulation = new Simulation(plan(seed), ChainRouter::new);
        simulation.at(8_000_000, () -> simulation.loseZone(1));
        simulation.at(15_000_000, () -> simulation.returnZone(1));
        return simulation.run();
    }

    @Test
    void equalSeedsGiveEqualRunsAndDifferentSeedsDifferentOnes() {
        String digest = loseAndReturnZone(1).digest();
        assertThat(loseAndReturnZone(1).digest()).isEqualTo(digest);
        assertThat(loseAndReturnZone(2).digest()).isNotEqualTo(digest);
    }

    @Test
    void runWithoutFaultsServesNearlyAllAndAnswersEveryRequestOnce() {
        Simulation simulation = new Simulation(plan(3), ChainRouter::new).run();
        assertRulesKept("run", simulation);
        assertNoServerOverloaded(simulation);
        assertThat(simulation.statistics().weightShare(5, 25, RunStatistics.ALL_ZONES))
                .isGreaterThan(0.97);
        RunStatistics statistics = simulation.statistics();
        assertThat(statistics.served() + statistics.rejected() + statistics.failed())
                .isEqualTo(statistics.requests() + statistics.retries());
    }

    @Test
    void rulesHoldWhenAZoneIsLostAndReturns() {
        Simulation simulation = loseAndReturnZone(4);
        assertRulesKept("run", simulation);
        assertNoServerOverloaded(simulation);
        assertThat(simulation.statistics().worstTenSeconds(1))
                .isLessThan(simulation.statistics().weightShare(0, 8, 1));
        assertThat(simulation.largestMultiple()).isPositive();
    }

    /** A router that sends every request to the first member of its group, whatever its state. */
    private static final class FixedTargetRouter implements Router {
        private final Actions actions;
        private List<Member> members;

        FixedTargetRouter(Settings settings, Actions actions) {
            this.actions = actions;
        }

        @Override
        public void onSettings(Settings settings) {}

        @Override
        public void onRequest(long nowUs, Request request) {
            actions.send(request.id(), first(request), request.deadlineUs() - nowUs);
        }

        private String first(Request request) {
            return members.stream()
                    .filter(member -> member.group() == request.group())
                    .findFirst()
                    .orElseThrow()
                    .id();
        }

        @Override
        public boolean mayStillBegin(long nowUs, String requestId) {
            return true;
        }

        @Override
        public void onOutcome(
                long nowUs,
                String requestId,
                int attempt,
                String memberId,
                Outcome outcome,
                boolean closed,
                long tookUs,
                Role role,
                long positionUs,
                Report report) {
            if (!closed) {
                actions.fail(requestId);
            }
        }

        @Override
        public void onMembers(long nowUs, ListKind kind, List<Member> list) {
            members = kind == ListKind.FULL ? list : members;
        }

        @Override
        public void onHealthCheck(long nowUs, String memberId, boolean ok, long tookUs, Report report) {}

        @Override
        public void onTimer(long nowUs, String name) {}

        @Override
        public void onClientDisconnected(long nowUs, String requestId) {}
    }

    @Test
    void reportsRoutersThatIgnoreDrainsAndColdServers() {
        Simulation simulation = new Simulation(plan(5), FixedTargetRouter::new);
        simulation.at(8_000_000, () -> simulation.loseZone(0));
        simulation.at(12_000_000, () -> simulation.returnZone(0));
        simulation.run();
        assertThat(simulation.invariants().rules())
                .filteredOn(rule -> rule.broken() > 0)
                .extracting(Rule::name)
                .contains("drains and ends kept", "no cold server pushed over");
        assertThat(simulation.overloadedServers()).isPositive();
    }
}
