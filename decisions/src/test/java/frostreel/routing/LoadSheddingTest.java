package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.KEYED;
import static frostreel.routing.Recorder.UNSAFE;
import static frostreel.routing.Recorder.trio;
import static frostreel.routing.Recorder.up;
import static frostreel.routing.Recorder.with;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When requests are rejected at once, and when they may not be. */
class LoadSheddingTest {
    /** With a window of one each, hundreds of routers jam a member; how requests end tells each. */
    @Test
    void aRouterWhoseRequestsAllEndLateRefusesMostAtOnceAndComesBack() {
        Recorder r = trio();
        int refused = 0;
        for (int i = 0; i < 60; i++) {
            r.ask("q" + i, ANY);
            refused += r.last("q" + i) == null ? 1 : 0;
            r.pass(200_000);
            if (r.last("q" + i) != null && !r.refused.contains("q" + i)) {
                r.end("q" + i, Outcome.TIMEOUT);
            }
        }
        assertTrue(refused > 20, "refused at once: " + refused);
        for (int i = 0; i < 100; i++) {
            r.ask("w" + i, ANY);
            assertTrue(i < 80 || r.last("w" + i) != null, "request " + i + " though all is well again");
            r.pass(200_000);
            if (r.last("w" + i) != null) {
                r.end("w" + i, Outcome.OK, Role.REPLICA, r.now);
            }
        }
    }

    /** With many poolers a sixth of all worth was writes refused at once, most with room at their head. */
    @Test
    void aJammedReplicaRefusesNoWrite() {
        Recorder r = trio();
        int ended = 0;
        for (int i = 0; i < 60; i++) {
            for (int j = 0; j < 6; j++) {
                r.ask("q" + i + j, ANY);
            }
            r.pass(200_000);
            for (; ended < r.sent.size(); ended++) { // Each that is ended may be followed by another.
                Recorder.Sent read = r.sent.get(ended);
                if (read.request().startsWith("q")) {
                    r.end(read.request(), read.member().equals("a") ? Outcome.ERROR : Outcome.TIMEOUT);
                }
            }
            r.ask("w" + i, UNSAFE);
            assertEquals("a", r.last("w" + i).member(), "write " + i);
            r.end("w" + i, Outcome.OK, Role.PRIMARY, r.now);
        }
        assertTrue(r.refused.size() > 10, "reads refused: " + r.refused.size());
    }

    /** Refusing is for jams: failures of a few members, or answers lost, may not turn requests away. */
    @Test
    void aThirdFailingRefusesNothingAtOnce() {
        Recorder r = trio();
        for (int i = 0; i < 90; i++) {
            r.ask("q" + i, UNSAFE);
            assertTrue(r.last("q" + i) != null, "request " + i);
            r.pass(100_000);
            r.end("q" + i, i % 3 == 2 ? Outcome.ERROR : Outcome.OK, Role.PRIMARY, r.now);
        }
    }

    /** On i633ad7 primaries that failed fast drew the refusals of most requests of all classes. */
    @Test
    void errorsAloneRefuseNothingElse() {
        Recorder r = trio();
        for (int i = 0; i < 60; i++) {
            r.ask("w" + i, UNSAFE);
            assertTrue(r.last("w" + i) != null, "request " + i);
            r.end("w" + i, Outcome.ERROR, Role.PRIMARY, 0);
            r.pass(100_000);
        }
    }

    /** Each that waits holds a place that another cannot ask from; the longest has the least to gain. */
    @Test
    void beyondTheirPartOfClientsPlacesTheLongestWaitingMakesRoom() {
        Setup s = new Setup();
        s.concurrentRequestLimit = 6; // Two may be open.
        Recorder r = s.start(up("a", 0, true), up("b", 0, false));
        r.list(ListKind.CHANGES, with(up("a", 0, true), State.GONE, 0));
        r.list(ListKind.CHANGES, with(up("b", 0, false), State.GONE, 0));
        r.ask("first", KEYED);
        r.pass(1_000);
        r.ask("second", KEYED);
        assertTrue(r.refused.isEmpty());
        r.pass(1_000);
        r.ask("third", KEYED);
        assertEquals(List.of("first"), r.refused);
    }
}
