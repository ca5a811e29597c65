package frostreel.routing;

import static frostreel.routing.Recorder.KEYED;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import org.junit.jupiter.api.Test;

/** Which evidence of a role decides who is taken for the primary, and when that is doubted. */
class PrimaryTrackingTest {
    @Test
    void anAnswerAsPrimaryFixesTheHeadAndALateListDoesNotPullItBack() {
        Recorder r = trio();
        r.ask("w", KEYED);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.end("w", Outcome.OK, Role.PRIMARY, 0);
        r.pass(20_000);
        r.list(ListKind.FULL, up("a", 0, true), up("b", 0, false), up("c", 1, false));
        r.ask("x", KEYED);
        assertEquals("b", r.last("x").member());
    }

    @Test
    void anOldReportDoesNotPullTheHeadBack() {
        Recorder r = trio();
        r.ask("w", KEYED);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.end("w", Outcome.OK, Role.PRIMARY, 0);
        r.probeOk("a", Role.PRIMARY, r.now - 300_000);
        r.ask("x", KEYED);
        assertEquals("b", r.last("x").member());
    }

    @Test
    void aHungPrimaryGetsNoNewUnsafeWrites() {
        Recorder r = trio();
        for (int i = 0; i < 20; i++) {
            r.ask("warm" + i, UNSAFE);
            r.pass(50_000);
            r.end("warm" + i, Outcome.OK, Role.PRIMARY, r.now);
        }
        r.ask("stuck", UNSAFE);
        r.pass(1_500_000);
        r.ask("next", UNSAFE);
        r.probeOk("a", Role.PRIMARY, r.now);
        r.pass(100_000);
        assertNull(r.last("next"), "its probe says primary, its silence says otherwise");
        r.probeOk("b", Role.PRIMARY, r.now);
        assertEquals("b", r.last("next").member());
    }
}
