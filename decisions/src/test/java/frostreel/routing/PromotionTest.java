package frostreel.routing;

import static frostreel.routing.Recorder.ANY;
import static frostreel.routing.Recorder.KEYED;
import static frostreel.routing.Recorder.SESSION;
import static frostreel.routing.Recorder.up;
import static frostreel.routing.Recorder.with;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Recorder.Setup;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.ListRole;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Probes;
import frostreel.routing.Router.Request;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.SessionTracking;
import frostreel.routing.Router.State;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A replica that lags is promoted, where commits do not wait for a replica, checks are silent, probes tell no
 * role, the list shows the first primary for ever and writes are remembered. A primary is the newest there
 * is, whatever it tells; everyone else must have told a position that holds the session's commit.
 */
class PromotionTest {
    private static final long BEHIND_US = 2_000_000;
    private Recorder r;
    /** The commit of session 42, answered by a; no one else has it. */
    private long commitUs;

    @BeforeEach
    void sessionWritesAndItsPrimaryDies() {
        Setup s = new Setup();
        s.listRole = ListRole.START;
        s.sessionTracking = SessionTracking.REMEMBERED;
        s.probes = Probes.LIVENESS;
        r = s.start(up("a", 0, true), up("b", 0, false), up("c", 0, false));
        commitUs = r.now;
        tells("b", Role.REPLICA, commitUs - BEHIND_US);
        tells("c", Role.REPLICA, commitUs - BEHIND_US / 2);
        r.ask("commit", KEYED);
        r.end("commit", Outcome.OK, Role.PRIMARY, commitUs);
        r.pass(50_000);
        r.list(ListKind.CHANGES, with(up("a", 0, true), State.GONE, 0));
    }

    /** A read of any age that went there is answered so. */
    private void tells(String member, Role role, long positionUs) {
        String id = "";
        for (int i = 0; !id.endsWith(member); i++) {
            id = "any " + r.sent.size() + " " + i;
            r.ask(id, ANY);
            String to = r.last(id).member();
            boolean meant = to.equals(member);
            r.end(id, Outcome.OK, meant ? role : Role.UNKNOWN, meant ? positionUs : 0);
            id += " " + to;
        }
    }

    /** A write of another session, which waits for whoever leads. */
    private void write(String id) {
        r.router.onRequest(r.now, new Request(id, KEYED, 9, 1, r.now + 3_000_000, 0, false));
    }

    private void promoteB() {
        write("first at b");
        assertThat(r.last("first at b").member()).isEqualTo("b");
        r.end("first at b", Outcome.OK, Role.PRIMARY, commitUs - BEHIND_US + 10_000);
        r.pass(1_000);
    }

    private void served(String id) {
        r.end(id, Outcome.OK, Role.PRIMARY, commitUs - BEHIND_US + 20_000);
    }

    private String read(String id) {
        r.ask(id, SESSION);
        return r.last(id) == null ? "nobody" : r.last(id).member();
    }

    @Test
    void theSessionWhoseCommitItLacksReadsThereAndNowhereElse() {
        assertThat(read("before")).as("nobody is known to have it").isEqualTo("nobody");
        r.pass(100_000);
        assertThat(r.last("before")).isNull();
        promoteB();
        assertThat(r.last("before").member()).as("the newest there is").isEqualTo("b");
        served("before");
        for (int i = 0; i < 4; i++) {
            assertThat(read("after " + i)).isEqualTo("b");
            served("after " + i);
        }
        tells("c", Role.REPLICA, commitUs + 1_000);
        assertThat(read("caught up")).as("it has all to beyond the commit").isEqualTo("c");
    }

    @Test
    void deposedByItsOwnWordItIsExcusedNoMore() {
        promoteB();
        assertThat(read("waits for its connection")).isEqualTo("b");
        assertThat(r.router.mayStillBegin(r.now, "waits for its connection")).isTrue();
        write("turned away");
        r.end("turned away", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertThat(r.router.mayStillBegin(r.now, "waits for its connection")).isFalse();
        r.end("waits for its connection", Outcome.NOT_SENT);
        assertThat(read("later")).isEqualTo("nobody");
        r.pass(100_000);
        assertThat(r.last("later")).isNull();
        assertThat(r.count("waits for its connection")).isEqualTo(1);
    }

    @Test
    void theOldOneThatComesBackIsNobodyUntilItLeadsAgain() {
        promoteB();
        r.list(ListKind.CHANGES, with(up("a", 0, true), State.UP, r.now));
        r.list(ListKind.FULL, with(up("a", 0, true), State.UP, r.now), up("b", 0, false), up("c", 0, false));
        for (int i = 0; i < 4; i++) {
            assertThat(read("while b leads " + i))
                    .as("though the list still names a")
                    .isEqualTo("b");
            served("while b leads " + i);
        }
        r.pass(20_000_000); // It is warm by then, and nobody has heard from it.
        write("cut off");
        r.end("cut off", Outcome.CONNECT_FAILED);
        r.list(ListKind.CHANGES, with(up("c", 0, false), State.GONE, 0));
        assertThat(read("while none leads")).isEqualTo("nobody");
        r.pass(20_000);
        assertThat(r.last("while none leads")).isNull();
    }

    /** Nobody has heard b say so, but two do not lead at once, and c's word is the later one. */
    @Test
    void deposedByAnothersWordItIsExcusedNoMore() {
        promoteB();
        assertThat(read("waits for its connection")).isEqualTo("b");
        write("cut off");
        r.end("cut off", Outcome.CONNECT_FAILED);
        r.pass(1_000);
        assertThat(r.last("cut off").member()).isEqualTo("c");
        r.end("cut off", Outcome.OK, Role.PRIMARY, r.now);
        assertThat(r.router.mayStillBegin(r.now, "waits for its connection")).isFalse();
    }
}
