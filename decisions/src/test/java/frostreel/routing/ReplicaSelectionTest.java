package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.SAFE_READ;
import static frostreel.routing.Recorder.SESSION;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.ListRole;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which member a read is sent to, and which are health-checked for it. */
class ReplicaSelectionTest {
    @Test
    void nearReplicasComeFirstAndThePrimaryIsSpared() {
        Recorder r = trio();
        r.ask("q", ANY);
        assertEquals("b", r.last("q").member());
    }

    @Test
    void withNoRoleListedReadsAskBeforeTheyTrustAnyone() {
        Setup s = new Setup();
        s.listRole = ListRole.SILENT;
        Recorder r = s.start(up("a", 0, false), up("b", 0, false));
        r.ask("q", SAFE_READ);
        assertNull(r.last("q"));
        assertFalse(r.probed.isEmpty());
        r.probeOk(r.probed.get(0), Role.REPLICA, r.now - 100_000);
        assertEquals(r.probed.get(0), r.last("q").member());
    }

    /** Probing every replica for one read costs a fleet of thin routers more than the reads. */
    @Test
    void anUnprovenReadAsksOneReplicaAtATimeAndThePrimaryLast() {
        Recorder r = trio();
        r.ask("q", SAFE_READ);
        assertEquals(List.of("b"), r.probed);
        r.probeOk("b", Role.REPLICA, r.now - 2_000_000);
        assertEquals(List.of("b", "c"), r.probed);
        r.probeOk("c", Role.REPLICA, r.now - 200_000);
        assertEquals("c", r.last("q").member());
    }

    /** Hundreds of routers that each rotate over all members fill their connection tables. */
    @Test
    void aThinRouterKeepsToTheReplicaItIsConnectedTo() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        for (int i = 0; i < 8; i++) {
            r.ask("q" + i, ANY);
            r.pass(50_000);
            r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
            r.pass(4_000_000);
        }
        assertTrue(r.countTo("b") == 8 || r.countTo("c") == 8);
    }

    /** A replica that holds a long query may apply nothing: spread over all, they would leave none new. */
    @Test
    void longQueriesKeepToTheReplicaThatIsFurthestBehind() {
        Recorder r = trio();
        for (int i = 0; i < 15; i++) {
            r.ask("teach" + i, ANY);
            Recorder.Sent s = r.last("teach" + i);
            r.router.onOutcome(
                    r.now,
                    s.request(),
                    s.attempt(),
                    s.member(),
                    Outcome.OK,
                    true,
                    3_000_000,
                    Role.REPLICA,
                    r.now - 1_000,
                    null);
        }
        for (int i = 0; i < 40; i++) {
            r.ask("short" + i, SESSION);
            r.end("short" + i, Outcome.OK, Role.REPLICA, r.now - 1_000);
        }
        r.pass(3_000_000);
        r.probeOk("b", Role.REPLICA, r.now - 5_000);
        long fresh = r.countTo("b");
        for (int i = 0; r.last("wait") == null && i < 50; i++) {
            r.ask("long" + i, ANY);
            if (r.count("long" + i) == 0) {
                r.ask("wait", ANY);
                break;
            }
            assertEquals("c", r.last("long" + i).member());
        }
        assertEquals(0, r.count("wait"));
        assertEquals(fresh, r.countTo("b"));
        r.pass(200_000);
        assertEquals(1, r.count("wait"), "it waits for a part of its aim only");
    }
}
