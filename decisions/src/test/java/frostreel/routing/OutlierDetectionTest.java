package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import org.junit.jupiter.api.Test;

/** Members that fail or are slower than their peers. */
class OutlierDetectionTest {
    @Test
    void failingReplicaLosesItsReadsButIsTriedAgainLater() {
        RouterHarness harness = new SettingsBuilder().start(primary("a", 0), replica("b", 0), replica("c", 0));
        for (int i = 0; i < 400; i++) {
            harness.submit("read" + i, ANY_READ);
            harness.advance(10_000);
            RouterHarness.Attempt attempt = harness.lastAttempt("read" + i);
            if (attempt.member().equals("b")) {
                harness.complete("read" + i, Outcome.ERROR, Role.REPLICA, 0);
            }
            harness.complete("read" + i, Outcome.OK, Role.REPLICA, harness.nowUs);
        }
        assertTrue(
                harness.attemptCountTo("b") < harness.attemptCountTo("c") / 4,
                harness.attemptCountTo("b") + " against " + harness.attemptCountTo("c"));
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
        RouterHarness harness = new SettingsBuilder().start(primary("a", 0), replica("b", 0), replica("c", 0));
        for (int i = 0; i < 300; i++) {
            harness.submit("read" + i, ANY_READ);
            harness.advance(10_000);
            RouterHarness.Attempt attempt = harness.lastAttempt("read" + i);
            harness.answer(attempt, attempt.member().equals("b") ? 500_000 : 50_000, Role.REPLICA);
        }
        assertTrue(
                harness.attemptCountTo("b") < harness.attemptCountTo("c") / 4,
                harness.attemptCountTo("b") + " against " + harness.attemptCountTo("c"));
    }

    /** Health is relative: when all members are slow, no majority is ejected. */
    @Test
    void allMembersKeepServingWhenAllAreSlow() {
        RouterHarness harness = new SettingsBuilder().start(primary("a", 0), replica("b", 0), replica("c", 0));
        for (int i = 0; i < 200; i++) {
            harness.submit("read" + i, ANY_READ);
            harness.advance(10_000);
            RouterHarness.Attempt attempt = harness.lastAttempt("read" + i);
            assertNotNull(attempt, "request " + i + " waits although nothing is in flight");
            harness.answer(attempt, 900_000, attempt.member().equals("a") ? Role.PRIMARY : Role.REPLICA);
        }
        assertTrue(harness.attemptCountTo("b") > 50 && harness.attemptCountTo("c") > 50);
    }
}
