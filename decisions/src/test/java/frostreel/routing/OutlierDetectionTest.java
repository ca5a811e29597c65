package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Routing of reads around members that fail or are slower than their peers. */
class OutlierDetectionTest {
    private static final long INTERVAL_US = 10_000;
    private final RouterHarness harness =
            new SettingsBuilder().start(primary("a", 0), replica("b", 0), replica("c", 0));

    /** Submits reads one after another and asserts that none had to wait. */
    private void submitReads(int count, Consumer<RouterHarness.Attempt> end) {
        assertEquals(count, harness.submitInTurn("read", count, ANY_READ, INTERVAL_US, end), "reads that did not wait");
    }

    private void assertSecondReplicaReceivesFarMoreThanTheFirst() {
        assertTrue(
                harness.attemptCountTo("b") < harness.attemptCountTo("c") / 4,
                harness.attemptCountTo("b") + " against " + harness.attemptCountTo("c"));
    }

    @Test
    void failingReplicaLosesItsReadsButIsTriedAgainLater() {
        submitReads(400, attempt -> {
            if (attempt.member().equals("b")) {
                harness.complete(attempt.requestId(), Outcome.ERROR, Role.REPLICA, 0);
            }
            harness.respondAsReplica(harness.lastAttempt(attempt.requestId()));
        });
        assertSecondReplicaReceivesFarMoreThanTheFirst();
        long before = harness.attemptCountTo("b");
        harness.advance(20_000_000);
        for (int i = 0; i < 20; i++) {
            harness.submit("later" + i, ANY_READ);
            harness.complete("later" + i, Outcome.OK, Role.REPLICA, harness.nowUs);
        }
        assertTrue(harness.attemptCountTo("b") > before);
    }

    @Test
    void slowReplicaReceivesLessThanItsPeer() {
        submitReads(
                300,
                attempt -> harness.respond(attempt, attempt.member().equals("b") ? 500_000 : 50_000, Role.REPLICA));
        assertSecondReplicaReceivesFarMoreThanTheFirst();
    }

    /** Members are compared with each other: when all are slow, no majority is ejected. */
    @Test
    void allMembersKeepServingWhenAllAreSlow() {
        submitReads(
                200,
                attempt ->
                        harness.respond(attempt, 900_000, attempt.member().equals("a") ? Role.PRIMARY : Role.REPLICA));
        assertTrue(harness.attemptCountTo("b") > 50 && harness.attemptCountTo("c") > 50);
    }
}
