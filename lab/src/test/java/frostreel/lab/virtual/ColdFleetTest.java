package frostreel.lab.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.ChainRouter;
import frostreel.routing.Router;
import java.util.function.BiFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The load of all poolers together on servers that return cold, where each pooler sees only a small, uneven part. */
class ColdFleetTest {
    private static final int SEEDS = 20;
    private static final int ZONES = 2;

    /** All servers of one zone return at once, while those of the other one carry all load. */
    private static Simulation runReturnOfZone(
            int poolers, long seed, BiFunction<Router.Settings, Router.Actions, Router> routers) {
        Simulation simulation = new Simulation(
                new SimulationPlan(seed, ZONES, poolers / ZONES, 4, 2, 0.6, 1_000_000, 16_000_000, true), routers);
        simulation.skewDemand(8);
        simulation.at(4_000_000, () -> simulation.loseZone(1));
        simulation.at(9_000_000, () -> simulation.returnZone(1));
        return simulation.run();
    }

    /** A router that treats a started server as a warm one. */
    private static Router withoutSlowStart(Router.Settings settings, Router.Actions actions) {
        Router.Rules rules = settings.rules();
        return new ChainRouter(
                new Router.Settings(
                        settings.seed(),
                        settings.instances(),
                        settings.zone(),
                        settings.tickUs(),
                        settings.classes(),
                        settings.stalenessCheck(),
                        settings.listRole(),
                        settings.sessionTracking(),
                        settings.responsesCarryPositions(),
                        settings.limits(),
                        new Router.Rules(
                                rules.responseSlackUs(),
                                rules.stopSendingUs(),
                                rules.goneMembersUsable(),
                                1,
                                rules.warmUpUs(),
                                rules.overloadMultiple(),
                                rules.overloadWindowUs())),
                actions);
    }

    @ParameterizedTest
    @ValueSource(ints = {20, 30, 100})
    void allPoolersTogetherOverloadNoColdServer(int poolers) {
        int overloadedWithoutSlowStart = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Simulation simulation = runReturnOfZone(poolers, seed, ChainRouter::new);
            assertThat(simulation.overloadedServers())
                    .as("seed %d, largest multiple %.2f", seed, simulation.largestMultiple())
                    .isZero();
            assertThat(simulation.invariants().broken())
                    .as("seed %d: %s", seed, simulation.invariants().rules())
                    .isZero();
            Simulation careless = runReturnOfZone(poolers, seed, ColdFleetTest::withoutSlowStart);
            overloadedWithoutSlowStart += careless.overloadedServers() > 0 ? 1 : 0;
        }
        assertThat(overloadedWithoutSlowStart).isPositive();
    }
}
