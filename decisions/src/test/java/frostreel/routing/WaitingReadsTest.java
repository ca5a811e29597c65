package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.SAFE_READ;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Reads that wait for capacity: their order, their end and their health checks. */
class WaitingReadsTest {
    /** Oldest first, a backlog makes every request late. */
    @Test
    void aReadUnsentAtAlmostHalfItsTimeIsRefusedAndTheSentOnesGoOn() {
        Recorder r = trio();
        for (int i = 0; i < 30; i++) {
            r.ask("r" + i, ANY, 0, 800_000);
        }
        List<String> unsent = IntStream.range(0, 30)
                .mapToObj(i -> "r" + i)
                .filter(id -> r.count(id) == 0)
                .toList();
        assertFalse(unsent.isEmpty());
        r.pass(320_000);
        assertEquals(List.of(), r.refused);
        r.pass(50_000);
        Comparator<String> byNumber = Comparator.comparing(id -> Integer.valueOf(id.substring(1)));
        assertEquals(unsent, r.refused.stream().sorted(byNumber).toList());
    }

    @Test
    void theNewestWaitingReadIsServedFirst() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        int n = 0;
        while (r.last("q" + n) != null || n == 0) {
            r.ask("q" + ++n, ANY);
        }
        r.ask("newest", ANY);
        r.end("q1", Outcome.OK, Role.REPLICA, r.now);
        int newest = r.sent.indexOf(r.last("newest"));
        assertTrue(newest > 0, "let out");
        assertTrue(r.last("q" + n) == null || r.sent.indexOf(r.last("q" + n)) > newest);
    }

    /** Under overload, repeats took the room in which first tries would still have made their aim. */
    @Test
    void aMarkedRepeatWaitsBehindFirstTries() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        int n = 0;
        while (r.last("q" + n) != null || n == 0) {
            r.ask("q" + ++n, ANY);
        }
        r.repeat("repeat", ANY);
        for (int i = 1; i < n && r.last("repeat") == null; i++) {
            r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
        }
        int repeat = r.sent.indexOf(r.last("repeat"));
        assertTrue(repeat > 0);
        assertTrue(r.sent.indexOf(r.last("q" + n)) < repeat, "the waiting first try went before it");
        assertTrue(r.last("q" + n) != null);
    }

    /** A read waiting for room once asked at every sweep: 16 probes a request on a jammed day. */
    @Test
    void aWaitingReadDoesNotAskOnAndOn() {
        Recorder r = new Setup().start(up("a", 0, false), up("b", 0, false), up("c", 0, false));
        r.ask("q", SAFE_READ);
        for (int i = 0; i < 40; i++) {
            for (String m : List.of("a", "b", "c")) {
                r.probeOk(m, Role.REPLICA, r.now - 2_000_000);
            }
            r.pass(10_000);
        }
        assertTrue(r.probed.size() <= 15, "probed " + r.probed.size());
    }
}
