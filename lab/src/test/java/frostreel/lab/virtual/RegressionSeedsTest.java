package frostreel.lab.virtual;

import static frostreel.lab.virtual.SimulationAssertions.assertRulesKept;

import frostreel.wire.MalformedMessageException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.json.JSONObject;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Scenarios that once broke a rule, reduced to the cause; each with ten seeds. */
class RegressionSeedsTest {
    private static final int SEEDS = 10;

    @ParameterizedTest
    @ValueSource(strings = {"cold-one-server", "cold-thin-fleet", "cold-busy-by-half"})
    void rulesHoldInScenariosThatOnceBrokeThem(String name) throws IOException, MalformedMessageException {
        try (InputStream in = RegressionSeedsTest.class.getResourceAsStream("/draws/" + name + ".json")) {
            JSONObject scenario = new JSONObject(new String(in.readAllBytes(), StandardCharsets.UTF_8));
            for (int seed = 1; seed <= SEEDS; seed++) {
                Simulation simulation =
                        new RandomScenario(new JSONObject(scenario.toString()).put("seed", seed)).play();
                assertRulesKept("seed " + seed, simulation);
            }
        }
    }
}
