package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.BOUNDED_READ;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Order, rejection and health checks of reads that wait for capacity. */
class WaitingReadsTest {
    /** A client whose read has waited unsent for that long does better to try another router. */
    @Test
    void unsentReadIsRejectedAtAlmostHalfItsTimeWhileSentReadsContinue() {
        RouterHarness harness = threeMembers();
        for (int i = 0; i < 30; i++) {
            harness.submit("read" + i, ANY_READ, 0, 800_000);
        }
        List<String> unsent = IntStream.range(0, 30)
                .mapToObj(i -> "read" + i)
                .filter(id -> harness.attemptCount(id) == 0)
                .toList();
        assertFalse(unsent.isEmpty());
        harness.advance(320_000);
        assertEquals(List.of(), harness.rejected);
        harness.advance(50_000);
        Comparator<String> byNumber = Comparator.comparing(id -> Integer.valueOf(id.substring("read".length())));
        assertEquals(unsent, harness.rejected.stream().sorted(byNumber).toList());
    }

    /** If the oldest read were served first, a backlog would make every request late. */
    @Test
    void newestWaitingReadIsServedFirst() {
        RouterHarness harness = new SettingsBuilder().start(primary("a", 0), replica("b", 0));
        int waiting = submitUntilOneWaits(harness);
        harness.submit("newest", ANY_READ);
        harness.complete("read1", Outcome.OK, Role.REPLICA, harness.nowUs);
        int newest = harness.attempts.indexOf(harness.lastAttempt("newest"));
        assertTrue(newest > 0, "sent");
        assertTrue(harness.lastAttempt("read" + waiting) == null
                || harness.attempts.indexOf(harness.lastAttempt("read" + waiting)) > newest);
    }

    /** Submits reads read1, read2 ... until one is not sent at once, and returns the number of that one. */
    private static int submitUntilOneWaits(RouterHarness harness) {
        int number = 0;
        do {
            number++;
            harness.submit("read" + number, ANY_READ);
        } while (harness.lastAttempt("read" + number) != null);
        return number;
    }

    /**
     * Under overload, client retries would otherwise take the capacity in which first attempts still meet their
     * objective.
     */
    @Test
    void clientRetryWaitsBehindFirstAttempts() {
        RouterHarness harness = new SettingsBuilder().start(primary("a", 0), replica("b", 0));
        int waiting = submitUntilOneWaits(harness);
        harness.submitRetry("retry", ANY_READ);
        for (int i = 1; i < waiting && harness.lastAttempt("retry") == null; i++) {
            harness.complete("read" + i, Outcome.OK, Role.REPLICA, harness.nowUs);
        }
        int retry = harness.attempts.indexOf(harness.lastAttempt("retry"));
        assertTrue(retry > 0);
        assertTrue(
                harness.attempts.indexOf(harness.lastAttempt("read" + waiting)) < retry,
                "the waiting first attempt was sent before the client's retry");
        assertNotNull(harness.lastAttempt("read" + waiting));
    }

    /**
     * A read that waits for capacity would otherwise trigger health checks at every recheck: 16 per request under
     * overload.
     */
    @Test
    void waitingReadDoesNotRepeatHealthChecksContinuously() {
        RouterHarness harness = new SettingsBuilder().start(replica("a", 0), replica("b", 0), replica("c", 0));
        harness.submit("read", BOUNDED_READ);
        for (int i = 0; i < 40; i++) {
            for (String member : List.of("a", "b", "c")) {
                harness.healthCheckSucceeded(member, Role.REPLICA, harness.nowUs - 2_000_000);
            }
            harness.advance(10_000);
        }
        assertTrue(harness.healthChecked.size() <= 15, "health checks: " + harness.healthChecked.size());
    }
}
