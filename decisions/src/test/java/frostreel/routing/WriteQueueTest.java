package frostreel.routing;

import static frostreel.routing.Recorder.KEYED;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static frostreel.routing.Recorder.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Writes that wait while no primary is known. */
class WriteQueueTest {
    @Test
    void releaseDoesNotFloodTheNewPrimary() {
        Recorder r = trio();
        r.ask("w0", UNSAFE);
        for (int i = 0; i < 3; i++) {
            r.end("w0", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        }
        for (int i = 1; i < 50; i++) {
            r.ask("w" + i, UNSAFE);
        }
        long before = r.countTo("b");
        r.pass(50_000);
        r.probeOk("b", Role.PRIMARY, r.now);
        long first = r.countTo("b") - before;
        assertTrue(first >= 1 && first <= 8, "let out at once: " + first);
    }

    @Test
    void missesAloneEndInARefusalBeforeTheDeadline() {
        Recorder r = trio();
        r.ask("w", UNSAFE, 0, 2_000_000);
        for (int i = 0; i < 3; i++) {
            r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        }
        r.pass(2_000_000);
        assertEquals(List.of("w"), r.refused);
        assertTrue(r.advice.get(0) > 0);
        assertTrue(r.failed.isEmpty());
    }

    @Test
    void aWriteThatNothingWasSentForIsRefusedBeforeHalfOfItsTimeWhileNoPrimaryIsKnown() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        r.list(ListKind.FULL, with(up("a", 0, true), State.DRAINING, 0), up("b", 0, false));
        r.ask("first", KEYED, 0, 2_000_000);
        r.end("first", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.ask("w", KEYED, 0, 2_000_000);
        r.pass(800_000);
        assertEquals(List.of(), r.refused);
        r.pass(150_000);
        assertEquals(List.of("w"), r.refused);
        r.pass(1_100_000);
        assertEquals(List.of("w", "first"), r.refused);
    }
}
