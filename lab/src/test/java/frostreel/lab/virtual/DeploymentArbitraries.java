package frostreel.lab.virtual;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import org.json.JSONArray;
import org.json.JSONObject;

/** Generates the parts of deployments, within the ranges that the platform's page on settings allows. */
final class DeploymentArbitraries {
    private DeploymentArbitraries() {}

    /** A request class, together with its part in the load. */
    static Arbitrary<JSONObject> requestClass() {
        return new ObjectArbitrary()
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

    /** A fault: its kind, time, length, targets and size. */
    static Arbitrary<JSONObject> event() {
        return new ObjectArbitrary()
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

    /** The settings of all poolers, but for the classes of requests. */
    static Arbitrary<JSONObject> settings() {
        Arbitrary<JSONObject> caps = new ObjectArbitrary()
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
        Arbitrary<JSONObject> info = new ObjectArbitrary()
                .flag("positions")
                .oneOf("serverChecks", "silent", "refuse", "wait")
                .with("holdsForS", 0.0, 0.2)
                .oneOf("listRole", "late", "start", "silent")
                .oneOf("writeMarks", "carried", "remembered")
                .build();
        Arbitrary<JSONObject> rules = new ObjectArbitrary()
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
        return new ObjectArbitrary()
                .with("caps", caps)
                .with("familyInfo", info)
                .with("rules", rules)
                .with("stats", stats)
                .with("roundS", 0.001, 0.02)
                .build();
    }

    /** The numbers of zones, poolers and servers, and how servers and clients behave. */
    static Arbitrary<JSONObject> fleet() {
        return new ObjectArbitrary()
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
}
