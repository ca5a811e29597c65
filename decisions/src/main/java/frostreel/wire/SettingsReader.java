package frostreel.wire;

import static frostreel.wire.NamedValue.named;

import frostreel.routing.Limits;
import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Maps the settings object, whose format the simulator and the platform share, to {@link Router.Settings}. */
public final class SettingsReader {
    private static final int MAX_COUNT = 1 << 20;
    private static final long DEFAULT_TICK_US = 1000;
    private static final double MICROS_PER_SECOND = 1e6;
    /** Names of the report fields for the position and the role of a member. */
    private static final List<String> POSITION_AND_ROLE = List.of("x0", "x1");

    private static final List<NamedValue<Router.Access>> ACCESS = List.of(
            named("write", Router.Access.WRITE),
            named("fresh", Router.Access.FRESH),
            named("session", Router.Access.SESSION),
            named("bounded", Router.Access.BOUNDED),
            named("any", Router.Access.ANY));
    private static final List<NamedValue<Router.Idempotency>> IDEMPOTENCY = List.of(
            named("retryable", Router.Idempotency.IDEMPOTENT),
            named("dedup", Router.Idempotency.KEYED),
            named("fragile", Router.Idempotency.NON_IDEMPOTENT));
    private static final List<NamedValue<Router.DeduplicationScope>> DEDUPLICATION_SCOPE = List.of(
            named("all", Router.DeduplicationScope.ALL),
            named("zone", Router.DeduplicationScope.ZONE),
            named("cell", Router.DeduplicationScope.GROUP));
    private static final List<NamedValue<Router.StalenessCheck>> STALENESS_CHECK = List.of(
            named("silent", Router.StalenessCheck.SILENT),
            named("refuse", Router.StalenessCheck.REFUSE),
            named("wait", Router.StalenessCheck.WAIT));
    private static final List<NamedValue<Router.ListRole>> LIST_ROLE = List.of(
            named("late", Router.ListRole.LATE),
            named("start", Router.ListRole.START),
            named("silent", Router.ListRole.SILENT));
    private static final List<NamedValue<Router.SessionTracking>> SESSION_TRACKING = List.of(
            named("carried", Router.SessionTracking.CARRIED), named("remembered", Router.SessionTracking.REMEMBERED));
    private static final List<NamedValue<Boolean>> SUBSCRIBES =
            List.of(named("automatic", false), named("subscribe", true));
    private static final List<NamedValue<Boolean>> SENDS_REPORTS =
            List.of(named("silent", false), named("piggyback", true), named("pull", true));

    private SettingsReader() {}

    /**
     * Reads the settings of one router.
     *
     * @param seed the seed of its random choices
     * @param options the settings object
     * @throws MalformedMessageException naming the first field that is missing or out of range
     */
    public static Router.Settings read(long seed, MessageFields options) throws MalformedMessageException {
        MessageFields databaseSettings = options.object("familyInfo");
        List<Router.RequestClass> classes = requestClasses(options, databaseSettings);
        MessageFields capabilities = options.object("caps");
        MessageFields rules = options.object("rules");
        Limits limits = limits(options, databaseSettings, capabilities, rules);
        Router.Rules routingRules = rules(rules);
        return new Router.Settings(
                seed,
                (int) options.integer("instances", 1, MAX_COUNT, 0),
                (int) options.integer("zone", 0, MAX_COUNT, 0),
                options.microsFromSeconds("roundS", DEFAULT_TICK_US),
                classes,
                databaseSettings.oneOf("serverChecks", STALENESS_CHECK, Router.StalenessCheck.SILENT),
                databaseSettings.oneOf("listRole", LIST_ROLE, Router.ListRole.SILENT),
                databaseSettings.oneOf("writeMarks", SESSION_TRACKING, Router.SessionTracking.REMEMBERED),
                databaseSettings.isTrue("positions"),
                limits,
                routingRules);
    }

    /** The classes in order; the required freshness of each is in separate lists, at the same index. */
    @SuppressWarnings("unchecked") // The keys of JSON objects are strings.
    private static List<Router.RequestClass> requestClasses(MessageFields options, MessageFields databaseSettings)
            throws MalformedMessageException {
        List<Object> freshness = databaseSettings.list("freshness");
        List<Object> stalenessBoundsS = databaseSettings.listOrEmpty("lagAllowedS");
        List<Router.RequestClass> classes = new ArrayList<>();
        for (Object each : options.list("classes")) {
            int number = classes.size();
            MessageFields fields = new MessageFields((Map<String, Object>) each);
            String accessName = accessName(freshness, number);
            classes.add(requestClass(number, fields, accessName, stalenessBoundUs(stalenessBoundsS, number)));
        }
        return List.copyOf(classes);
    }

    private static String accessName(List<Object> freshness, int number) throws MalformedMessageException {
        if (number < freshness.size() && freshness.get(number) instanceof String name) {
            return name;
        }
        throw new MalformedMessageException("field 'freshness' has no entry for class " + number);
    }

    /** The greatest staleness that a bounded read accepts, 0 if the settings give no bound. */
    private static long stalenessBoundUs(List<Object> boundsS, int number) {
        return number < boundsS.size() && boundsS.get(number) instanceof Number seconds
                ? Math.round(seconds.doubleValue() * MICROS_PER_SECOND)
                : 0;
    }

    private static Router.RequestClass requestClass(
            int number, MessageFields fields, String accessName, long stalenessBoundUs)
            throws MalformedMessageException {
        long deadlineUs = fields.microsFromSeconds("deadlineS");
        if (deadlineUs <= 0) {
            throw new MalformedMessageException("field 'deadlineS' of class " + number + " is not greater than 0");
        }
        return new Router.RequestClass(
                fields.has("name") ? fields.text("name") : "class " + number,
                new MessageFields(Map.of("freshness", accessName)).oneOf("freshness", ACCESS),
                fields.oneOf("repeat", IDEMPOTENCY),
                fields.oneOf("group", DEDUPLICATION_SCOPE, Router.DeduplicationScope.GROUP),
                fields.microsFromSeconds("repeatWindowS", 0),
                stalenessBoundUs,
                fields.microsFromSeconds("onTimeS", deadlineUs),
                deadlineUs,
                fields.number("worth", 1),
                fields.number("lateWorth", 0));
    }

    private static Limits limits(
            MessageFields options, MessageFields databaseSettings, MessageFields capabilities, MessageFields rules)
            throws MalformedMessageException {
        return Limits.builder()
                .maxAttempts((int) capabilities.integer("maxAttempts", 1, MAX_COUNT, 1))
                .healthChecks(healthChecks(capabilities, options))
                .cancel(capabilities.isTrue("cancel"))
                .retryAfterAllowed(capabilities.isTrue("retryAfter"))
                .maxRetryAfterUs(capabilities.microsFromSeconds("maxRetryAfterS", 0))
                .subscribe(options.oneOf("membershipMode", SUBSCRIBES, false))
                .maxListAgeUs(rules.microsFromSeconds("askWithinS", 0))
                .connectTimeoutUs(capabilities.microsFromSeconds("connectTimeoutS", 0))
                .staleReadWaitUs(databaseSettings.microsFromSeconds("holdsForS", 0))
                .idleTimeoutUs(capabilities.microsFromSeconds("idleCloseS", 0))
                .requestsPerConnection((int) capabilities.integer("streamsPerConn", 1, MAX_COUNT, 1))
                .build();
    }

    private static Router.Rules rules(MessageFields rules) throws MalformedMessageException {
        return new Router.Rules(
                rules.microsFromSeconds("answerSlackS", 0),
                rules.microsFromSeconds("stopSendingWithinS", 0),
                rules.isTrue("onlyDrainingBinds"),
                rules.number("coldFrom", 1),
                rules.microsFromSeconds("warmAfterS", 0),
                rules.number("fallMultiple", 1),
                rules.microsFromSeconds("fallS", 0));
    }

    /** Whether health checks are permitted, and whether they report the position and role of a member. */
    private static Router.HealthChecks healthChecks(MessageFields capabilities, MessageFields options)
            throws MalformedMessageException {
        if (!capabilities.isTrue("probes")) {
            return Router.HealthChecks.NONE;
        }
        MessageFields reports = options.objectOrEmpty("stats");
        boolean reportsRole = reports.has("names")
                && reports.list("names").containsAll(POSITION_AND_ROLE)
                && reports.oneOf("how", SENDS_REPORTS);
        return reportsRole ? Router.HealthChecks.REPORT : Router.HealthChecks.LIVENESS;
    }
}
