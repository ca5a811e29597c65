package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.BOUNDED_READ;
import static frostreel.routing.RouterHarness.KEYED_WRITE;
import static frostreel.routing.RouterHarness.KEYED_WRITE_ALL_ZONES;
import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Properties of all requests, tested through the router's public interface. */
class ChainRouterTest {
    @Test
    void everyRequestGetsExactlyOneFinalResponseBeforeItsDeadline() {
        RouterHarness harness = new SettingsBuilder().start();
        for (int requestClass = 0; requestClass <= KEYED_WRITE_ALL_ZONES; requestClass++) {
            harness.submit("request" + requestClass, requestClass, 0, 900_000);
        }
        harness.advance(900_000);
        assertEquals(7, harness.rejected.stream().distinct().count());
        assertEquals(7, harness.rejected.size() + harness.failed.size());
        assertTrue(harness.attempts.isEmpty());
    }

    /** Guards against idle health checks and timers, which for hundreds of routers outweigh the requests. */
    @Test
    void idleRouterNeitherChecksHealthNorSetsTimers() {
        RouterHarness harness = threeMembers();
        harness.submit("read", ANY_READ);
        harness.advance(20_000);
        harness.complete("read", Outcome.OK, Role.REPLICA, harness.nowUs);
        harness.advance(5_000_000);
        assertTrue(harness.healthChecked.isEmpty(), "health-checked " + harness.healthChecked);
        assertEquals(0, harness.timersSet);
    }

    @Test
    void requestOfADisconnectedClientIsRemovedAndItsAttemptCancelled() {
        RouterHarness harness = threeMembers();
        harness.submit("write", KEYED_WRITE);
        harness.clientDisconnected("write");
        harness.clientDisconnected("never seen");
        assertEquals(List.of("write/0"), harness.cancelled);
        harness.complete("write", Outcome.CANCELLED);
        harness.advance(5_000_000);
        assertEquals(1, harness.attemptCount("write"));
        assertTrue(harness.failed.isEmpty() && harness.rejected.isEmpty());
    }

    @Test
    void equalEventsGiveEqualActions() {
        List<List<RouterHarness.Attempt>> runs = List.of(runReads(3), runReads(3));
        assertEquals(runs.get(0), runs.get(1));
    }

    private static List<RouterHarness.Attempt> runReads(long seed) {
        RouterHarness harness = new SettingsBuilder()
                .seed(seed)
                .start(primary("a", 0), replica("b", 0), replica("c", 0), replica("d", 0));
        for (int i = 0; i < 30; i++) {
            harness.submit("read" + i, ANY_READ);
            harness.advance(7_000);
            harness.complete("read" + i, Outcome.OK, Role.REPLICA, harness.nowUs);
        }
        return harness.attempts;
    }

    @Test
    void openRequestKeepsItsClassAndAttemptLimitWhenSettingsChange() {
        SettingsBuilder settings = new SettingsBuilder();
        RouterHarness harness = settings.start(primary("a", 0), replica("b", 0), replica("c", 1));
        harness.submit("open", NON_IDEMPOTENT_WRITE);
        settings.maxAttempts(1);
        List<Router.RequestClass> classes = new ArrayList<>(settings.build().classes());
        Router.RequestClass old = classes.get(BOUNDED_READ);
        classes.add(new Router.RequestClass(
                "new",
                Router.Access.WRITE,
                Router.Idempotency.NON_IDEMPOTENT,
                old.deduplicationScope(),
                0,
                0,
                old.latencyObjectiveUs(),
                old.deadlineUs(),
                1,
                0));
        harness.router.onSettings(settings.build().with(classes, 1));
        harness.complete("open", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("b", harness.lastAttempt("open").member());
        harness.complete("open", Outcome.WRONG_ROLE_OR_STALE, Role.PRIMARY, 0);
        harness.submit("later", NON_IDEMPOTENT_WRITE);
        harness.complete("later", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals(List.of("later"), harness.rejected);
        harness.submit("of the new class", classes.size() - 1);
        harness.complete("of the new class", Outcome.RESET);
        assertEquals(List.of("of the new class"), harness.failed);
    }
}
