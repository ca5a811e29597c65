package frostreel.lab.virtual;

import static frostreel.lab.virtual.SimulationAssertions.assertRulesKept;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Limits;
import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The deployments in service, with their settings as the simulator hands them over. */
class KnownSitesTest {
    private static final int SEEDS = 20;

    static JSONObject settings(String site) throws IOException {
        try (InputStream in = KnownSitesTest.class.getResourceAsStream("/sites/" + site + ".json")) {
            return new JSONObject(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    /** A scenario with a site's settings, and a fleet and faults of the test's choice. */
    static RandomScenario scenario(JSONObject settings, int poolers, double load, long seed, JSONObject... events) {
        JSONArray kinds = new JSONArray("""
                [{"share":42,"workMs":57},{"share":34,"workMs":57},{"share":2,"workMs":570},
                {"share":22,"workMs":57}]""");
        JSONObject fleet = new JSONObject("""
                {"zones":1,"members":4,"groups":3,"cores":5,"uneven":8,"listLagS":0.28,"durationS":34,
                "sessions":40,"logDelayS":0.009,"replay":2,"queue":60,"cancels":false,"retries":true}""")
                .put("poolersPerZone", poolers)
                .put("load", load)
                .put("kinds", kinds);
        return new RandomScenario(new JSONObject()
                .put("settings", settings.put("instances", poolers))
                .put("fleet", fleet)
                .put("seed", seed)
                .put("events", new JSONArray(List.of(events))));
    }

    static JSONObject event(String kind, double atS, double lenS, double part, double size) {
        return new JSONObject()
                .put("kind", kind)
                .put("atS", atS)
                .put("lenS", lenS)
                .put("part", part)
                .put("from", 0)
                .put("size", size);
    }

    @Test
    void readsTheSettingsAsThePageStatesThem() throws IOException, MalformedMessageException {
        Router.Settings kamloops =
                scenario(settings("billing-kamloops"), 1, 0.3, 1).settings();
        assertThat(kamloops.classes())
                .extracting(Router.RequestClass::access)
                .containsExactly(Router.Access.BOUNDED, Router.Access.ANY, Router.Access.ANY, Router.Access.WRITE);
        assertThat(kamloops.stalenessCheck()).isEqualTo(Router.StalenessCheck.WAIT);
        assertThat(kamloops.sessionTracking()).isEqualTo(Router.SessionTracking.CARRIED);
        assertThat(kamloops.rules())
                .isEqualTo(new Router.Rules(20_000, 1_000_000, false, 0.22, 15_000_000, 3, 2_000_000));
        Router.Settings bsas = scenario(settings("bsas-main"), 2, 0.3, 1).settings();
        assertThat(bsas.classes())
                .extracting(Router.RequestClass::access)
                .containsExactly(Router.Access.SESSION, Router.Access.ANY, Router.Access.ANY, Router.Access.WRITE);
        assertThat(bsas.classes().get(3))
                .isEqualTo(new Router.RequestClass(
                        "order-write",
                        Router.Access.WRITE,
                        Router.Idempotency.KEYED,
                        Router.DeduplicationScope.GROUP,
                        3_000_000,
                        0,
                        500_000,
                        3_000_000,
                        6,
                        0.7));
        assertThat(bsas.stalenessCheck()).isEqualTo(Router.StalenessCheck.SILENT);
        assertThat(bsas.listRole()).isEqualTo(Router.ListRole.START);
        assertThat(bsas.sessionTracking()).isEqualTo(Router.SessionTracking.REMEMBERED);
        assertThat(bsas.responsesCarryPositions()).isTrue();
        assertThat(bsas.limits())
                .isEqualTo(Limits.builder()
                        .maxAttempts(10)
                        .healthChecks(Router.HealthChecks.LIVENESS)
                        .cancel(true)
                        .retryAfterAllowed(false)
                        .maxRetryAfterUs(500_000)
                        .subscribe(false)
                        .maxListAgeUs(10_000_000)
                        .connectTimeoutUs(250_000)
                        .staleReadWaitUs(0)
                        .idleTimeoutUs(15_000_000)
                        .requestsPerConnection(8)
                        .concurrentRequestLimit(Limits.UNLIMITED)
                        .build());
        assertThat(bsas.rules()).isEqualTo(new Router.Rules(20_000, 250_000, false, 0.16, 15_000_000, 2, 1_000_000));
    }

    @ParameterizedTest
    @ValueSource(strings = {"billing-kamloops", "bsas-main"})
    void rulesHoldThroughTheFaultsOfEverySite(String site) throws IOException, MalformedMessageException {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Simulation simulation = scenario(
                            settings(site),
                            2,
                            0.6,
                            seed,
                            event("roll", 3, 12, 0.96, 0.3),
                            event("lag", 4, 12, 0.9, 0.1),
                            event("losePrimary", 8, 4, 1, 0.5),
                            event("losses", 16, 8, 0.3, 0.3),
                            event("errors", 18, 9, 0.18, 0.7),
                            event("stalls", 20, 10, 0.4, 0.5),
                            event("drain", 25, 2, 0.1, 0.5))
                    .play();
            assertRulesKept("seed " + seed, simulation);
        }
    }

    /** Poolers restart in turn without any state over cold servers, while each sees few and uneven requests. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 100})
    void poolersRestartedInTurnOverloadNoColdServer(int poolers) throws IOException, MalformedMessageException {
        for (long seed = 1; seed <= SEEDS; seed++) {
            double lenS = 10 + 17.0 * seed / SEEDS;
            Simulation simulation = scenario(
                            settings("bsas-main"),
                            poolers,
                            0.15,
                            seed,
                            event("restart", 2, 4, 0.5, 0.5),
                            event("roll", 2.5, lenS, 0.96, 0.7),
                            event("restart", 12, 2, 0.9, 0.5))
                    .play();
            assertThat(simulation.overloadedServers())
                    .as("seed %d, largest multiple %.2f", seed, simulation.largestMultiple())
                    .isZero();
            assertRulesKept("seed " + seed, simulation);
        }
    }
}
