package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.KEYED_WRITE;
import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.inState;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Conditions under which a router rejects requests on arrival, and under which it must not. */
class LoadSheddingTest {
    /**
     * Hundreds of routers overload a member even with a window of one attempt each; each router detects this from the
     * outcomes of its own requests.
     */
    @Test
    void routerWhoseRequestsAllEndLateShedsMostLoadAndRecovers() {
        RouterHarness harness = threeMembers();
        int rejectedAtOnce = 0;
        for (int i = 0; i < 60; i++) {
            harness.submit("read" + i, ANY_READ);
            rejectedAtOnce += harness.lastAttempt("read" + i) == null ? 1 : 0;
            harness.advance(200_000);
            if (harness.lastAttempt("read" + i) != null && !harness.rejected.contains("read" + i)) {
                harness.complete("read" + i, Outcome.TIMEOUT);
            }
        }
        assertTrue(rejectedAtOnce > 20, "rejected at once: " + rejectedAtOnce);
        for (int i = 0; i < 100; i++) {
            harness.submit("recovered" + i, ANY_READ);
            assertTrue(
                    i < 80 || harness.lastAttempt("recovered" + i) != null,
                    "request " + i + " is not sent after the recovery");
            harness.advance(200_000);
            if (harness.lastAttempt("recovered" + i) != null) {
                harness.complete("recovered" + i, Outcome.OK, Role.REPLICA, harness.nowUs);
            }
        }
    }

    /**
     * Overloaded replicas must not cause writes to be rejected on arrival while their primary has capacity: with many
     * poolers, a sixth of the value of all requests (see {@link Router.RequestClass}) was lost that way.
     */
    @Test
    void overloadedReplicaCausesNoWriteToBeRejected() {
        RouterHarness harness = threeMembers();
        int ended = 0;
        for (int i = 0; i < 60; i++) {
            for (int read = 0; read < 6; read++) {
                harness.submit("read" + i + read, ANY_READ);
            }
            harness.advance(200_000);
            for (; ended < harness.attempts.size(); ended++) { // Each completion may start another attempt.
                RouterHarness.Attempt read = harness.attempts.get(ended);
                if (read.requestId().startsWith("read")) {
                    harness.complete(read.requestId(), read.member().equals("a") ? Outcome.ERROR : Outcome.TIMEOUT);
                }
            }
            harness.submit("write" + i, NON_IDEMPOTENT_WRITE);
            assertEquals("a", harness.lastAttempt("write" + i).member(), "write " + i);
            harness.complete("write" + i, Outcome.OK, Role.PRIMARY, harness.nowUs);
        }
        assertTrue(harness.rejected.size() > 10, "reads rejected: " + harness.rejected.size());
    }

    /** Load is shed only under overload: failing members and lost responses must not cause rejections. */
    @Test
    void failureOfAThirdOfTheRequestsShedsNoLoad() {
        RouterHarness harness = threeMembers();
        for (int i = 0; i < 90; i++) {
            harness.submit("write" + i, NON_IDEMPOTENT_WRITE);
            assertNotNull(harness.lastAttempt("write" + i), "request " + i);
            harness.advance(100_000);
            harness.complete("write" + i, i % 3 == 2 ? Outcome.ERROR : Outcome.OK, Role.PRIMARY, harness.nowUs);
        }
    }

    /** Primaries that fail fast must not cause most requests of all classes to be rejected. */
    @Test
    void errorsAloneShedNoLoad() {
        RouterHarness harness = threeMembers();
        for (int i = 0; i < 60; i++) {
            harness.submit("write" + i, NON_IDEMPOTENT_WRITE);
            assertNotNull(harness.lastAttempt("write" + i), "request " + i);
            harness.complete("write" + i, Outcome.ERROR, Role.PRIMARY, 0);
            harness.advance(100_000);
        }
    }

    /**
     * Each waiting request occupies a slot that another client could use; the one that has waited longest has the least
     * to gain.
     */
    @Test
    void longestWaitingRequestIsRejectedWhenTooManyClientRequestsAreOpen() {
        int limitThatPermitsTwo = 6;
        RouterHarness harness = new SettingsBuilder()
                .concurrentRequestLimit(limitThatPermitsTwo)
                .start(primary("a", 0), replica("b", 0));
        harness.updateMembers(ListKind.CHANGES, inState(primary("a", 0), State.GONE));
        harness.updateMembers(ListKind.CHANGES, inState(replica("b", 0), State.GONE));
        harness.submit("first", KEYED_WRITE);
        harness.advance(1_000);
        harness.submit("second", KEYED_WRITE);
        assertTrue(harness.rejected.isEmpty());
        harness.advance(1_000);
        harness.submit("third", KEYED_WRITE);
        assertEquals(List.of("first"), harness.rejected);
    }
}
