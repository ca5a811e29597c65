package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.KEYED;
import static frostreel.routing.Recorder.KEYED_ANYWHERE;
import static frostreel.routing.Recorder.KEYED_IN_ZONE;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** When an attempt may be retried, for how long, and how soon it is given up. */
class RetryTest {
    @ParameterizedTest
    @EnumSource(Outcome.class)
    void anUnsafeWriteIsTriedAgainOnlyAfterProofThatItNeverRan(Outcome outcome) {
        Recorder r = trio();
        r.ask("w", UNSAFE);
        r.end("w", outcome);
        r.pass(1_000_000);
        if (outcome == Outcome.OK) {
            assertTrue(r.failed.isEmpty() && r.refused.isEmpty());
        } else if (outcome.provesNotRun) {
            assertTrue(r.count("w") > 1, "sent again");
            assertTrue(r.failed.isEmpty());
        } else {
            assertEquals(1, r.count("w"));
            assertEquals(List.of("w"), r.failed);
            assertTrue(r.refused.isEmpty(), "a refusal would say that it never ran");
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"ERROR", "TIMEOUT", "RESET", "CANCELLED"})
    void aKeyedWriteIsSentAgainInsideItsWindowAndFailsAfterIt(Outcome doubt) {
        Recorder r = trio();
        r.ask("w", KEYED, 0, 4_900_000);
        long first = r.now;
        long n = 0;
        while (r.failed.isEmpty() && r.now < first + 4_900_000) {
            if (r.count("w") > n) {
                n = r.count("w");
                assertTrue(r.now < first + 3_000_000, "sent past the window");
                r.pass(30_000);
                r.end("w", doubt);
            }
            r.pass(10_000);
        }
        assertTrue(n > 1);
        assertEquals(List.of("w"), r.failed);
        assertTrue(r.refused.isEmpty());
        assertTrue(r.now < first + 3_100_000, "failed at once when nothing more could be tried");
    }

    /** Given up at a few times its usual time, it went there again, and the primary did its work twice. */
    @ParameterizedTest
    @CsvSource({"NaN, false", "0.5, false", "0.9, true", "1, true"})
    void aWriteToAPrimaryThatSaysItIsBusyIsNotSentThereTwice(double util, boolean waits) {
        Recorder r = trio();
        r.ask("v", KEYED);
        r.end("v", Outcome.OK, Role.PRIMARY, 0);
        r.router.onProbe(r.now, "a", true, 1_000, new Router.Report(r.now, Role.PRIMARY, util, Double.NaN, Double.NaN));
        r.ask("w", KEYED, 0, 2_900_000);
        assertEquals("a", r.last("w").member());
        assertEquals(waits, r.last("w").timeoutUs() == 2_900_000, "given all its time");
    }

    /** Where no report tells that it is busy, its late answers do: the same write again adds to its queue. */
    @Test
    void aPrimaryThatWasLateKeepsItsWritesAndOneThatWasNotIsGivenUp() {
        Setup s = new Setup();
        s.probes = Router.Probes.LIVENESS;
        Recorder late = s.start(up("a", 0, true), up("b", 0, false));
        Recorder soon = s.start(up("a", 0, true), up("b", 0, false));
        for (int i = 0; i < 8; i++) {
            late.ask("w" + i, KEYED);
            soon.ask("w" + i, KEYED);
            soon.end("w" + i, Outcome.OK, Role.PRIMARY, soon.now);
            late.pass(400_000);
            soon.pass(400_000);
            late.router.onOutcome(late.now, "w" + i, 0, "a", Outcome.OK, true, 800_000, Role.PRIMARY, late.now, null);
        }
        late.ask("last", KEYED);
        soon.ask("last", KEYED);
        assertEquals(4_000_000, late.last("last").timeoutUs());
        assertTrue(
                soon.last("last").timeoutUs() < 1_500_000,
                "" + soon.last("last").timeoutUs());
    }

    @Test
    void aKeyThatAllMembersKnowMayBeRefusedAfterDoubt() {
        Setup s = new Setup();
        s.maxAttempts = 1;
        Recorder r = s.start(up("a", 0, true));
        r.ask("w", KEYED_ANYWHERE);
        r.end("w", Outcome.TIMEOUT);
        assertEquals(List.of("w"), r.refused);
    }

    /** Where it ran a zone's members drop it by its key; those of another zone would run it again. */
    @ParameterizedTest
    @CsvSource({
        "TIMEOUT, b, true",
        "TIMEOUT, c, false",
        "ERROR, c, false",
        "RESET, c, false",
        "WRONG_ROLE_OR_STALE, b, true"
    })
    void aKeyThatOneZoneKnowsIsRepeatedThereAlone(Outcome first, String primary, boolean again) {
        Recorder r = trio(); // a and b are in one zone, c is in another.
        r.ask("w", KEYED_IN_ZONE);
        assertEquals("a", r.last("w").member());
        r.end("w", first);
        r.probeOk(primary, Role.PRIMARY, r.now + 1);
        r.pass(3_200_000);
        assertEquals(again, r.countTo(primary) > 0);
        assertEquals(again ? List.of() : List.of("w"), r.failed);
        assertEquals(List.of(), r.refused);
    }

    @Test
    void anOutcomeAtTheDeadlineIsAnsweredThereAndThen() {
        Recorder r = trio();
        r.ask("w", UNSAFE, 0, 1_000_000);
        r.pass(1_005_000);
        r.end("w", Outcome.TIMEOUT);
        assertEquals(List.of("w"), r.failed);
    }

    @Test
    void neverTwoAttemptsOutTogether() {
        Recorder r = trio();
        r.ask("w", KEYED);
        r.pass(2_900_000);
        assertEquals(1, r.count("w"));
    }

    /** Members that are gone once kept a read from its second round. */
    @Test
    void aReadThatMissedEveryUsableMemberIsTriedAgain() {
        Recorder r = trio();
        r.list(ListKind.FULL, up("a", 0, true), up("b", 0, false));
        r.ask("q", ANY);
        r.end("q", Outcome.ERROR, Role.REPLICA, 0);
        r.end("q", Outcome.ERROR, Role.PRIMARY, 0);
        r.pass(200_000);
        assertEquals(3, r.count("q"));
    }
}
