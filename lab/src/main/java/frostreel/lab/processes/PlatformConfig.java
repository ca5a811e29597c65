package frostreel.lab.processes;

import frostreel.routing.Router;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;

/** Words a pooler's configuration as the platform does; the inverse of the program's reading of settings. */
final class PlatformConfig {
    private PlatformConfig() {}

    static JSONObject of(Router.Settings s, int zones, JSONObject known, int sockets) {
        JSONArray classes = new JSONArray();
        JSONArray freshness = new JSONArray();
        JSONArray bounds = new JSONArray();
        for (Router.RequestClass c : s.classes()) {
            classes.put(new JSONObject()
                    .put("name", c.name())
                    .put("deadlineS", seconds(c.deadlineUs()))
                    .put("onTimeS", seconds(c.latencyObjectiveUs()))
                    .put("worth", c.priorityWeight())
                    .put("lateWorth", c.lateWeight())
                    .put("repeatWindowS", seconds(c.windowUs()))
                    .put(
                            "repeat",
                            switch (c.idempotency()) {
                                case IDEMPOTENT -> "retryable";
                                case KEYED -> "dedup";
                                case NON_IDEMPOTENT -> "fragile";
                            })
                    .put(
                            "group",
                            switch (c.deduplicationScope()) {
                                case ALL -> "all";
                                case ZONE -> "zone";
                                case GROUP -> "cell";
                            }));
            freshness.put(c.access().name().toLowerCase(Locale.ROOT));
            bounds.put(seconds(c.boundUs()));
        }
        Router.Limits limits = s.limits();
        Router.Rules rules = s.rules();
        JSONArray names = new JSONArray();
        for (int z = 0; z < zones; z++) {
            names.put("z" + z);
        }
        JSONObject settings = new JSONObject()
                .put("zones", names)
                .put("zone", s.zone())
                .put("machineTypes", new JSONArray().put("m"))
                .put("instances", s.instances())
                .put("roundS", seconds(s.tickUs()))
                .put("classes", classes)
                .put(
                        "caps",
                        new JSONObject()
                                .put("maxAttempts", limits.maxAttempts())
                                .put("probes", limits.probes() != Router.Probes.NONE)
                                .put("cancel", limits.cancel())
                                .put("retryAfter", limits.retryAfterAllowed())
                                .put("maxRetryAfterS", seconds(limits.maxRetryAfterUs()))
                                .put("connectTimeoutS", seconds(limits.connectTimeoutUs()))
                                .put("idleCloseS", seconds(limits.idleCloseUs()))
                                .put("streamsPerConn", limits.requestsPerConnection()))
                .put(
                        "rules",
                        new JSONObject()
                                .put("answerSlackS", seconds(rules.answerSlackUs()))
                                .put("stopSendingWithinS", seconds(rules.stopSendingUs()))
                                .put("onlyDrainingBinds", rules.onlyDrainingBinds())
                                .put("coldFrom", rules.coldFrom())
                                .put("warmAfterS", seconds(rules.warmAfterUs()))
                                .put("fallMultiple", rules.fallMultiple())
                                .put("fallS", seconds(rules.fallUs())))
                .put(
                        "familyInfo",
                        new JSONObject()
                                .put("freshness", freshness)
                                .put("lagAllowedS", bounds)
                                .put("holdsForS", seconds(limits.holdsForUs()))
                                .put("positions", s.positions())
                                .put("serverChecks", s.stalenessCheck().name().toLowerCase(Locale.ROOT))
                                .put("listRole", s.listRole().name().toLowerCase(Locale.ROOT))
                                .put("writeMarks", s.sessionTracking().name().toLowerCase(Locale.ROOT)));
        return new JSONObject()
                .put("seed", Long.toHexString(s.seed()))
                .put("known", known)
                .put("limits", new JSONObject().put("sockets", sockets))
                .put("settings", settings);
    }

    private static double seconds(long us) {
        return us / 1e6;
    }
}
