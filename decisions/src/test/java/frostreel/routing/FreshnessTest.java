package frostreel.routing;

import static frostreel.routing.Recorder.SAFE_READ;
import static frostreel.routing.Recorder.SESSION;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.SessionTracking;
import frostreel.routing.Router.StalenessCheck;
import org.junit.jupiter.api.Test;

/** Which members are fresh enough for a read. */
class FreshnessTest {
    @Test
    void aBoundedReadNeedsAPositionInsideItsBound() {
        Recorder r = trio();
        r.probeOk("b", Role.REPLICA, r.now - 900_000);
        r.probeOk("c", Role.REPLICA, r.now - 700_000);
        r.ask("q", SAFE_READ);
        assertEquals("c", r.last("q").member());
    }

    @Test
    void aSessionReadNeedsItsCommitAndOneWithoutWritesTakesAnyReplica() {
        Recorder r = trio();
        r.probeOk("b", Role.REPLICA, r.now - 400_000);
        r.probeOk("c", Role.REPLICA, r.now - 400_000);
        r.ask("none", SESSION, 0, 1_000_000);
        assertNotEquals("a", r.last("none").member());
        r.ask("old", SESSION, 500_000, 1_000_000);
        assertNotEquals("a", r.last("old").member());
        r.ask("new", SESSION, 100_000, 1_000_000);
        assertEquals("a", r.last("new").member());
    }

    @Test
    void rememberedCommitsBindTheSessionsReads() {
        Setup s = new Setup();
        s.sessionTracking = SessionTracking.REMEMBERED;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.probeOk("b", Role.REPLICA, r.now - 100_000);
        r.ask("w", UNSAFE);
        r.end("w", Outcome.OK, Role.PRIMARY, r.now - 5_000);
        r.pass(10_000);
        r.ask("q", SESSION);
        r.pass(700_000);
        assertEquals(0, r.countTo("b"));
        r.probeOk("b", Role.REPLICA, r.now - 50_000);
        r.ask("q2", SESSION);
        assertEquals("b", r.last("q2").member());
    }

    /** Its server may have answered, and the answer be lost: what it told counts as known all the same. */
    @Test
    void aWriteInDoubtBindsTheSessionsReads() {
        Setup s = new Setup();
        s.sessionTracking = SessionTracking.REMEMBERED;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.probeOk("b", Role.REPLICA, r.now - 10_000);
        r.ask("w", UNSAFE);
        r.pass(150_000);
        r.ask("while out", SESSION);
        r.end("w", Outcome.RESET);
        r.ask("after", SESSION);
        r.pass(150_000);
        assertEquals(0, r.countTo("b"));
        r.probeOk("b", Role.REPLICA, r.now - 50_000);
        r.ask("caught up", SESSION);
        assertEquals("b", r.last("caught up").member());
    }

    /** While an attempt waits for its connection, more may have become known that its answer must hold. */
    @Test
    void whatWaitsForItsConnectionStandsOnlyWhileItsMemberIsNewEnough() {
        Setup s = new Setup();
        s.sessionTracking = SessionTracking.REMEMBERED;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.probeOk("b", Role.REPLICA, r.now - 100_000);
        r.ask("w", UNSAFE);
        r.ask("q", SESSION);
        assertEquals("b", r.last("q").member());
        assertEquals(true, r.router.mayStillBegin(r.now, "q"));
        r.end("w", Outcome.OK, Role.PRIMARY, r.now - 5_000);
        assertEquals(false, r.router.mayStillBegin(r.now, "q"));
        r.end("q", Outcome.NOT_SENT);
        assertEquals("a", r.last("q").member());
    }

    /** Forgotten commits may not free a session to read what is older than its write. */
    @Test
    void commitsThatAreForgottenStillBind() {
        Setup s = new Setup();
        s.sessionTracking = SessionTracking.REMEMBERED;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.ask("w", UNSAFE);
        long commit = r.now;
        r.end("w", Outcome.OK, Role.PRIMARY, commit);
        r.probeOk("b", Role.REPLICA, commit - 1_000_000);
        r.pass(200_000_000);
        r.router.onRequest(r.now, new Router.Request("other", UNSAFE, 43, 1, r.now + 2_000_000, 0, false));
        r.end("other", Outcome.OK, Role.PRIMARY, r.now);
        r.pass(10_000);
        r.ask("q", SESSION);
        r.pass(700_000);
        assertEquals(0, r.countTo("b"));
    }

    @Test
    void aDemotedPrimaryIsNoLongerTrustedWithReads() {
        Recorder r = trio();
        r.ask("w", UNSAFE);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.end("w", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        r.ask("q", SAFE_READ);
        r.pass(300_000);
        assertNull(r.last("q"), "no member is proven fresh enough");
    }

    @Test
    void aCheckingReplicaMayBeTriedUnproven() {
        Setup s = new Setup();
        s.stalenessCheck = StalenessCheck.WAIT;
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.ask("q", SAFE_READ);
        assertEquals("b", r.last("q").member());
        r.end("q", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("a", r.last("q").member());
    }
}
