package frostreel.wire;

import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Maps the settings object, as the bench and the platform both hand it over, to {@link Router.Settings}. */
public final class SettingsReader {
    private static final List<String> POSITION_AND_ROLE = List.of("x0", "x1");

    private SettingsReader() {}

    @SuppressWarnings("unchecked")
    public static Router.Settings read(long seed, MessageFields o) throws MalformedMessageException {
        MessageFields info = o.object("familyInfo");
        List<Object> access = info.list("freshness");
        List<Object> bounds = info.has("lagAllowedS") ? info.list("lagAllowedS") : List.of();
        List<Router.RequestClass> classes = new ArrayList<>();
        for (Object each : o.list("classes")) {
            MessageFields c = new MessageFields((Map<String, Object>) each);
            int n = classes.size();
            if (n >= access.size() || !(access.get(n) instanceof String)) {
                throw new MalformedMessageException("field 'freshness' has no word for class " + n);
            }
            MessageFields one = new MessageFields(Map.of("freshness", access.get(n)));
            double bound = n < bounds.size() && bounds.get(n) instanceof Number b ? b.doubleValue() : 0;
            long deadline = c.micros("deadlineS");
            if (deadline <= 0) {
                throw new MalformedMessageException("field 'deadlineS' of class " + n + " is not above 0");
            }
            classes.add(new Router.RequestClass(
                    c.has("name") ? c.text("name") : "class " + n,
                    Router.Access.values()[one.oneOf("freshness", "write", "fresh", "session", "bounded", "any")],
                    Router.Idempotency.values()[c.oneOf("repeat", "retryable", "dedup", "fragile")],
                    !c.has("group")
                            ? Router.DeduplicationScope.GROUP
                            : Router.DeduplicationScope.values()[c.oneOf("group", "all", "zone", "cell")],
                    c.micros("repeatWindowS", 0),
                    Math.round(bound * 1e6),
                    c.micros("onTimeS", deadline),
                    deadline,
                    c.number("worth", 1),
                    c.number("lateWorth", 0)));
        }
        MessageFields caps = o.object("caps");
        MessageFields rules = o.object("rules");
        Router.Limits limits = new Router.Limits(
                (int) caps.whole("maxAttempts", 1, 1 << 20, 1),
                probes(caps, o),
                caps.flag("cancel"),
                caps.flag("retryAfter"),
                caps.micros("maxRetryAfterS", 0),
                o.has("membershipMode") && o.oneOf("membershipMode", "automatic", "subscribe") == 1,
                rules.micros("askWithinS", 0),
                caps.micros("connectTimeoutS", 0),
                info.micros("holdsForS", 0),
                caps.micros("idleCloseS", 0),
                (int) caps.whole("streamsPerConn", 1, 1 << 20, 1));
        Router.Rules r = new Router.Rules(
                rules.micros("answerSlackS", 0),
                rules.micros("stopSendingWithinS", 0),
                rules.flag("onlyDrainingBinds"),
                rules.number("coldFrom", 1),
                rules.micros("warmAfterS", 0),
                rules.number("fallMultiple", 1),
                rules.micros("fallS", 0));
        return new Router.Settings(
                seed,
                (int) o.whole("instances", 1, 1 << 20, 0),
                (int) o.whole("zone", 0, 1 << 20, 0),
                o.micros("roundS", 1000),
                List.copyOf(classes),
                info.has("serverChecks")
                        ? Router.StalenessCheck.values()[info.oneOf("serverChecks", "silent", "refuse", "wait")]
                        : Router.StalenessCheck.SILENT,
                info.has("listRole")
                        ? Router.ListRole.values()[info.oneOf("listRole", "late", "start", "silent")]
                        : Router.ListRole.SILENT,
                info.has("writeMarks")
                        ? Router.SessionTracking.values()[info.oneOf("writeMarks", "carried", "remembered")]
                        : Router.SessionTracking.REMEMBERED,
                info.flag("positions"),
                limits,
                r);
    }

    /** What a probe tells of a member: where there are reports, what they hold. */
    private static Router.Probes probes(MessageFields caps, MessageFields o) throws MalformedMessageException {
        if (!caps.flag("probes")) {
            return Router.Probes.NONE;
        }
        MessageFields stats = o.has("stats") ? o.object("stats") : null;
        boolean told = stats != null
                && stats.has("names")
                && stats.list("names").containsAll(POSITION_AND_ROLE)
                && stats.oneOf("how", "silent", "piggyback", "pull") > 0;
        return told ? Router.Probes.REPORT : Router.Probes.LIVENESS;
    }
}
