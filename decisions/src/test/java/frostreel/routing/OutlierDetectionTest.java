package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.up;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import org.junit.jupiter.api.Test;

/** Members that fail or are slower than their peers. */
class OutlierDetectionTest {
    @Test
    void aFailingReplicaLosesItsReadsButNotForEver() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        for (int i = 0; i < 400; i++) {
            r.ask("q" + i, ANY);
            r.pass(10_000);
            Recorder.Sent s = r.last("q" + i);
            if (s.member().equals("b")) {
                r.end("q" + i, Outcome.ERROR, Role.REPLICA, 0);
            }
            r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
        }
        assertTrue(r.countTo("b") < r.countTo("c") / 4, r.countTo("b") + " against " + r.countTo("c"));
        long before = r.countTo("b");
        r.pass(20_000_000);
        for (int i = 0; i < 20; i++) {
            r.ask("later" + i, ANY);
            r.end("later" + i, Outcome.OK, Role.REPLICA, r.now);
        }
        assertTrue(r.countTo("b") > before);
    }

    @Test
    void aCrawlingReplicaGetsLessThanItsPeer() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        for (int i = 0; i < 300; i++) {
            r.ask("q" + i, ANY);
            r.pass(10_000);
            Recorder.Sent s = r.last("q" + i);
            r.router.onOutcome(
                    r.now,
                    s.request(),
                    s.attempt(),
                    s.member(),
                    Outcome.OK,
                    true,
                    s.member().equals("b") ? 500_000 : 50_000,
                    Role.REPLICA,
                    r.now,
                    null);
        }
        assertTrue(r.countTo("b") < r.countTo("c") / 4, r.countTo("b") + " against " + r.countTo("c"));
    }

    /** Health is relative: when all are slow, no majority is cut off. */
    @Test
    void whenAllAreSlowAllGoOnServing() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        for (int i = 0; i < 200; i++) {
            r.ask("q" + i, ANY);
            r.pass(10_000);
            Recorder.Sent s = r.last("q" + i);
            assertTrue(s != null, "request " + i + " was kept back though nothing is out");
            r.router.onOutcome(
                    r.now,
                    s.request(),
                    s.attempt(),
                    s.member(),
                    Outcome.OK,
                    true,
                    900_000,
                    s.member().equals("a") ? Role.PRIMARY : Role.REPLICA,
                    r.now,
                    null);
        }
        assertTrue(r.countTo("b") > 50 && r.countTo("c") > 50);
    }
}
