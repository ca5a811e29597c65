package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.KEYED;
import static frostreel.routing.Recorder.KEYED_ANYWHERE;
import static frostreel.routing.Recorder.SAFE_READ;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What holds for every request, through the router's interface alone. */
class ChainRouterTest {
    @Test
    void everyRequestGetsExactlyOneAnswerInTime() {
        Recorder r = new Setup().start();
        for (int cls = 0; cls <= KEYED_ANYWHERE; cls++) {
            r.ask("q" + cls, cls, 0, 900_000);
        }
        r.pass(900_000);
        assertEquals(7, r.refused.stream().distinct().count());
        assertEquals(7, r.refused.size() + r.failed.size());
        assertTrue(r.sent.isEmpty());
    }

    /** Summed over hundreds of routers, probing and waking for nothing once outweighed the requests. */
    @Test
    void aRouterWithNothingWaitingNeitherProbesNorWakes() {
        Recorder r = trio();
        r.ask("q", ANY);
        r.pass(20_000);
        r.end("q", Outcome.OK, Role.REPLICA, r.now);
        r.pass(5_000_000);
        assertTrue(r.probed.isEmpty(), "probed " + r.probed);
        assertEquals(0, r.timersSet);
    }

    @Test
    void aClientThatLeftIsForgottenAndItsAttemptCalledOff() {
        Recorder r = trio();
        r.ask("w", KEYED);
        r.router.onClientDisconnected(r.now, "w");
        r.router.onClientDisconnected(r.now, "never seen");
        assertEquals(List.of("w/0"), r.cancelled);
        r.end("w", Outcome.CANCELLED);
        r.pass(5_000_000);
        assertEquals(1, r.count("w"));
        assertTrue(r.failed.isEmpty() && r.refused.isEmpty());
    }

    @Test
    void equalEventsGiveEqualActions() {
        List<List<Recorder.Sent>> runs = List.of(rotation(3), rotation(3));
        assertEquals(runs.get(0), runs.get(1));
    }

    private static List<Recorder.Sent> rotation(long seed) {
        Setup s = new Setup();
        s.seed = seed;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false), up("c", 0, false), up("d", 0, false));
        for (int i = 0; i < 30; i++) {
            r.ask("q" + i, ANY);
            r.pass(7_000);
            r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
        }
        return r.sent;
    }

    @Test
    void anOpenRequestKeepsItsClassAndAttemptsAndALaterOneHasTheNew() {
        Setup setup = new Setup();
        Recorder r = setup.start(up("a", 0, true), up("b", 0, false), up("c", 1, false));
        r.ask("open", UNSAFE);
        setup.maxAttempts = 1;
        List<Router.RequestClass> classes =
                new java.util.ArrayList<>(setup.settings().classes());
        Router.RequestClass old = classes.get(SAFE_READ);
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
        r.router.onSettings(setup.settings().with(classes, 1));
        r.end("open", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("b", r.last("open").member());
        r.end("open", Outcome.WRONG_ROLE_OR_STALE, Role.PRIMARY, 0);
        r.ask("later", UNSAFE);
        r.end("later", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals(List.of("later"), r.refused);
        r.ask("of the new class", classes.size() - 1);
        r.end("of the new class", Outcome.RESET);
        assertEquals(List.of("of the new class"), r.failed);
    }
}
