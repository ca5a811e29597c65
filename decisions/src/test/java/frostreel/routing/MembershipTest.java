package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.FRESH;
import static frostreel.routing.Recorder.KEYED;
import static frostreel.routing.Recorder.SAFE_READ;
import static frostreel.routing.Recorder.SESSION;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static frostreel.routing.Recorder.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.State;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the endpoint list says of members: draining, gone, forgotten, listed later and not yet verified. */
class MembershipTest {
    @ParameterizedTest
    @ValueSource(ints = {SAFE_READ, SESSION, FRESH, KEYED, UNSAFE, ANY})
    void nothingGoesToADrainingOrGoneMember(int cls) {
        for (State state : List.of(State.DRAINING, State.GONE)) {
            Recorder r = trio();
            r.list(ListKind.CHANGES, with(up("a", 0, true), state, 0));
            r.probeOk("a", Role.PRIMARY, r.now);
            r.ask("q", cls);
            r.pass(3_000_000);
            assertEquals(0, r.countTo("a"));
        }
    }

    /** A chain that kept every replaced machine would grow with each deploy. */
    @Test
    void aMemberLongGoneIsForgottenAndItsGroupGoesOn() {
        Recorder r = trio();
        r.list(ListKind.FULL, up("b", 0, false), up("c", 1, false));
        r.pass(200_000_000);
        r.list(ListKind.FULL, up("b", 0, false), up("c", 1, false));
        r.router.onProbe(r.now, "a", false, 1_000, null);
        r.ask("w", UNSAFE);
        r.pass(50_000);
        r.end("w", Outcome.OK, Role.PRIMARY, 0);
        assertEquals(0, r.countTo("a"));
        assertEquals(1, r.sent.size());
    }

    @Test
    void aMemberMissingFromAFullListIsGone() {
        Recorder r = trio();
        r.list(ListKind.FULL, up("b", 0, false), up("c", 1, false));
        r.ask("w", UNSAFE);
        r.pass(500_000);
        assertEquals(0, r.countTo("a"));
    }

    @Test
    void whereOnlyDrainingBindsAGoneMemberMayStillServe() {
        Setup s = new Setup();
        s.onlyDraining = true;
        Recorder r = s.start(up("a", 0, true));
        r.list(ListKind.FULL);
        r.ask("w", UNSAFE);
        assertEquals("a", r.last("w").member());
        r.list(ListKind.CHANGES, with(up("a", 0, true), State.DRAINING, 0));
        r.ask("x", UNSAFE);
        assertNull(r.last("x"));
    }

    @Test
    void aFailedListChangesNothingAndIsAskedForAgain() {
        Setup s = new Setup();
        s.subscribe = true;
        Recorder r = s.start(up("a", 0, true));
        assertEquals(1, r.subscriptions);
        r.list(ListKind.FAILED);
        r.ask("w", UNSAFE);
        assertEquals("a", r.last("w").member());
        r.pass(1_000_000);
        assertEquals(2, r.subscriptions);
    }

    /** A list may name machines that are none of ours; each router would lose requests on finding out. */
    @Test
    void aMemberListedLaterGetsNothingBeforeItAnsweredAProbe() {
        Setup s = new Setup();
        s.onlyDraining = true;
        Recorder r = s.start(up("b", 0, true), up("c", 1, false));
        r.list(ListKind.CHANGES, up("a", 0, false));
        r.ask("q", ANY);
        r.ask("w", UNSAFE);
        assertEquals("c", r.last("q").member());
        assertEquals(List.of("a"), r.probed);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("c", r.last("w").member(), "a stranger is the last of the chain");
        r.router.onProbe(r.now, "a", false, 1_000, null);
        r.ask("q2", ANY);
        assertEquals(0, r.countTo("a"));
        r.probeOk("a", Role.REPLICA, r.now);
        r.ask("q3", ANY);
        assertEquals("a", r.last("q3").member());
    }

    /** Strangers may not stay for ever where only draining binds. */
    @Test
    void aStrangerThatLeavesTheListIsForgotten() {
        Setup s = new Setup();
        s.onlyDraining = true;
        Recorder r = s.start(up("b", 0, true));
        r.list(ListKind.FULL, up("a", 0, false), up("b", 0, true));
        r.list(ListKind.FULL, up("b", 0, true));
        r.list(ListKind.FULL, up("b", 0, true));
        r.ask("w", UNSAFE);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.pass(1_000_000);
        assertEquals(0, r.countTo("a"));
        assertFalse(r.probed.contains("a"));
    }
}
