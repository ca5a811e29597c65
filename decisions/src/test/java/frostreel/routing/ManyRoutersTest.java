package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.BOUNDED_READ;
import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.startedAt;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Member;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Report;
import frostreel.routing.Router.Role;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Combined effect of many routers on the same members; each router knows only its own observations. */
class ManyRoutersTest {
    private static final int INSTANCES = 14;
    /** Latency that a router without history expects of a request: a fifth of the latency objective. */
    private static final long USUAL_DURATION_US = 120_000;

    private static List<RouterHarness> startRouters(Member... members) {
        List<RouterHarness> routers = new ArrayList<>();
        for (int seed = 0; seed < INSTANCES; seed++) {
            routers.add(new SettingsBuilder().seed(seed).instances(INSTANCES).start(members));
        }
        return routers;
    }

    private static long sentTo(List<RouterHarness> routers, String member) {
        return routers.stream()
                .mapToLong(harness -> harness.attemptCountTo(member))
                .sum();
    }

    /**
     * Routers without history must not take their share to be zero: a group of replaced members would stay idle until
     * they are warm.
     */
    @Test
    void routersWithoutHistoryTogetherSendAStartingGroupItsFirstWork() {
        Member restarted = startedAt(primary("a", 0), 99_900_000);
        List<RouterHarness> routers = startRouters(restarted, startedAt(replica("b", 0), 99_900_000));
        for (RouterHarness harness : routers) {
            for (int i = 0; i < 4; i++) {
                harness.submit("write" + i, NON_IDEMPOTENT_WRITE);
                harness.advance(500_000);
            }
        }
        // A starting member has at least a fifth of a core of half the speed, which serves three requests of 60 ms in
        // two seconds. Three times as many overload it.
        assertThat(sentTo(routers, "a")).isBetween(1L, 8L);
    }

    /** A starting member must not be limited to a fifth of the current load of warm members, whatever its capacity. */
    @Test
    void startingMemberReceivesWhatItsCapacityAllowsNotAShareOfTheCurrentLoad() {
        RouterHarness busy = serveReads(1);
        RouterHarness calm = serveReads(0.1);
        assertThat(busy.attemptCountTo("c")).isPositive().isLessThan(busy.attemptCountTo("b") / 2);
        assertThat(calm.attemptCountTo("c")).isGreaterThan(2 * busy.attemptCountTo("c"));
    }

    private static RouterHarness serveReads(double utilization) {
        RouterHarness harness = new SettingsBuilder()
                .instances(INSTANCES)
                .start(primary("a", 0), replica("b", 0), startedAt(replica("c", 0), 99_900_000));
        harness.submitInTurn("read", 400, ANY_READ, 10_000, attempt -> {
            Report report = new Report(harness.nowUs, Role.REPLICA, utilization, Double.NaN, Double.NaN);
            harness.complete(attempt, Outcome.OK, USUAL_DURATION_US, Role.REPLICA, harness.nowUs, report);
        });
        return harness;
    }

    private static long healthChecks(List<RouterHarness> routers) {
        return routers.stream()
                .mapToLong(harness -> harness.healthChecked.size())
                .sum();
    }

    /** Ends the health checks from number {@code since} on: each member reports that it is a replica with this lag. */
    private static void completeHealthChecks(RouterHarness harness, int since, long lagUs) {
        for (int i = since; i < harness.healthChecked.size(); i++) {
            harness.healthCheckSucceeded(harness.healthChecked.get(i), Role.REPLICA, harness.nowUs - lagUs);
        }
    }

    /**
     * Each waiting read would otherwise trigger four health checks of each replica a second, from each of fourteen
     * routers.
     */
    @Test
    void replicaFarBehindIsNotCheckedAgainBeforeItCanHaveCaughtUp() {
        List<RouterHarness> routers = startRouters(primary("a", 0), replica("b", 0));
        for (RouterHarness harness : routers) {
            for (int i = 0; i < 30; i++) {
                int before = harness.healthChecked.size();
                harness.submit("read" + i, BOUNDED_READ);
                harness.advance(100_000);
                harness.complete("read" + i, Outcome.OK, Role.PRIMARY, harness.nowUs); // No replica is fresh enough.
                completeHealthChecks(harness, before, 5_000_000);
            }
        }
        // The replica is 4.2 s over the bound and needs at least 2.9 s to catch up: one check at first, one in three
        // seconds.
        assertThat(healthChecks(routers)).isBetween((long) INSTANCES, 2L * INSTANCES);
    }

    @Test
    void rejectionThatReportsThePositionTriggersNoHealthCheck() {
        RouterHarness harness = new SettingsBuilder()
                .stalenessCheck(Router.StalenessCheck.WAIT)
                .start(primary("a", 0), replica("b", 0));
        harness.submit("read", BOUNDED_READ);
        assertThat(harness.lastAttempt("read").member()).isEqualTo("b");
        harness.complete("read", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, harness.nowUs - 3_000_000);
        assertThat(harness.healthChecked).isEmpty();
    }

    /**
     * A full round of health checks each half second for a single queued write costs more than it gains with fourteen
     * routers.
     */
    @Test
    void primarySearchRateFollowsTheNumberOfQueuedWrites() {
        assertThat(healthChecksDuringSearch(1)).isBetween(3L * INSTANCES, 5L * INSTANCES);
        assertThat(healthChecksDuringSearch(6)).isBetween(10L * INSTANCES, 13L * INSTANCES);
    }

    /**
     * Returns the number of health checks of three members by all routers in two seconds without a primary, with this
     * number of queued writes at each router.
     */
    private static long healthChecksDuringSearch(int writes) {
        List<RouterHarness> routers = startRouters(primary("a", 0), replica("b", 0), replica("c", 0));
        for (RouterHarness harness : routers) {
            for (int i = 0; i < writes; i++) {
                harness.submit("write" + i, NON_IDEMPOTENT_WRITE);
            }
            // Each rejection adds an attempt at the next member until the round is complete.
            for (int i = 0; i < harness.attempts.size(); i++) {
                harness.complete(harness.attempts.get(i), Outcome.WRONG_ROLE_OR_STALE, 1_000, Role.REPLICA, 0, null);
            }
            for (int i = 0; i < 20; i++) {
                int before = harness.healthChecked.size();
                harness.advance(100_000);
                completeHealthChecks(harness, before, 10_000);
            }
        }
        return healthChecks(routers);
    }
}
