package frostreel.lab.virtual;

import static frostreel.lab.virtual.SimulationAssertions.assertRulesKept;

import frostreel.wire.MalformedMessageException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.ShrinkingMode;
import org.json.JSONArray;
import org.json.JSONObject;

/** What serves the deployments we know must serve every other one whose settings the same page allows. */
class RandomSettingsTest {
    private static final int TRIES = 300;
    private static final int GENERATED_SIZE = 1_000;
    /** Requests of a draw, at the most: what keeps a try short. */
    private static final int MOST_REQUESTS = 4_000;

    private static final double MOST_WORK_S = 0.7;
    private static final double MOST_LOAD = 1.5;

    /** An object, value by value; each shrinks on its own. */
    private static final class Parts {
        private final Map<String, Arbitrary<?>> parts = new LinkedHashMap<>();

        Parts with(String key, Arbitrary<?> value) {
            parts.put(key, value);
            return this;
        }

        Parts with(String key, double least, double most) {
            return with(
                    key,
                    Arbitraries.doubles()
                            .between(least, most)
                            .ofScale(3)
                            .withDistribution(RandomDistribution.uniform()));
        }

        Parts with(String key, int least, int most) {
            return with(
                    key, Arbitraries.integers().between(least, most).withDistribution(RandomDistribution.uniform()));
        }

        Parts oneOf(String key, Object... values) {
            return with(key, Arbitraries.of(values));
        }

        Parts flag(String key) {
            return oneOf(key, false, true);
        }

        Arbitrary<JSONObject> build() {
            Arbitrary<JSONObject> all = Arbitraries.create(JSONObject::new);
            for (Map.Entry<String, Arbitrary<?>> e : parts.entrySet()) {
                all = Combinators.combine(all, e.getValue()).as((o, v) -> copy(o).put(e.getKey(), v));
            }
            return all;
        }
    }

    private static JSONObject copy(JSONObject original) {
        JSONObject other = new JSONObject();
        original.keySet().forEach(key -> other.put(key, original.get(key)));
        return other;
    }

    /** A class, with what the fleet knows of it under {@code fleet}. */
    private static Arbitrary<JSONObject> requestClass() {
        return new Parts()
                .oneOf("access", "any", "write", "session", "bounded", "fresh")
                .oneOf("repeat", "retryable", "dedup", "fragile")
                .oneOf("group", "cell", "all")
                .with("deadlineS", 0.3, 20)
                .with("aimShare", 0.05, 1)
                .with("worth", 0.5, 10)
                .with("lateWorth", 0.0, 1)
                .with("repeatWindowS", 0.5, 30)
                .with("boundS", 0.05, 5)
                .with("share", 1, 20)
                .with("aims", 2.0, 30)
                .build();
    }

    private static Arbitrary<JSONObject> event() {
        return new Parts()
                .oneOf(
                        "kind",
                        "lag",
                        "roll",
                        "restart",
                        "drain",
                        "lose",
                        "losePrimary",
                        "errors",
                        "losses",
                        "slow",
                        "stalls")
                .with("atS", 0.5, 12)
                .with("lenS", 0.2, 12)
                .with("part", 0.05, 0.96)
                .with("from", 0, 30)
                .with("size", 0.05, 0.95)
                .build();
    }

    private static Arbitrary<JSONObject> settings() {
        Arbitrary<JSONObject> caps = new Parts()
                .with("maxAttempts", 1, 20)
                .flag("probes")
                .flag("cancel")
                .flag("retryAfter")
                .with("maxRetryAfterS", 0.1, 5)
                .with("streamsPerConn", 1, 32)
                .with("idleCloseS", 2.0, 60)
                .with("connectTimeoutS", 0.05, 5)
                .flag("secondCopies")
                .build();
        Arbitrary<JSONObject> info = new Parts()
                .flag("positions")
                .oneOf("serverChecks", "silent", "refuse", "wait")
                .with("holdsForS", 0.0, 0.2)
                .oneOf("listRole", "late", "start", "silent")
                .oneOf("writeMarks", "carried", "remembered")
                .build();
        Arbitrary<JSONObject> rules = new Parts()
                .with("answerSlackS", 0.02, 0.1)
                .with("stopSendingWithinS", 0.1, 3)
                .with("coldFrom", 0.05, 1)
                .with("fallMultiple", 1.5, 4)
                .with("fallS", 0.5, 4)
                .with("warmAfterS", 0.0, 30)
                .flag("onlyDrainingBinds")
                .build();
        Arbitrary<JSONObject> stats = Arbitraries.of("silent", "piggyback")
                .flatMap(how -> Arbitraries.of("x0", "x1", "load_share")
                        .set()
                        .ofMaxSize(how.equals("silent") ? 0 : 3)
                        .map(names -> new JSONObject().put("how", how).put("names", new JSONArray(names))));
        return new Parts()
                .with("caps", caps)
                .with("familyInfo", info)
                .with("rules", rules)
                .with("stats", stats)
                .with("roundS", 0.001, 0.02)
                .build();
    }

    private static Arbitrary<JSONObject> fleet() {
        return new Parts()
                .with("zones", 1, 3)
                .with("members", 1, 4)
                .with("poolersPerZone", 1, 33)
                .with("groups", 1, 4)
                .with("cores", 1, 8)
                .with("rate", 0.3, 60)
                .with("uneven", 1.0, 16)
                .with("listLagS", 0.05, 5)
                .with("durationS", 6, 20)
                .with("sessions", 1, 100)
                .with("logDelayS", 0.001, 0.05)
                .with("replay", 1.05, 3)
                .with("queue", 4, 100)
                .flag("cancels")
                .flag("retries")
                .build();
    }

    @Provide
    Arbitrary<RandomScenario> draws() {
        return salted(Combinators.combine(
                        settings(),
                        fleet(),
                        requestClass().list().ofMinSize(2).ofMaxSize(6),
                        event().list().ofMaxSize(5),
                        Arbitraries.longs().between(0, 1_000_000))
                .as(RandomSettingsTest::draw));
    }

    /** Other draws than the build's, by {@code -Dfrostreel.draws=SEED}. */
    private static Arbitrary<RandomScenario> salted(Arbitrary<RandomScenario> draws) {
        long salt = Long.getLong("frostreel.draws", 0);
        RandomGenerator<RandomScenario> generator = draws.generator(GENERATED_SIZE);
        return salt == 0
                ? draws
                : Arbitraries.fromGenerator(random -> generator.next(new Random(random.nextLong() ^ salt)));
    }

    /** The classes of one draw as the platform hands them over, and what they ask of a server together. */
    private static final class DrawnClasses {
        final JSONArray classes = new JSONArray();
        final JSONArray kinds = new JSONArray();
        final JSONArray freshness = new JSONArray();
        final JSONArray bounds = new JSONArray();
        double shares;
        double workS;
        double longestS;

        DrawnClasses(List<JSONObject> drawn) {
            drawn.forEach(this::add);
        }

        private void add(JSONObject drawn) {
            double deadlineS = drawn.getDouble("deadlineS");
            double objectiveS = deadlineS * drawn.getDouble("aimShare");
            double needsS = Math.min(MOST_WORK_S, objectiveS / drawn.getDouble("aims"));
            boolean keyed = drawn.getString("repeat").equals("dedup");
            boolean bounded = drawn.getString("access").equals("bounded");
            classes.put(new JSONObject()
                    .put("name", "c" + classes.length())
                    .put("deadlineS", deadlineS)
                    .put("onTimeS", objectiveS)
                    .put("worth", drawn.getDouble("worth"))
                    .put("lateWorth", drawn.getDouble("lateWorth"))
                    .put("repeat", drawn.getString("repeat"))
                    .put("group", keyed ? drawn.getString("group") : "all")
                    .put("repeatWindowS", drawn.getDouble("repeatWindowS")));
            freshness.put(drawn.getString("access"));
            bounds.put(bounded ? drawn.getDouble("boundS") : 0);
            kinds.put(new JSONObject().put("share", drawn.getInt("share")).put("workMs", needsS * 1e3));
            shares += drawn.getInt("share");
            workS += drawn.getInt("share") * needsS;
            longestS = Math.max(longestS, needsS);
        }
    }

    private static RandomScenario draw(
            JSONObject settings,
            JSONObject drawnFleet,
            List<JSONObject> drawnClasses,
            List<JSONObject> events,
            long seed) {
        DrawnClasses drawn = new DrawnClasses(drawnClasses);
        JSONObject fleet = copy(drawnFleet);
        int poolers = fleet.getInt("zones") * fleet.getInt("poolersPerZone");
        int cores = Math.max(fleet.getInt("cores"), coresNeededCold(drawn, settings.getJSONObject("rules")));
        double rate = Math.min(fleet.getDouble("rate") * poolers, MOST_REQUESTS / fleet.getDouble("durationS"));
        double capacity = fleet.getInt("zones") * fleet.getInt("members") * fleet.getInt("groups") * cores;
        fleet.put("chance", true)
                .put("cores", cores)
                .put("kinds", drawn.kinds)
                .put("load", Math.min(MOST_LOAD, rate * drawn.workS / drawn.shares / capacity));
        JSONObject all = copy(settings).put("classes", drawn.classes).put("instances", poolers);
        all.put(
                "familyInfo",
                copy(all.getJSONObject("familyInfo"))
                        .put("freshness", drawn.freshness)
                        .put("lagAllowedS", drawn.bounds));
        return new RandomScenario(new JSONObject()
                .put("settings", all)
                .put("fleet", fleet)
                .put("seed", seed)
                .put("events", new JSONArray(events)));
    }

    /** What a server just started may be sent holds two requests of any class, and some of the usual ones. */
    private static int coresNeededCold(DrawnClasses drawn, JSONObject rules) {
        double cold = rules.getDouble("coldFrom") * rules.getDouble("fallMultiple") * rules.getDouble("fallS");
        return (int) Math.ceil(Math.max(2 * 1.3 * drawn.longestS, 8 * drawn.workS / drawn.shares) / cold);
    }

    @Property(tries = TRIES, seed = "1", shrinking = ShrinkingMode.BOUNDED, afterFailure = AfterFailureMode.RANDOM_SEED)
    void theRulesHoldOnEveryDraw(@ForAll("draws") RandomScenario draw) throws MalformedMessageException {
        Simulation simulation = draw.play();
        assertRulesKept("draw", simulation);
    }
}
