package frostreel.lab.virtual;

import static frostreel.lab.virtual.SimulationAssertions.assertRulesKept;

import frostreel.wire.MalformedMessageException;
import java.util.List;
import java.util.Random;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.ShrinkingMode;
import org.json.JSONArray;
import org.json.JSONObject;

/** All rules hold not only in known deployments, but in any whose settings the platform's page allows. */
class RandomSettingsTest {
    private static final int TRIES = 300;
    private static final int GENERATED_SIZE = 1_000;
    /** Bounds the requests of a deployment, and so the time of a try. */
    private static final int MAX_REQUESTS = 4_000;

    private static final double MAX_LOAD = 1.5;

    @Provide
    Arbitrary<RandomScenario> deployments() {
        return withSalt(Combinators.combine(
                        DeploymentArbitraries.settings(),
                        DeploymentArbitraries.fleet(),
                        DeploymentArbitraries.requestClass().list().ofMinSize(2).ofMaxSize(6),
                        DeploymentArbitraries.event().list().ofMaxSize(5),
                        Arbitraries.longs().between(0, 1_000_000))
                .as(RandomSettingsTest::scenario));
    }

    /** With {@code -Dfrostreel.draws=SEED}: other draws than those of the build. */
    private static Arbitrary<RandomScenario> withSalt(Arbitrary<RandomScenario> draws) {
        long salt = Long.getLong("frostreel.draws", 0);
        RandomGenerator<RandomScenario> generator = draws.generator(GENERATED_SIZE);
        return salt == 0
                ? draws
                : Arbitraries.fromGenerator(random -> generator.next(new Random(random.nextLong() ^ salt)));
    }

    private static RandomScenario scenario(
            JSONObject settings,
            JSONObject drawnFleet,
            List<JSONObject> drawnClasses,
            List<JSONObject> events,
            long seed) {
        DrawnClasses drawn = new DrawnClasses(drawnClasses);
        JSONObject fleet = ObjectArbitrary.copy(drawnFleet);
        int poolers = fleet.getInt("zones") * fleet.getInt("poolersPerZone");
        int cores = Math.max(fleet.getInt("cores"), drawn.coresNeededCold(settings.getJSONObject("rules")));
        double rate = Math.min(fleet.getDouble("rate") * poolers, MAX_REQUESTS / fleet.getDouble("durationS"));
        double capacity = fleet.getInt("zones") * fleet.getInt("members") * fleet.getInt("groups") * cores;
        fleet.put("chance", true)
                .put("cores", cores)
                .put("kinds", drawn.kinds)
                .put("load", Math.min(MAX_LOAD, drawn.workS(rate) / capacity));
        JSONObject all =
                ObjectArbitrary.copy(settings).put("classes", drawn.classes).put("instances", poolers);
        all.put(
                "familyInfo",
                ObjectArbitrary.copy(all.getJSONObject("familyInfo"))
                        .put("freshness", drawn.freshness)
                        .put("lagAllowedS", drawn.bounds));
        return new RandomScenario(new JSONObject()
                .put("settings", all)
                .put("fleet", fleet)
                .put("seed", seed)
                .put("events", new JSONArray(events)));
    }

    @Property(tries = TRIES, seed = "1", shrinking = ShrinkingMode.BOUNDED, afterFailure = AfterFailureMode.RANDOM_SEED)
    void rulesHoldInEveryAllowedDeployment(@ForAll("deployments") RandomScenario scenario)
            throws MalformedMessageException {
        Simulation simulation = scenario.play();
        assertRulesKept("scenario", simulation);
    }
}
