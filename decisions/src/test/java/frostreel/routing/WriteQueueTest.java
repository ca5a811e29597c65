package frostreel.routing;

import static frostreel.routing.RouterHarness.KEYED_WRITE;
import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.inState;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Queueing of writes while no primary is known. */
class WriteQueueTest {
    @Test
    void queuedWritesAreReleasedToTheNewPrimaryGradually() {
        RouterHarness harness = threeMembers();
        harness.submit("write0", NON_IDEMPOTENT_WRITE);
        harness.rejectAsReplicas("write0", 3);
        for (int i = 1; i < 50; i++) {
            harness.submit("write" + i, NON_IDEMPOTENT_WRITE);
        }
        long before = harness.attemptCountTo("b");
        harness.advance(50_000);
        harness.healthCheckSucceeded("b", Role.PRIMARY, harness.nowUs);
        long sentAtOnce = harness.attemptCountTo("b") - before;
        assertTrue(sentAtOnce >= 1 && sentAtOnce <= 8, "sent at once: " + sentAtOnce);
    }

    @Test
    void writeThatFindsNoPrimaryIsRejectedBeforeItsDeadline() {
        RouterHarness harness = threeMembers();
        harness.submit("write", NON_IDEMPOTENT_WRITE, 0, 2_000_000);
        harness.rejectAsReplicas("write", 3);
        harness.advance(2_000_000);
        assertEquals(List.of("write"), harness.rejected);
        assertTrue(harness.retryAftersUs.get(0) > 0);
        assertTrue(harness.failed.isEmpty());
    }

    @Test
    void unsentWriteIsRejectedBeforeHalfItsTimeWhileNoPrimaryIsKnown() {
        RouterHarness harness = new SettingsBuilder().start(primary("a", 0), replica("b", 0));
        harness.updateMembers(ListKind.FULL, inState(primary("a", 0), State.DRAINING), replica("b", 0));
        harness.submit("first", KEYED_WRITE, 0, 2_000_000);
        harness.complete("first", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        harness.submit("write", KEYED_WRITE, 0, 2_000_000);
        harness.advance(800_000);
        assertEquals(List.of(), harness.rejected);
        harness.advance(150_000);
        assertEquals(List.of("write"), harness.rejected);
        harness.advance(1_100_000);
        assertEquals(List.of("write", "first"), harness.rejected);
    }
}
