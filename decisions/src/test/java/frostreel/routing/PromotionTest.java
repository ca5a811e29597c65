package frostreel.routing;

import static frostreel.routing.RouterHarness.ANY_READ;
import static frostreel.routing.RouterHarness.KEYED_WRITE;
import static frostreel.routing.RouterHarness.SESSION_READ;
import static frostreel.routing.RouterHarness.inState;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static frostreel.routing.RouterHarness.startedAt;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.HealthChecks;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.ListRole;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.SessionTracking;
import frostreel.routing.Router.State;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Promotion of a lagging replica in a deployment in which commits do not wait for a replica, members do not check
 * staleness, health checks report no role, the endpoint list keeps naming the first primary, and the router remembers
 * the commits of sessions. The primary counts as fresh whatever position it reports; any other member must have
 * reported one that includes the session's commit.
 */
class PromotionTest {
    private static final long BEHIND_US = 2_000_000;
    private static final long OTHER_SESSION = 9;
    private RouterHarness harness;
    /** The commit of {@link RouterHarness#SESSION}, acknowledged by a; no other member has it. */
    private long commitUs;

    @BeforeEach
    void commitToAPrimaryThatThenDisappears() {
        harness = new SettingsBuilder()
                .listRole(ListRole.START)
                .sessionTracking(SessionTracking.REMEMBERED)
                .healthChecks(HealthChecks.LIVENESS)
                .start(primary("a", 0), replica("b", 0), replica("c", 0));
        commitUs = harness.nowUs;
        report("b", Role.REPLICA, commitUs - BEHIND_US);
        report("c", Role.REPLICA, commitUs - BEHIND_US / 2);
        harness.submit("commit", KEYED_WRITE);
        harness.complete("commit", Outcome.OK, Role.PRIMARY, commitUs);
        harness.advance(50_000);
        harness.updateMembers(ListKind.CHANGES, inState(primary("a", 0), State.GONE));
    }

    /** Sends reads until one reaches the member, and completes that one with this role and position. */
    private void report(String member, Role role, long positionUs) {
        String id = "";
        for (int i = 0; !id.endsWith(member); i++) {
            id = "any " + harness.attempts.size() + " " + i;
            harness.submit(id, ANY_READ);
            String chosen = harness.lastAttempt(id).member();
            boolean reached = chosen.equals(member);
            harness.complete(id, Outcome.OK, reached ? role : Role.UNKNOWN, reached ? positionUs : 0);
            id += " " + chosen;
        }
    }

    /** Submits a write of another session. */
    private void write(String id) {
        harness.submitForSession(OTHER_SESSION, id, KEYED_WRITE, 3_000_000);
    }

    private void promoteB() {
        write("first at b");
        assertThat(harness.lastAttempt("first at b").member()).isEqualTo("b");
        harness.complete("first at b", Outcome.OK, Role.PRIMARY, commitUs - BEHIND_US + 10_000);
        harness.advance(1_000);
    }

    private void respondToRead(String id) {
        harness.complete(id, Outcome.OK, Role.PRIMARY, commitUs - BEHIND_US + 20_000);
    }

    private String read(String id) {
        harness.submit(id, SESSION_READ);
        return harness.lastAttempt(id) == null
                ? "nobody"
                : harness.lastAttempt(id).member();
    }

    @Test
    void sessionWhoseCommitIsLostReadsFromTheNewPrimaryOnly() {
        assertThat(read("before")).as("no member is known to have the commit").isEqualTo("nobody");
        harness.advance(100_000);
        assertThat(harness.lastAttempt("before")).isNull();
        promoteB();
        assertThat(harness.lastAttempt("before").member())
                .as("the primary counts as fresh")
                .isEqualTo("b");
        respondToRead("before");
        for (int i = 0; i < 4; i++) {
            assertThat(read("after " + i)).isEqualTo("b");
            respondToRead("after " + i);
        }
        report("c", Role.REPLICA, commitUs + 1_000);
        assertThat(read("caught up")).as("its position is beyond the commit").isEqualTo("c");
    }

    @Test
    void primaryThatReportsItselfAsReplicaMustProveItsFreshnessAgain() {
        promoteB();
        assertThat(read("waits for its connection")).isEqualTo("b");
        assertThat(harness.mayStillBegin("waits for its connection")).isTrue();
        write("rejected");
        harness.complete("rejected", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        assertThat(harness.mayStillBegin("waits for its connection")).isFalse();
        harness.complete("waits for its connection", Outcome.NOT_SENT);
        assertThat(read("later")).isEqualTo("nobody");
        harness.advance(100_000);
        assertThat(harness.lastAttempt("later")).isNull();
        assertThat(harness.attemptCount("waits for its connection")).isEqualTo(1);
    }

    @Test
    void returningFormerPrimaryServesNoSessionReadsUntilItIsPrimaryAgain() {
        promoteB();
        harness.updateMembers(ListKind.CHANGES, startedAt(primary("a", 0), harness.nowUs));
        harness.updateMembers(
                ListKind.FULL, startedAt(primary("a", 0), harness.nowUs), replica("b", 0), replica("c", 0));
        for (int i = 0; i < 4; i++) {
            assertThat(read("while b is primary " + i))
                    .as("though the list still names a")
                    .isEqualTo("b");
            respondToRead("while b is primary " + i);
        }
        harness.advance(20_000_000); // Member a is warmed up by then, but has not responded yet.
        write("cut off");
        harness.complete("cut off", Outcome.CONNECT_FAILED);
        harness.updateMembers(ListKind.CHANGES, inState(replica("c", 0), State.GONE));
        assertThat(read("without a primary")).isEqualTo("nobody");
        harness.advance(20_000);
        assertThat(harness.lastAttempt("without a primary")).isNull();
    }

    /**
     * The old primary never reports a change of role, but two members cannot be primary at the same time, and the
     * report of the other one is newer.
     */
    @Test
    void primaryReplacedByAnotherMustProveItsFreshnessAgain() {
        promoteB();
        assertThat(read("waits for its connection")).isEqualTo("b");
        write("cut off");
        harness.complete("cut off", Outcome.CONNECT_FAILED);
        harness.advance(1_000);
        assertThat(harness.lastAttempt("cut off").member()).isEqualTo("c");
        harness.complete("cut off", Outcome.OK, Role.PRIMARY, harness.nowUs);
        assertThat(harness.mayStillBegin("waits for its connection")).isFalse();
    }
}
