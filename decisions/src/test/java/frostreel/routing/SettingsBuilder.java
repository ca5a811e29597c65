package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.HealthChecks;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.ListRole;
import frostreel.routing.Router.Member;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.SessionTracking;
import frostreel.routing.Router.StalenessCheck;
import java.util.List;

/** Builder of the settings of a router under test; {@link RouterHarness} has the indices of its classes. */
final class SettingsBuilder {
    private static final long TICK_US = 5_000;
    private static final double LATE_WEIGHT_OF_WRITES = 0.5;
    private StalenessCheck stalenessCheck = StalenessCheck.SILENT;
    private ListRole listRole = ListRole.LATE;
    private SessionTracking sessionTracking = SessionTracking.CARRIED;
    private HealthChecks healthChecks = HealthChecks.REPORT;
    private boolean subscribe;
    private boolean goneMembersUsable;
    private int maxAttempts = 8;
    private long seed = 7;
    private int instances;
    private int concurrentRequestLimit;

    SettingsBuilder stalenessCheck(StalenessCheck value) {
        stalenessCheck = value;
        return this;
    }

    SettingsBuilder listRole(ListRole value) {
        listRole = value;
        return this;
    }

    SettingsBuilder sessionTracking(SessionTracking value) {
        sessionTracking = value;
        return this;
    }

    SettingsBuilder healthChecks(HealthChecks value) {
        healthChecks = value;
        return this;
    }

    SettingsBuilder subscribe(boolean value) {
        subscribe = value;
        return this;
    }

    SettingsBuilder goneMembersUsable(boolean value) {
        goneMembersUsable = value;
        return this;
    }

    SettingsBuilder maxAttempts(int value) {
        maxAttempts = value;
        return this;
    }

    SettingsBuilder seed(long value) {
        seed = value;
        return this;
    }

    SettingsBuilder instances(int value) {
        instances = value;
        return this;
    }

    SettingsBuilder concurrentRequestLimit(int value) {
        concurrentRequestLimit = value;
        return this;
    }

    /** Starts a router with these settings and this first endpoint list. */
    RouterHarness start(Member... members) {
        RouterHarness harness = new RouterHarness(build());
        harness.updateMembers(ListKind.CACHED, members);
        return harness;
    }

    Router.Settings build() {
        return new Router.Settings(
                seed,
                instances,
                0,
                TICK_US,
                classes(),
                stalenessCheck,
                listRole,
                sessionTracking,
                true,
                limits(),
                new Router.Rules(20_000, 500_000, goneMembersUsable, 0.2, 18_000_000, 3, 2_000_000));
    }

    private Limits limits() {
        return Limits.builder()
                .maxAttempts(maxAttempts)
                .healthChecks(healthChecks)
                .cancel(true)
                .retryAfterAllowed(true)
                .maxRetryAfterUs(2_000_000)
                .subscribe(subscribe)
                .maxListAgeUs(10_000_000)
                .connectTimeoutUs(250_000)
                .staleReadWaitUs(50_000)
                .idleTimeoutUs(30_000_000)
                .concurrentRequestLimit(concurrentRequestLimit)
                .build();
    }

    private static List<RequestClass> classes() {
        return List.of(
                read("bounded", Access.BOUNDED),
                read("session", Access.SESSION),
                read("fresh", Access.FRESH),
                write("keyed", Idempotency.KEYED, DeduplicationScope.GROUP),
                write("non-idempotent", Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP),
                read("any", Access.ANY),
                write("keyed in all zones", Idempotency.KEYED, DeduplicationScope.ALL),
                write("keyed in one zone", Idempotency.KEYED, DeduplicationScope.ZONE));
    }

    private static RequestClass read(String name, Access access) {
        return requestClass(name, access, Idempotency.IDEMPOTENT, DeduplicationScope.GROUP, 0);
    }

    private static RequestClass write(String name, Idempotency idempotency, DeduplicationScope scope) {
        return requestClass(name, Access.WRITE, idempotency, scope, LATE_WEIGHT_OF_WRITES);
    }

    private static RequestClass requestClass(
            String name, Access access, Idempotency idempotency, DeduplicationScope scope, double lateWeight) {
        return new RequestClass(
                name, access, idempotency, scope, 3_000_000, 800_000, 600_000, 5_000_000, 2, lateWeight);
    }
}
