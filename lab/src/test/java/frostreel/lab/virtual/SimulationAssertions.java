package frostreel.lab.virtual;

import static org.assertj.core.api.Assertions.assertThat;

/** Assertions that hold for every simulation once it has run. */
final class SimulationAssertions {
    private SimulationAssertions() {}

    /** Every rule was kept, and no exception escaped; {@code run} names the run in a failure's message. */
    static void assertRulesKept(String run, Simulation simulation) {
        assertThat(simulation.invariants().rules())
                .as(run)
                .allSatisfy(rule -> assertThat(rule.broken())
                        .as("%s: %s", rule.name(), rule.firstViolations())
                        .isZero());
        assertThat(simulation.strayExceptions()).as("%s: stray exceptions", run).isZero();
    }

    /** No server was overloaded while it was warming up, whether that breaks a rule or not. */
    static void assertNoServerOverloaded(Simulation simulation) {
        assertThat(simulation.overloadedServers()).as("overloaded servers").isZero();
    }
}
