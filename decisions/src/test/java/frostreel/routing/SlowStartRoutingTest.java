package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
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

/** What routers send a member that started a short while ago. */
class SlowStartRoutingTest {
    @Test
    void aColdMemberGetsAShareOfWhatAWarmOneHasServed() {
        Recorder r =
                new Setup().start(up("a", 0, true), up("b", 0, false), with(up("c", 0, false), State.UP, 99_900_000));
        for (int i = 0; i < 400; i++) {
            r.ask("q" + i, ANY);
            r.pass(10_000);
            if (r.last("q" + i) != null) {
                r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
            }
        }
        assertTrue(r.countTo("c") > 0, "it gets some");
        assertTrue(r.countTo("c") < r.countTo("b") / 2, r.countTo("c") + " against " + r.countTo("b"));
    }

    /** A storm of turn-aways at the warm members once raised the cold one's share past what it could do. */
    @Test
    void turnedAwayWorkDoesNotRaiseAColdMembersShare() {
        Recorder r =
                new Setup().start(up("a", 0, true), up("b", 0, false), with(up("c", 0, false), State.UP, 99_900_000));
        for (int i = 0; i < 300; i++) {
            r.ask("q" + i, ANY);
            for (int j = 0;
                    j < 3
                            && r.last("q" + i) != null
                            && !r.last("q" + i).member().equals("c");
                    j++) {
                r.end("q" + i, Outcome.REJECTED, Role.REPLICA, r.now);
            }
            r.pass(5_000);
        }
        assertTrue(r.countTo("c") <= 1, "sent " + r.countTo("c"));
    }

    /** Its budget was another when it was chosen: connections to one that comes back come up all at once. */
    @Test
    void whatWaitsForItsConnectionIsSentToAMemberThatStartedMeanwhileOnlyAsOneOfItsFirst() {
        Recorder r = new Setup().start(up("a", 0, true), up("b", 0, false));
        r.probeOk("b", Role.REPLICA, r.now);
        r.ask("q", ANY);
        assertEquals("b", r.last("q").member());
        r.router.onMembers(r.now, ListKind.CHANGES, List.of(with(up("b", 0, false), State.UP, r.now)));
        assertEquals(false, r.router.mayStillBegin(r.now, "q"));
        r.end("q", Outcome.NOT_SENT);
        assertEquals("a", r.last("q").member());
    }

    /** Each of many thin routers owes a cold member less than one request; once each sent it a whole one. */
    @Test
    void manyThinRoutersTogetherSendAColdMemberAShareOnly() {
        long cold = 0;
        long warm = 0;
        for (int seed = 0; seed < 200; seed++) {
            Setup s = new Setup();
            s.seed = seed;
            Recorder r = s.start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
            for (int i = 0; i < 12; i++) {
                if (i == 6) {
                    cold -= r.countTo("c");
                    warm -= r.countTo("b");
                    r.list(ListKind.CHANGES, with(up("c", 0, false), State.UP, r.now));
                }
                r.ask("q" + i, ANY);
                r.pass(50_000);
                if (r.last("q" + i) != null) {
                    r.end("q" + i, Outcome.OK, Role.REPLICA, r.now);
                }
                r.pass(500_000);
            }
            cold += r.countTo("c");
            warm += r.countTo("b");
        }
        assertTrue(cold > 0, "it gets some");
        assertTrue(cold < warm / 2, cold + " against " + warm);
    }
}
