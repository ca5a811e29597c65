package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.KEYED_WRITE;
import static frostreel.routing.RouterHarness.KEYED_WRITE_ALL_ZONES;
import static frostreel.routing.RouterHarness.KEYED_WRITE_ONE_ZONE;
import static frostreel.routing.RouterHarness.NON_IDEMPOTENT_WRITE;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.threeMembers;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Conditions, time limits and timeouts of retries. */
class RetryTest {
    @ParameterizedTest
    @EnumSource(Outcome.class)
    void nonIdempotentWriteIsRetriedOnlyAfterProofThatItDidNotRun(Outcome outcome) {
        RouterHarness harness = threeMembers();
        harness.submit("write", NON_IDEMPOTENT_WRITE);
        harness.complete("write", outcome);
        harness.advance(1_000_000);
        if (outcome == Outcome.OK) {
            assertTrue(harness.failed.isEmpty() && harness.rejected.isEmpty());
        } else if (outcome.provesNotRun) {
            assertTrue(harness.attemptCount("write") > 1, "retried");
            assertTrue(harness.failed.isEmpty());
        } else {
            assertEquals(1, harness.attemptCount("write"));
            assertEquals(List.of("write"), harness.failed);
            assertTrue(harness.rejected.isEmpty(), "a rejection would tell the client that it never ran");
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void keyedWriteIsRetriedWithinItsDeduplicationWindowAndFailsAfterIt(Outcome unknown) {
        RouterHarness harness = threeMembers();
        harness.submit("write", KEYED_WRITE, 0, 4_900_000);
        long startUs = harness.nowUs;
        long attempts = 0;
        while (harness.failed.isEmpty() && harness.nowUs < startUs + 4_900_000) {
            if (harness.attemptCount("write") > attempts) {
                attempts = harness.attemptCount("write");
                assertTrue(harness.nowUs < startUs + 3_000_000, "retried after the window");
                harness.advance(30_000);
                harness.complete("write", unknown);
            }
            harness.advance(10_000);
        }
        assertTrue(attempts > 1);
        assertEquals(List.of("write"), harness.failed);
        assertTrue(harness.rejected.isEmpty());
        assertTrue(harness.nowUs < startUs + 3_100_000, "fails as soon as no retry is possible");
    }

    /**
     * Guards against a busy primary doing the same work twice: a write that times out after a few times its usual
     * duration is retried at the same primary.
     */
    @ParameterizedTest
    @CsvSource({"NaN, false", "0.5, false", "0.9, true", "1, true"})
    void keyedWriteToAPrimaryThatReportsHighUtilizationIsNotTimedOutForARetry(
            double utilization, boolean untilDeadline) {
        RouterHarness harness = threeMembers();
        harness.submit("first write", KEYED_WRITE);
        harness.complete("first write", Outcome.OK, Role.PRIMARY, 0);
        harness.healthCheckSucceeded(
                "a", new Router.Report(harness.nowUs, Role.PRIMARY, utilization, Double.NaN, Double.NaN));
        harness.submit("write", KEYED_WRITE, 0, 2_900_000);
        assertEquals("a", harness.lastAttempt("write").member());
        assertEquals(
                untilDeadline, harness.lastAttempt("write").timeoutUs() == 2_900_000, "timeout up to the deadline");
    }

    /** Without load reports, late responses indicate a busy primary; a retried write would add to its queue. */
    @Test
    void writeToAPrimaryThatRespondedLateIsNotTimedOutForARetry() {
        SettingsBuilder settings = new SettingsBuilder().healthChecks(Router.HealthChecks.LIVENESS);
        RouterHarness late = settings.start(primary("a", 0), replica("b", 0));
        RouterHarness soon = settings.start(primary("a", 0), replica("b", 0));
        for (int i = 0; i < 8; i++) {
            late.submit("write" + i, KEYED_WRITE);
            soon.submit("write" + i, KEYED_WRITE);
            soon.complete("write" + i, Outcome.OK, Role.PRIMARY, soon.nowUs);
            late.advance(400_000);
            soon.advance(400_000);
            late.respond(late.lastAttempt("write" + i), 800_000, Role.PRIMARY);
        }
        late.submit("last", KEYED_WRITE);
        soon.submit("last", KEYED_WRITE);
        assertEquals(4_000_000, late.lastAttempt("last").timeoutUs());
        assertTrue(
                soon.lastAttempt("last").timeoutUs() < 1_500_000,
                "" + soon.lastAttempt("last").timeoutUs());
    }

    @Test
    void writeKeyedAcrossAllMembersMayBeRejectedAfterAnUnknownOutcome() {
        RouterHarness harness = new SettingsBuilder().maxAttempts(1).start(primary("a", 0));
        harness.submit("write", KEYED_WRITE_ALL_ZONES);
        harness.complete("write", Outcome.TIMEOUT);
        assertEquals(List.of("write"), harness.rejected);
    }

    /**
     * Only the members of the zone in which the write may have run know its idempotency key; those of another zone
     * would execute it again.
     */
    @ParameterizedTest
    @CsvSource({
        "TIMEOUT, b, true",
        "TIMEOUT, c, false",
        "ERROR, c, false",
        "RESET, c, false",
        "WRONG_ROLE_OR_STALE, b, true"
    })
    void writeKeyedWithinOneZoneIsRetriedInThatZoneOnly(Outcome first, String primary, boolean again) {
        RouterHarness harness = threeMembers(); // a and b are in one zone, c is in another.
        harness.submit("write", KEYED_WRITE_ONE_ZONE);
        assertEquals("a", harness.lastAttempt("write").member());
        harness.complete("write", first);
        harness.healthCheckSucceeded(primary, Role.PRIMARY, harness.nowUs + 1);
        harness.advance(3_200_000);
        assertEquals(again, harness.attemptCountTo(primary) > 0);
        assertEquals(again ? List.of() : List.of("write"), harness.failed);
        assertEquals(List.of(), harness.rejected);
    }

    @Test
    void outcomeAtTheDeadlineEndsTheRequestAtOnce() {
        RouterHarness harness = threeMembers();
        harness.submit("write", NON_IDEMPOTENT_WRITE, 0, 1_000_000);
        harness.advance(1_005_000);
        harness.complete("write", Outcome.TIMEOUT);
        assertEquals(List.of("write"), harness.failed);
    }

    @Test
    void requestNeverHasTwoAttemptsInFlight() {
        RouterHarness harness = threeMembers();
        harness.submit("write", KEYED_WRITE);
        harness.advance(2_900_000);
        assertEquals(1, harness.attemptCount("write"));
    }

    /** Guards against a gone member, which is never tried, keeping a read from its second round. */
    @Test
    void readThatFailedOnEveryUsableMemberGetsASecondRound() {
        RouterHarness harness = threeMembers();
        harness.updateMembers(ListKind.FULL, primary("a", 0), replica("b", 0));
        harness.submit("read", ANY_READ);
        harness.complete("read", Outcome.ERROR, Role.REPLICA, 0);
        harness.complete("read", Outcome.ERROR, Role.PRIMARY, 0);
        harness.advance(200_000);
        assertEquals(3, harness.attemptCount("read"));
    }
}
