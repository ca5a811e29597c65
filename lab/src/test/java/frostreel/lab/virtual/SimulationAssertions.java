package frostreel.lab.virtual;

import static org.assertj.core.api.Assertions.assertThat;

/** What every simulation that ran has to show. */
final class SimulationAssertions {
    private SimulationAssertions() {}

    /** Every rule was kept, and the program threw nothing; {@code run} names the run in a failure's message. */
    static void assertRulesKept(String run, Simulation simulation) {
        assertThat(simulation.invariants().rules())
                .as(run)
                .allSatisfy(rule -> assertThat(rule.broken())
                        .as("%s: %s", rule.name(), rule.firstViolations())
                        .isZero());
        assertThat(simulation.strayExceptions()).as("%s: stray exceptions", run).isZero();
    }

    /** Beside the rules: no server was overloaded while it was warming up. */
    static void assertNoServerOverloaded(Simulation simulation) {
        assertThat(simulation.overloadedServers()).as("overloaded servers").isZero();
    }
}
