package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.up;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** How many attempts may be in flight to a member at once, and how long a rejecting one is left alone. */
class ConcurrencyLimitTest {
    /** A member that turns away or cannot be reached answers at once and would draw a storm of attempts. */
    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"REJECTED", "CONNECT_FAILED"})
    void aFullOrUnreachableMemberIsLeftAloneForAWhile(Outcome outcome) {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        for (int i = 0; i < 100; i++) {
            r.ask("q" + i, ANY);
            for (int j = 0; j < 2 && r.last("q" + i) != null; j++) {
                r.end("q" + i, Outcome.REJECTED, r.last("q" + i).member().equals("a") ? Role.PRIMARY : Role.REPLICA, 0);
            }
            r.pass(1_000);
        }
        assertTrue(r.sent.size() < 30, "attempts: " + r.sent.size());
    }

    /** Work alone took a quarter of an aim on some machines; cut for that, windows left them idle. */
    @Test
    void aMemberWhoseWorkTakesAThirdOfTheAimIsSentManyAtOnce() {
        Recorder r = new Setup().start(up("b", 0, false));
        for (int i = 0; i < 200; i++) {
            r.ask("q" + i, ANY);
            r.pass(200_000);
            if (r.last("q" + i) != null) {
                r.router.onOutcome(r.now, "q" + i, 0, "b", Outcome.OK, true, 200_000, Role.REPLICA, r.now, null);
            }
        }
        assertSentAtOnce(r, ANY);
    }

    /** Answers may arrive spoilt, from any member equally: no queue is shorter for fewer sent. */
    @Test
    void errorsThatCameInTimeLeaveRoomForAsManyAtOnceAsBefore() {
        Recorder r = new Setup().start(up("a", 0, true));
        for (int i = 0; i < 30; i++) {
            r.ask("w" + i, UNSAFE);
            r.pass(200_000);
            r.end("w" + i, Outcome.ERROR, Role.PRIMARY, 0);
        }
        assertSentAtOnce(r, UNSAFE);
    }

    private static void assertSentAtOnce(Recorder r, int cls) {
        for (int i = 0; i < 4; i++) {
            r.ask("at once " + i, cls);
            assertTrue(r.last("at once " + i) != null, "of four at once, number " + i + " waits");
        }
    }

    /** What waits in a member's queue past its use makes others late, where no window bounds the queue. */
    @Test
    void aReadThatEarnsNothingLateIsTimedOutAtItsAimOnceTheWindowIsAtItsFloor() {
        Recorder r = new Setup().start(up("a", 0, false));
        r.ask("q", ANY);
        r.pass(700_000);
        r.end("q", Outcome.TIMEOUT);
        r.pass(60_000_000);
        r.ask("q2", ANY);
        assertTrue(r.last("q2").timeoutUs() <= 600_000);
        assertTrue(r.last("q2").timeoutUs() > 100_000);
    }
}
