package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** How many attempts may be in flight to a member at once, and how long a rejecting one is left alone. */
class ConcurrencyLimitTest {
    /** A member that rejects or cannot be reached answers at once and would attract a storm of attempts. */
    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"REJECTED", "CONNECT_FAILED"})
    void rejectingOrUnreachableMemberIsPaused(Outcome outcome) {
        RouterHarness harness = new SettingsBuilder().start(primary("a", 0), replica("b", 0));
        for (int i = 0; i < 100; i++) {
            harness.submit("read" + i, ANY_READ);
            for (int attempts = 0; attempts < 2 && harness.lastAttempt("read" + i) != null; attempts++) {
                boolean fromPrimary = harness.lastAttempt("read" + i).member().equals("a");
                harness.complete("read" + i, outcome, fromPrimary ? Role.PRIMARY : Role.REPLICA, 0);
            }
            harness.advance(1_000);
        }
        assertTrue(harness.attempts.size() < 30, "attempts: " + harness.attempts.size());
    }

    /**
     * On some machines service time alone took a quarter of the latency objective; windows narrowed for that left
     * them idle.
     */
    @Test
    void memberWhoseServiceTimeIsAThirdOfTheObjectiveReceivesConcurrentRequests() {
        RouterHarness harness = new SettingsBuilder().start(replica("b", 0));
        harness.submitInTurn("read", 200, ANY_READ, 200_000, attempt -> harness.answer(attempt, 200_000, Role.REPLICA));
        assertFourAreSentAtOnce(harness, ANY_READ);
    }

    /** Answers may be corrupted, from any member equally: sending less shortens no queue then. */
    @Test
    void errorsThatArriveInTimeDoNotShrinkTheWindow() {
        RouterHarness harness = new SettingsBuilder().start(primary("a", 0));
        int attempted = harness.submitInTurn(
                "write",
                30,
                NON_IDEMPOTENT_WRITE,
                200_000,
                attempt -> harness.complete(attempt.requestId(), Outcome.ERROR, Role.PRIMARY, 0));
        assertEquals(30, attempted);
        assertFourAreSentAtOnce(harness, NON_IDEMPOTENT_WRITE);
    }

    private static void assertFourAreSentAtOnce(RouterHarness harness, int requestClass) {
        for (int i = 0; i < 4; i++) {
            harness.submit("at once " + i, requestClass);
            assertNotNull(harness.lastAttempt("at once " + i), "of four at once, number " + i + " waits");
        }
    }

    /** Requests queued at a member beyond their use delay others, where no window bounds the queue. */
    @Test
    void readWithoutLateWeightTimesOutAtItsObjectiveOnceTheWindowIsAtItsMinimum() {
        RouterHarness harness = new SettingsBuilder().start(replica("a", 0));
        harness.submit("read", ANY_READ);
        harness.advance(700_000);
        harness.complete("read", Outcome.TIMEOUT);
        harness.advance(60_000_000);
        harness.submit("second read", ANY_READ);
        assertTrue(harness.lastAttempt("second read").timeoutUs() <= 600_000);
        assertTrue(harness.lastAttempt("second read").timeoutUs() > 100_000);
    }
}
