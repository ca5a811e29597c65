package frostreel.lab.virtual;

import java.util.List;
import java.util.SplittableRandom;
import org.json.JSONArray;
import org.json.JSONObject;

/** Settings, a fleet and faults drawn from a seed; the same draws on every machine and with every library. */
final class RandomDeployment {
    private static final int MAX_REQUESTS = 3_000;
    private static final List<String> FAULTS =
            List.of("lag", "roll", "restart", "drain", "lose", "losePrimary", "errors", "losses", "slow", "stalls");
    private final SplittableRandom random;
    private final long seed;

    RandomDeployment(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed);
    }

    private double between(double min, double max) {
        return Math.round((min + random.nextDouble() * (max - min)) * 1e3) / 1e3;
    }

    private int between(int min, int max) {
        return random.nextInt(min, max + 1);
    }

    private boolean flag() {
        return random.nextBoolean();
    }

    private String oneOf(String... options) {
        return options[random.nextInt(options.length)];
    }

    /** Settings as the simulator hands them over. */
    JSONObject settings() {
        JSONArray classes = new JSONArray();
        JSONArray freshness = new JSONArray();
        JSONArray lagAllowed = new JSONArray();
        for (int i = between(2, 6); i > 0; i--) {
            classes.put(requestClass(classes.length()));
            String access = oneOf("any", "write", "session", "bounded", "fresh");
            freshness.put(access);
            lagAllowed.put(access.equals("bounded") ? between(0.05, 3) : 0);
        }
        JSONObject familyInfo = new JSONObject()
                .put("freshness", freshness)
                .put("lagAllowedS", lagAllowed)
                .put("positions", flag())
                .put("serverChecks", oneOf("silent", "refuse", "wait"))
                .put("holdsForS", between(0.01, 0.2))
                .put("listRole", oneOf("late", "start", "silent"))
                .put("writeMarks", oneOf("carried", "remembered"))
                .put("commitWaits", flag());
        String how = oneOf("silent", "piggyback", "pull");
        JSONArray names = new JSONArray(how.equals("silent") ? List.of() : List.of("x0", "x1", "load_share"));
        if (names.length() > 0 && flag()) {
            names.put("depth").remove(between(0, 2));
        }
        JSONArray zones = new JSONArray(List.of("a", "b", "c").subList(0, between(1, 3)));
        return new JSONObject()
                .put("caps", caps())
                .put("classes", classes)
                .put("familyInfo", familyInfo)
                .put("rules", rules())
                .put("stats", new JSONObject().put("how", how).put("names", names))
                .put("membershipMode", oneOf("automatic", "subscribe"))
                .put("roundS", between(0.001, 0.02))
                .put("zones", zones)
                .put("instances", between(1, 3));
    }

    private JSONObject requestClass(int number) {
        double deadlineS = between(0.3, 6);
        return new JSONObject()
                .put("name", "c" + number)
                .put("deadlineS", deadlineS)
                .put("onTimeS", between(0.05 * deadlineS, deadlineS))
                .put("worth", between(0.5, 10))
                .put("lateWorth", between(0.0, 1.0))
                .put("repeat", oneOf("retryable", "dedup", "fragile"))
                .put("group", oneOf("cell", "zone", "all"))
                .put("repeatWindowS", between(0.3, 10.0));
    }

    private JSONObject caps() {
        return new JSONObject()
                .put("maxAttempts", between(1, 12))
                .put("probes", flag())
                .put("cancel", flag())
                .put("retryAfter", flag())
                .put("maxRetryAfterS", between(0.1, 3))
                .put("streamsPerConn", between(1, 16))
                .put("idleCloseS", between(2.0, 60))
                .put("connectTimeoutS", between(0.05, 1))
                .put("secondCopies", flag());
    }

    private JSONObject rules() {
        return new JSONObject()
                .put("answerSlackS", between(0.02, 0.1))
                .put("stopSendingWithinS", between(0.1, 3))
                .put("askWithinS", between(2.0, 10))
                .put("coldFrom", between(0.05, 1))
                .put("fallMultiple", between(1.5, 4))
                .put("fallS", between(0.5, 4))
                .put("warmAfterS", between(0.0, 30))
                .put("onlyDrainingBinds", flag());
    }

    /** A scenario with the given settings, and a fleet and faults that fit them. */
    RandomScenario scenario(JSONObject settings) {
        int zones = settings.getJSONArray("zones").length();
        JSONArray kinds = new JSONArray();
        double shares = 0;
        double work = 0;
        for (Object each : settings.getJSONArray("classes")) {
            double workMs = ((JSONObject) each).getDouble("onTimeS") * 1e3 / between(2.0, 20);
            int share = between(1, 10);
            kinds.put(new JSONObject().put("share", share).put("workMs", workMs));
            shares += share;
            work += share * workMs / 1e3;
        }
        int members = between(1, 3);
        int groups = between(1, 4);
        int cores = between(2, 8);
        double durationS = between(6.0, 14);
        double maxLoad = MAX_REQUESTS / durationS * work / shares / (zones * members * groups * cores);
        JSONObject fleet = new JSONObject()
                .put("zones", zones)
                .put("members", members)
                .put("poolersPerZone", between(1, 4))
                .put("groups", groups)
                .put("cores", cores)
                .put("load", Math.min(between(0.3, 1.4), maxLoad))
                .put("uneven", between(1.0, 8))
                .put("listLagS", between(0.05, 3))
                .put("durationS", durationS)
                .put("sessions", between(1, 100))
                .put("logDelayS", between(0.001, 0.05))
                .put("replay", between(1.05, 3))
                .put("queue", between(4, 100))
                .put("chance", true)
                .put("cancels", flag())
                .put("retries", flag())
                .put("kinds", kinds);
        JSONArray events = new JSONArray();
        for (int i = between(1, 6); i > 0; i--) {
            events.put(event(durationS));
        }
        return new RandomScenario(new JSONObject()
                .put("settings", settings)
                .put("fleet", fleet)
                .put("seed", seed)
                .put("events", events));
    }

    private JSONObject event(double durationS) {
        return new JSONObject()
                .put("kind", FAULTS.get(random.nextInt(FAULTS.size())))
                .put("atS", between(0.5, durationS))
                .put("lenS", between(0.2, 6))
                .put("part", between(0.05, 0.96))
                .put("from", between(0, 30))
                .put("size", between(0.05, 0.95));
    }
}
