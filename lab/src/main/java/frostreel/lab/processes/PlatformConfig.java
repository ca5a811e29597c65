package frostreel.lab.processes;

import frostreel.routing.Limits;
import frostreel.routing.Router;
import java.util.Locale;
import org.json.JSONArray;
import org.json.JSONObject;

/** Writes a pooler's configuration in the platform's format, the inverse of the program's reading of settings. */
final class PlatformConfig {
    private static final double US_PER_SECOND = 1e6;
    private static final String MACHINE_TYPE = "m";

    private PlatformConfig() {}

    /**
     * A configuration.
     *
     * @param zones how many zones there are; they are called z0, z1 and so on
     * @param known the endpoint list with which the pooler starts
     * @param socketLimit how many sockets it may have open
     */
    static JSONObject of(Router.Settings settings, int zones, JSONObject known, int socketLimit) {
        return new JSONObject()
                .put("seed", Long.toHexString(settings.seed()))
                .put("known", known)
                .put("limits", new JSONObject().put("sockets", socketLimit))
                .put("settings", settings(settings, zones));
    }

    private static JSONObject settings(Router.Settings settings, int zones) {
        JSONArray zoneNames = new JSONArray();
        for (int zone = 0; zone < zones; zone++) {
            zoneNames.put("z" + zone);
        }
        JSONArray classes = new JSONArray();
        settings.classes().forEach(requestClass -> classes.put(requestClass(requestClass)));
        return new JSONObject()
                .put("zones", zoneNames)
                .put("zone", settings.zone())
                .put("machineTypes", new JSONArray().put(MACHINE_TYPE))
                .put("instances", settings.instances())
                .put("roundS", seconds(settings.tickUs()))
                .put("classes", classes)
                .put("caps", limits(settings.limits()))
                .put("rules", rules(settings.rules()))
                .put("familyInfo", databaseFacts(settings));
    }

    private static JSONObject requestClass(Router.RequestClass requestClass) {
        return new JSONObject()
                .put("name", requestClass.name())
                .put("deadlineS", seconds(requestClass.deadlineUs()))
                .put("onTimeS", seconds(requestClass.latencyObjectiveUs()))
                .put("worth", requestClass.priorityWeight())
                .put("lateWorth", requestClass.lateWeight())
                .put("repeatWindowS", seconds(requestClass.deduplicationWindowUs()))
                .put("repeat", idempotency(requestClass.idempotency()))
                .put("group", scope(requestClass.deduplicationScope()));
    }

    private static String idempotency(Router.Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "retryable";
            case KEYED -> "dedup";
            case NON_IDEMPOTENT -> "fragile";
        };
    }

    private static String scope(Router.DeduplicationScope scope) {
        return switch (scope) {
            case ALL -> "all";
            case ZONE -> "zone";
            case GROUP -> "cell";
        };
    }

    private static JSONObject limits(Limits limits) {
        return new JSONObject()
                .put("maxAttempts", limits.maxAttempts())
                .put("probes", limits.healthChecks() != Router.HealthChecks.NONE)
                .put("cancel", limits.cancel())
                .put("retryAfter", limits.retryAfterAllowed())
                .put("maxRetryAfterS", seconds(limits.maxRetryAfterUs()))
                .put("connectTimeoutS", seconds(limits.connectTimeoutUs()))
                .put("idleCloseS", seconds(limits.idleTimeoutUs()))
                .put("streamsPerConn", limits.requestsPerConnection());
    }

    private static JSONObject rules(Router.Rules rules) {
        return new JSONObject()
                .put("answerSlackS", seconds(rules.responseSlackUs()))
                .put("stopSendingWithinS", seconds(rules.stopSendingUs()))
                .put("onlyDrainingBinds", rules.goneMembersUsable())
                .put("coldFrom", rules.initialCapacityShare())
                .put("warmAfterS", seconds(rules.warmUpUs()))
                .put("fallMultiple", rules.overloadMultiple())
                .put("fallS", seconds(rules.overloadWindowUs()));
    }

    /** The settings that apply to databases alone: freshness by class, positions and roles. */
    private static JSONObject databaseFacts(Router.Settings settings) {
        JSONArray freshness = new JSONArray();
        JSONArray bounds = new JSONArray();
        for (Router.RequestClass requestClass : settings.classes()) {
            freshness.put(lowerCase(requestClass.access()));
            bounds.put(seconds(requestClass.stalenessBoundUs()));
        }
        return new JSONObject()
                .put("freshness", freshness)
                .put("lagAllowedS", bounds)
                .put("holdsForS", seconds(settings.limits().staleReadWaitUs()))
                .put("positions", settings.responsesCarryPositions())
                .put("serverChecks", lowerCase(settings.stalenessCheck()))
                .put("listRole", lowerCase(settings.listRole()))
                .put("writeMarks", lowerCase(settings.sessionTracking()));
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static double seconds(long us) {
        return us / US_PER_SECOND;
    }
}
