package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.BOUNDED_READ;
import static frostreel.routing.RouterHarness.FRESH_READ;
import static frostreel.routing.RouterHarness.KEYED_WRITE;
import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.SESSION_READ;
import static frostreel.routing.RouterHarness.inState;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.State;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Members by their state in the endpoint list: draining, gone, removed, listed later and not yet verified. */
class MembershipTest {
    @ParameterizedTest
    @ValueSource(ints = {BOUNDED_READ, SESSION_READ, FRESH_READ, KEYED_WRITE, NON_IDEMPOTENT_WRITE, ANY_READ})
    void drainingAndGoneMembersReceiveNothing(int requestClass) {
        for (State state : List.of(State.DRAINING, State.GONE)) {
            RouterHarness harness = threeMembers();
            harness.updateMembers(ListKind.CHANGES, inState(primary("a", 0), state));
            harness.healthCheckSucceeded("a", Role.PRIMARY, harness.nowUs);
            harness.submit("request", requestClass);
            harness.advance(3_000_000);
            assertEquals(0, harness.attemptCountTo("a"));
        }
    }

    /** Guards against a failover chain that grows with each replaced machine. */
    @Test
    void memberGoneForLongIsRemovedAndItsGroupKeepsServing() {
        RouterHarness harness = threeMembers();
        harness.updateMembers(ListKind.FULL, replica("b", 0), replica("c", 1));
        harness.advance(200_000_000);
        harness.updateMembers(ListKind.FULL, replica("b", 0), replica("c", 1));
        harness.healthCheckFailed("a");
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.advance(50_000);
        harness.complete("write", Outcome.OK, Role.PRIMARY, 0);
        assertEquals(0, harness.attemptCountTo("a"));
        assertEquals(1, harness.attempts.size());
    }

    @Test
    void memberMissingFromAFullListReceivesNothing() {
        RouterHarness harness = threeMembers();
        harness.updateMembers(ListKind.FULL, replica("b", 0), replica("c", 1));
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.advance(500_000);
        assertEquals(0, harness.attemptCountTo("a"));
    }

    @Test
    void goneMemberMayStillServeIfGoneMembersAreUsable() {
        RouterHarness harness = new SettingsBuilder().goneMembersUsable(true).start(primary("a", 0));
        harness.updateMembers(ListKind.FULL);
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        assertEquals("a", harness.lastAttempt("write").member());
        harness.updateMembers(ListKind.CHANGES, inState(primary("a", 0), State.DRAINING));
        harness.submit("second write", NON_IDEMPOTENT_WRITE);
        assertNull(harness.lastAttempt("second write"));
    }

    @Test
    void failedListUpdateChangesNothingAndTheSubscriptionIsRepeated() {
        RouterHarness harness = new SettingsBuilder().subscribe(true).start(primary("a", 0));
        assertEquals(1, harness.subscriptions);
        harness.updateMembers(ListKind.FAILED);
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        assertEquals("a", harness.lastAttempt("write").member());
        harness.advance(1_000_000);
        assertEquals(2, harness.subscriptions);
    }

    /**
     * The endpoint list may name machines that do not belong to the deployment; requests sent to them would be lost at
     * each router.
     */
    @Test
    void memberListedLaterReceivesNothingBeforeItPassedAHealthCheck() {
        RouterHarness harness = new SettingsBuilder().goneMembersUsable(true).start(primary("b", 0), replica("c", 1));
        harness.updateMembers(ListKind.CHANGES, replica("a", 0));
        harness.submit("read", ANY_READ);
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        assertEquals("c", harness.lastAttempt("read").member());
        assertEquals(List.of("a"), harness.healthChecked);
        harness.complete("write", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertEquals("c", harness.lastAttempt("write").member(), "an unverified member is the last of the chain");
        harness.healthCheckFailed("a");
        harness.submit("second read", ANY_READ);
        assertEquals(0, harness.attemptCountTo("a"));
        harness.healthCheckSucceeded("a", Role.REPLICA, harness.nowUs);
        harness.submit("third read", ANY_READ);
        assertEquals("a", harness.lastAttempt("third read").member());
    }

    /** Unverified members must be removed even if gone members are usable. */
    @Test
    void unverifiedMemberThatLeavesTheListIsRemoved() {
        RouterHarness harness = new SettingsBuilder().goneMembersUsable(true).start(primary("b", 0));
        harness.updateMembers(ListKind.FULL, replica("a", 0), primary("b", 0));
        harness.updateMembers(ListKind.FULL, primary("b", 0));
        harness.updateMembers(ListKind.FULL, primary("b", 0));
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.complete("write", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        harness.advance(1_000_000);
        assertEquals(0, harness.attemptCountTo("a"));
        assertFalse(harness.healthChecked.contains("a"));
    }
}
