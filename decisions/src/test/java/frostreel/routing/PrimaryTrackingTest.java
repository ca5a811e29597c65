package frostreel.routing;

import static frostreel.routing.RouterHarness.FRESH_READ;
import static frostreel.routing.RouterHarness.KEYED_WRITE;
import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import org.junit.jupiter.api.Test;

/** Routing of writes by the evidence for a primary, and with a primary that does not respond. */
class PrimaryTrackingTest {
    /** Starts with three members of which a is listed as primary but b has served a write as primary. */
    private static RouterHarness bConfirmedAsPrimary() {
        RouterHarness harness = threeMembers();
        harness.submit("write", KEYED_WRITE);
        harness.complete("write", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        harness.complete("write", Outcome.OK, Role.PRIMARY, 0);
        return harness;
    }

    private static void assertNextWriteGoesToB(RouterHarness harness) {
        harness.submit("next write", KEYED_WRITE);
        assertEquals("b", harness.lastAttempt("next write").member());
    }

    @Test
    void primaryConfirmedByAResponseIsNotReplacedByALateEndpointList() {
        RouterHarness harness = bConfirmedAsPrimary();
        harness.advance(20_000);
        harness.updateMembers(ListKind.FULL, primary("a", 0), replica("b", 0), replica("c", 1));
        assertNextWriteGoesToB(harness);
    }

    @Test
    void primaryConfirmedByAResponseIsNotReplacedByAnOldReport() {
        RouterHarness harness = bConfirmedAsPrimary();
        harness.healthCheckSucceeded("a", Role.PRIMARY, harness.nowUs - 300_000);
        assertNextWriteGoesToB(harness);
    }

    @Test
    void unresponsivePrimaryReceivesNoNewNonIdempotentWrites() {
        RouterHarness harness = threeMembers();
        for (int i = 0; i < 20; i++) {
            harness.submit("warm" + i, NON_IDEMPOTENT_WRITE);
            harness.advance(50_000);
            harness.complete("warm" + i, Outcome.OK, Role.PRIMARY, harness.nowUs);
        }
        harness.submit("stuck", NON_IDEMPOTENT_WRITE);
        harness.advance(1_500_000);
        harness.submit("next", NON_IDEMPOTENT_WRITE);
        harness.healthCheckSucceeded("a", Role.PRIMARY, harness.nowUs);
        harness.advance(100_000);
        assertNull(harness.lastAttempt("next"), "reports that it is primary, but does not respond");
        harness.healthCheckSucceeded("b", Role.PRIMARY, harness.nowUs);
        assertEquals("b", harness.lastAttempt("next").member());
    }

    /** Guards against a former primary that answers long values only, and is never found out. */
    @Test
    void roleAtTheEndOfALongResponseCountsLikeThatOfAShortOne() {
        RouterHarness harness = threeMembers();
        harness.submit("long", FRESH_READ);
        assertEquals("a", harness.lastAttempt("long").member());
        harness.complete("long", Outcome.OK);
        harness.router.onLongResponseEnded(harness.nowUs, "a", Role.REPLICA, 0);
        harness.submit("next", FRESH_READ);
        assertNull(harness.lastAttempt("next"), "no member is known as primary");
        harness.router.onLongResponseEnded(harness.nowUs, "b", Role.PRIMARY, 0);
        assertEquals("b", harness.lastAttempt("next").member());
    }
}
