package frostreel.routing;

import static frostreel.routing.RouterHarness.BOUNDED_READ;
import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.SESSION_READ;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.SessionTracking;
import frostreel.routing.Router.StalenessCheck;
import org.junit.jupiter.api.Test;

/** Freshness that a read requires of the member that it is sent to. */
class FreshnessTest {
    /** Starts a router that remembers the writes of sessions, with a primary a and a replica b. */
    private static RouterHarness rememberingSessions() {
        return new SettingsBuilder()
                .sessionTracking(SessionTracking.REMEMBERED)
                .start(primary("a", 0), replica("b", 0));
    }

    @Test
    void boundedReadNeedsAPositionWithinItsStalenessBound() {
        RouterHarness harness = threeMembers();
        harness.healthCheckSucceeded("b", Role.REPLICA, harness.nowUs - 900_000);
        harness.healthCheckSucceeded("c", Role.REPLICA, harness.nowUs - 700_000);
        harness.submit("read", BOUNDED_READ);
        assertEquals("c", harness.lastAttempt("read").member());
    }

    @Test
    void sessionReadNeedsItsLastCommitAndWithoutOneMayUseAnyReplica() {
        RouterHarness harness = threeMembers();
        harness.healthCheckSucceeded("b", Role.REPLICA, harness.nowUs - 400_000);
        harness.healthCheckSucceeded("c", Role.REPLICA, harness.nowUs - 400_000);
        harness.submit("none", SESSION_READ, 0, 1_000_000);
        assertNotEquals("a", harness.lastAttempt("none").member());
        harness.submit("old", SESSION_READ, 500_000, 1_000_000);
        assertNotEquals("a", harness.lastAttempt("old").member());
        harness.submit("new", SESSION_READ, 100_000, 1_000_000);
        assertEquals("a", harness.lastAttempt("new").member());
    }

    @Test
    void readsOfASessionMustSeeItsRememberedCommits() {
        RouterHarness harness = rememberingSessions();
        harness.healthCheckSucceeded("b", Role.REPLICA, harness.nowUs - 100_000);
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.complete("write", Outcome.OK, Role.PRIMARY, harness.nowUs - 5_000);
        harness.advance(10_000);
        harness.submit("read", SESSION_READ);
        harness.advance(700_000);
        assertEquals(0, harness.attemptCountTo("b"));
        harness.healthCheckSucceeded("b", Role.REPLICA, harness.nowUs - 50_000);
        harness.submit("second read", SESSION_READ);
        assertEquals("b", harness.lastAttempt("second read").member());
    }

    /** The server may have responded and the response may be lost; its content also counts as known. */
    @Test
    void readsOfASessionMustSeeItsWritesWithUnknownOutcome() {
        RouterHarness harness = rememberingSessions();
        harness.healthCheckSucceeded("b", Role.REPLICA, harness.nowUs - 10_000);
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.advance(150_000);
        harness.submit("during write", SESSION_READ);
        harness.complete("write", Outcome.RESET);
        harness.submit("after", SESSION_READ);
        harness.advance(150_000);
        assertEquals(0, harness.attemptCountTo("b"));
        harness.healthCheckSucceeded("b", Role.REPLICA, harness.nowUs - 50_000);
        harness.submit("caught up", SESSION_READ);
        assertEquals("b", harness.lastAttempt("caught up").member());
    }

    /** While an attempt waits for its connection, further commits may become known that its response must reflect. */
    @Test
    void attemptThatWaitsForAConnectionMayBeginOnlyWhileItsMemberIsFreshEnough() {
        RouterHarness harness = rememberingSessions();
        harness.healthCheckSucceeded("b", Role.REPLICA, harness.nowUs - 100_000);
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.submit("read", SESSION_READ);
        assertEquals("b", harness.lastAttempt("read").member());
        assertTrue(harness.mayStillBegin("read"));
        harness.complete("write", Outcome.OK, Role.PRIMARY, harness.nowUs - 5_000);
        assertFalse(harness.mayStillBegin("read"));
        harness.complete("read", Outcome.NOT_SENT);
        assertEquals("a", harness.lastAttempt("read").member());
    }

    /** A session whose commit was dropped must not read data that is older than its write. */
    @Test
    void readsMustSeeCommitsOfDroppedSessions() {
        RouterHarness harness = rememberingSessions();
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        long commitUs = harness.nowUs;
        harness.complete("write", Outcome.OK, Role.PRIMARY, commitUs);
        harness.healthCheckSucceeded("b", Role.REPLICA, commitUs - 1_000_000);
        harness.advance(200_000_000);
        harness.submitForSession(43, "other", NON_IDEMPOTENT_WRITE, 2_000_000);
        harness.complete("other", Outcome.OK, Role.PRIMARY, harness.nowUs);
        harness.advance(10_000);
        harness.submit("read", SESSION_READ);
        harness.advance(700_000);
        assertEquals(0, harness.attemptCountTo("b"));
    }

    @Test
    void demotedPrimaryServesNoReadsWithoutProofOfFreshness() {
        RouterHarness harness = threeMembers();
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.rejectAsReplicas("write", 3);
        harness.submit("read", BOUNDED_READ);
        harness.advance(300_000);
        assertNull(harness.lastAttempt("read"), "no member is proven fresh enough");
    }

    @Test
    void replicaThatChecksStalenessItselfMayBeTriedWithoutProof() {
        RouterHarness harness =
                new SettingsBuilder().stalenessCheck(StalenessCheck.WAIT).start(primary("a", 0), replica("b", 0));
        harness.submit("read", BOUNDED_READ);
        assertEquals("b", harness.lastAttempt("read").member());
        harness.complete("read", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("a", harness.lastAttempt("read").member());
    }
}
