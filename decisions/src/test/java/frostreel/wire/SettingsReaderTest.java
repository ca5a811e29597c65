package frostreel.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.routing.Limits;
import frostreel.routing.Router;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Mapping of the settings object's keys and names to the router's settings. */
class SettingsReaderTest {
    private static final long SEED = 5;

    /** Settings with the required keys only, and one class. */
    private static JSONObject minimalSettings() {
        return new JSONObject("""
                {"caps":{},"rules":{},"familyInfo":{"freshness":["any"]},
                "classes":[{"deadlineS":2,"repeat":"retryable"}]}""");
    }

    private static Router.Settings read(JSONObject settings) throws MalformedMessageException {
        return SettingsReader.read(SEED, new MessageFields(settings.toMap()));
    }

    private static Router.RequestClass firstClass(JSONObject settings) throws MalformedMessageException {
        return read(settings).classes().get(0);
    }

    @Test
    void appliesDefaultsForMissingKeys() throws MalformedMessageException {
        assertThat(read(minimalSettings()))
                .usingRecursiveComparison()
                .isEqualTo(new Router.Settings(
                        SEED,
                        0,
                        0,
                        1_000,
                        List.of(new Router.RequestClass(
                                "class 0",
                                Router.Access.ANY,
                                Router.Idempotency.IDEMPOTENT,
                                Router.DeduplicationScope.GROUP,
                                0,
                                0,
                                2_000_000,
                                2_000_000,
                                1,
                                0)),
                        Router.StalenessCheck.SILENT,
                        Router.ListRole.SILENT,
                        Router.SessionTracking.REMEMBERED,
                        false,
                        Limits.builder()
                                .maxAttempts(1)
                                .healthChecks(Router.HealthChecks.NONE)
                                .cancel(false)
                                .retryAfterAllowed(false)
                                .maxRetryAfterUs(0)
                                .subscribe(false)
                                .maxListAgeUs(0)
                                .connectTimeoutUs(0)
                                .staleReadWaitUs(0)
                                .idleTimeoutUs(0)
                                .requestsPerConnection(1)
                                .concurrentRequestLimit(Limits.UNLIMITED)
                                .build(),
                        new Router.Rules(0, 0, false, 1, 0, 1, 0)));
    }

    @ParameterizedTest
    @CsvSource({"write, WRITE", "fresh, FRESH", "session, SESSION", "bounded, BOUNDED", "any, ANY"})
    void readsTheAccessOfAClassFromFreshness(String name, Router.Access access) throws MalformedMessageException {
        JSONObject settings = minimalSettings();
        settings.getJSONObject("familyInfo").put("freshness", new JSONArray().put(name));
        assertThat(firstClass(settings).access()).isEqualTo(access);
    }

    @ParameterizedTest
    @CsvSource({"retryable, IDEMPOTENT", "dedup, KEYED", "fragile, NON_IDEMPOTENT"})
    void readsTheIdempotencyOfAClassFromRepeat(String name, Router.Idempotency idempotency)
            throws MalformedMessageException {
        JSONObject settings = minimalSettings();
        settings.getJSONArray("classes").getJSONObject(0).put("repeat", name);
        assertThat(firstClass(settings).idempotency()).isEqualTo(idempotency);
    }

    @ParameterizedTest
    @CsvSource({"all, ALL", "zone, ZONE", "cell, GROUP"})
    void readsTheDeduplicationScopeFromGroup(String name, Router.DeduplicationScope scope)
            throws MalformedMessageException {
        JSONObject settings = minimalSettings();
        settings.getJSONArray("classes").getJSONObject(0).put("group", name);
        assertThat(firstClass(settings).deduplicationScope()).isEqualTo(scope);
    }

    @ParameterizedTest
    @CsvSource({"silent, SILENT", "refuse, REFUSE", "wait, WAIT"})
    void readsTheStalenessCheckFromServerChecks(String name, Router.StalenessCheck check)
            throws MalformedMessageException {
        JSONObject settings = minimalSettings();
        settings.getJSONObject("familyInfo").put("serverChecks", name);
        assertThat(read(settings).stalenessCheck()).isEqualTo(check);
    }

    @ParameterizedTest
    @CsvSource({"late, LATE", "start, START", "silent, SILENT"})
    void readsTheListRole(String name, Router.ListRole role) throws MalformedMessageException {
        JSONObject settings = minimalSettings();
        settings.getJSONObject("familyInfo").put("listRole", name);
        assertThat(read(settings).listRole()).isEqualTo(role);
    }

    @ParameterizedTest
    @CsvSource({"carried, CARRIED", "remembered, REMEMBERED"})
    void readsTheSessionTrackingFromWriteMarks(String name, Router.SessionTracking tracking)
            throws MalformedMessageException {
        JSONObject settings = minimalSettings();
        settings.getJSONObject("familyInfo").put("writeMarks", name);
        assertThat(read(settings).sessionTracking()).isEqualTo(tracking);
    }

    @ParameterizedTest
    @CsvSource({
        "false, pull, x0 x1, NONE",
        "true, silent, x0 x1, LIVENESS",
        "true, piggyback, x0 x1, REPORT",
        "true, pull, x1 x0, REPORT",
        "true, pull, x0, LIVENESS"
    })
    void permitsRoleReportingHealthChecksWhereReportsHoldPositionAndRole(
            boolean permitted, String how, String names, Router.HealthChecks healthChecks)
            throws MalformedMessageException {
        JSONObject settings = minimalSettings();
        settings.getJSONObject("caps").put("probes", permitted);
        settings.put("stats", new JSONObject().put("how", how).put("names", new JSONArray(names.split(" "))));
        assertThat(read(settings).limits().healthChecks()).isEqualTo(healthChecks);
    }

    @ParameterizedTest
    @CsvSource({"automatic, false", "subscribe, true"})
    void readsWhetherToSubscribeFromMembershipMode(String name, boolean subscribes) throws MalformedMessageException {
        JSONObject settings = minimalSettings().put("membershipMode", name);
        assertThat(read(settings).limits().subscribe()).isEqualTo(subscribes);
    }

    @ParameterizedTest
    @CsvSource({"caps", "rules", "familyInfo", "classes"})
    void namesTheMissingPart(String key) {
        JSONObject settings = minimalSettings();
        settings.remove(key);
        assertThatThrownBy(() -> read(settings))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessage("field '" + key + "' is missing");
    }

    @Test
    void namesTheClassWithoutFreshnessOrDeadline() {
        JSONObject tooManyClasses = minimalSettings();
        tooManyClasses.getJSONArray("classes").put(new JSONObject());
        assertThatThrownBy(() -> read(tooManyClasses)).hasMessage("field 'freshness' has no entry for class 1");
        JSONObject noTime = minimalSettings();
        noTime.getJSONArray("classes").getJSONObject(0).put("deadlineS", 0);
        assertThatThrownBy(() -> read(noTime)).hasMessage("field 'deadlineS' of class 0 is not greater than 0");
    }

    @Test
    void namesTheFieldAndPermittedNamesForAnUnknownName() {
        JSONObject settings = minimalSettings();
        settings.getJSONObject("familyInfo").put("listRole", "early");
        assertThatThrownBy(() -> read(settings)).hasMessage("field 'listRole' is not one of late, start, silent");
    }
}
