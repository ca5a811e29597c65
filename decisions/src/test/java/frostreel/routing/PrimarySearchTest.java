package frostreel.routing;

import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** How a router finds the primary of a group: along the failover chain, by health checks and by a trial write. */
class PrimarySearchTest {
    @Test
    void aWriteGoesToTheListedPrimaryAndAMissMovesItOn() {
        Recorder r = trio();
        r.ask("w", UNSAFE);
        assertEquals("a", r.last("w").member());
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("b", r.last("w").member());
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("c", r.last("w").member());
    }

    @Test
    void aFullRoundOfMissesHoldsWritesAndAPrimarysAnswerReleasesThem() {
        Recorder r = trio();
        r.ask("w", UNSAFE);
        for (int i = 0; i < 3; i++) {
            r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        }
        r.ask("x", UNSAFE);
        assertEquals(3, r.count("w"));
        assertNull(r.last("x"));
        r.pass(1_000_000);
        assertTrue(r.probed.containsAll(List.of("a", "b", "c")), "the walk visits the whole chain");
        assertTrue(r.refused.isEmpty() && r.failed.isEmpty());
        r.probeOk("c", Role.PRIMARY, r.now - 50_000);
        assertEquals("c", r.last("w").member());
        assertEquals("c", r.last("x").member());
    }

    @ParameterizedTest
    @EnumSource(value = Router.Probes.class, names = "REPORT", mode = EnumSource.Mode.EXCLUDE)
    void withoutProbesThatTellRolesTheWalkSendsOneHeldWrite(Router.Probes probes) {
        Setup s = new Setup();
        s.probes = probes;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false), up("c", 1, false));
        r.ask("w", UNSAFE);
        for (int i = 0; i < 3; i++) {
            r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        }
        r.ask("x", UNSAFE);
        r.pass(100_000);
        assertTrue(r.probed.isEmpty());
        assertEquals(4, r.count("w") + r.count("x"), "one held write out, the rest wait");
    }
}
