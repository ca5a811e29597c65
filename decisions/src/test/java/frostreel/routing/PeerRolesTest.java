package frostreel.routing;

import static frostreel.routing.RouterHarness.FRESH_READ;
import static frostreel.routing.RouterHarness.KEYED_WRITE;
import static frostreel.routing.RouterHarness.SESSION_READ;
import static frostreel.routing.RouterHarness.primary;
import static frostreel.routing.RouterHarness.replica;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.SharedMemoryArray;
import frostreel.operation.SharedRoleTable;
import frostreel.routing.Router.HealthChecks;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.ListRole;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Two processes of one pooler in an upgrade: what either is told about a member's role counts for both. */
class PeerRolesTest {
    private static final long WRITTEN_US = 400_000;
    /** Longer than it takes until a process looks for what the other one has published. */
    private static final long STEP_US = 20_000;

    private static final long DEADLINE_IN_US = 1_500_000;
    private static final Router.Settings SETTINGS = new SettingsBuilder()
            .healthChecks(HealthChecks.LIVENESS)
            .listRole(ListRole.START)
            .build();
    private final SharedMemoryArray memory = new SharedMemoryArray(SharedRoleTable.LONGS);
    private long lastIncarnation;
    private final RouterHarness before = startProcess(0);

    /** Starts a process whose endpoint list names a as the primary. */
    private RouterHarness startProcess(long afterUs) {
        return startProcess(afterUs, 0);
    }

    private RouterHarness startProcess(long afterUs, long strangersServeUs) {
        long nowUs = RouterHarness.START_US + afterUs;
        PeerRoles roles = new SharedRoleTable(memory, ++lastIncarnation, nowUs, nowUs + strangersServeUs);
        RouterHarness process = new RouterHarness(SETTINGS, roles);
        process.nowUs = nowUs;
        process.updateMembers(ListKind.CACHED, primary("a", 0), replica("b", 0), replica("c", 1));
        return process;
    }

    /** A write that a process sends to the members in turn, of which only the last one is the primary. */
    private static void write(RouterHarness process, String id, String... members) {
        process.nowUs += STEP_US;
        process.submit(id, KEYED_WRITE);
        for (int i = 0; i < members.length; i++) {
            assertThat(process.lastAttempt(id).member()).isEqualTo(members[i]);
            boolean served = i == members.length - 1;
            Outcome outcome = served ? Outcome.OK : Outcome.WRONG_ROLE_OR_STALE;
            process.complete(id, outcome, served ? Role.PRIMARY : Role.REPLICA, 0);
        }
    }

    private static void assertReadGoesTo(String member, RouterHarness process, String id) {
        process.nowUs += STEP_US;
        process.submit(id, SESSION_READ, WRITTEN_US, DEADLINE_IN_US);
        assertThat(process.lastAttempt(id).member()).isEqualTo(member);
    }

    /** Guards against reads that a successor sends to a former primary because the endpoint list still names it. */
    @Test
    void readsGoToThePrimaryThatTheOtherProcessFoundNotToTheListedOne() {
        write(before, "write", "a", "b");
        assertReadGoesTo("b", startProcess(WRITTEN_US), "read");
    }

    /** Guards against what the old process learns while the new one serves, and the other way round. */
    @Test
    void roleThatEitherProcessIsToldWhileBothServeCountsForBoth() {
        RouterHarness after = startProcess(1_000);
        write(after, "first write", "a", "b");
        before.nowUs = after.nowUs + 1_000;
        assertReadGoesTo("b", before, "first read");
        before.complete("first read", Outcome.OK, Role.REPLICA, 0);
        write(before, "second write", "b", "c");
        after.nowUs = before.nowUs + 1_000;
        assertReadGoesTo("c", after, "second read");
    }

    @Test
    void attemptDoesNotBeginOnceTheOtherProcessKnowsItsMemberAsReplica() {
        write(before, "write", "a", "b");
        RouterHarness after = startProcess(1_000);
        assertReadGoesTo("b", after, "read");
        assertThat(after.mayStillBegin("read")).isTrue();
        before.nowUs = after.nowUs;
        before.submit("second write", KEYED_WRITE);
        before.complete("second write", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        after.nowUs += STEP_US;
        assertThat(after.mayStillBegin("read")).isFalse();
    }

    /** Guards against a dead pooler's evidence that beats a newer report or a newer list. */
    @Test
    void whatADeadPoolerLeftYieldsToNewerEvidence() {
        write(before, "write", "a", "b");
        RouterHarness restarted = startProcess(1_000_000);
        assertReadGoesTo("b", restarted, "read");
        restarted.healthCheckSucceeded("c", Role.PRIMARY, restarted.nowUs - 100_000);
        assertReadGoesTo("c", restarted, "read after the report");
        assertReadGoesTo("a", startProcess(60_000_000), "read a minute later");
    }

    @Test
    void responseOfAMemberThatIsNoLongerPrimaryIsNotPassedOn() {
        assertReadGoesTo("a", before, "read");
        assertThat(before.mayServe("read", Role.PRIMARY, 0)).isTrue();
        assertThat(before.mayServe("read", Role.REPLICA, 0)).isFalse();
        assertThat(before.mayServe("read", Role.REPLICA, before.nowUs - WRITTEN_US))
                .isFalse();
        assertThat(before.mayServe("read", Role.REPLICA, before.nowUs)).isTrue();
        before.submit("fresh", FRESH_READ);
        assertThat(before.mayServe("fresh", Role.REPLICA, before.nowUs)).isFalse();
        assertThat(before.mayServe("fresh", Role.PRIMARY, 0)).isTrue();
    }

    /** Guards against refused reads of a successor that knows a wrong list and nothing else. */
    @Test
    void readWalksTheChainToThePrimaryThatNobodyKnows() {
        assertReadGoesTo("a", before, "read");
        before.complete("read", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, before.nowUs - DEADLINE_IN_US);
        assertThat(before.lastAttempt("read").member()).isEqualTo("b");
        assertThat(before.mayStillBegin("read")).isTrue();
        assertThat(before.mayServe("read", Role.UNKNOWN, 0)).isFalse();
        assertThat(before.mayServe("read", Role.REPLICA, before.nowUs - WRITTEN_US))
                .isFalse();
        before.submit("second", SESSION_READ, WRITTEN_US, DEADLINE_IN_US);
        assertThat(before.lastAttempt("second")).as("one at a time").isNull();
        before.complete("read", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, before.nowUs - DEADLINE_IN_US);
        assertThat(before.lastAttempt("read").member()).isEqualTo("c");
        assertThat(before.mayServe("read", Role.PRIMARY, 0)).isTrue();
        before.complete("read", Outcome.OK, Role.PRIMARY, 0);
        assertThat(before.lastAttempt("second").member()).isEqualTo("c");
    }

    @Test
    void readsWithoutProofPauseAfterARoundInVain() {
        assertReadGoesTo("a", before, "read");
        for (String member : List.of("a", "b", "c")) {
            assertThat(before.lastAttempt("read").member()).isEqualTo(member);
            before.complete("read", Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, before.nowUs - DEADLINE_IN_US);
        }
        before.advance(400_000);
        assertThat(before.attemptCount("read")).isEqualTo(3);
        before.advance(200_000);
        assertThat(before.attemptCount("read")).isEqualTo(4);
    }

    /** A response that is forwarded as it arrives cannot show its role before its end. */
    @Test
    void responseWithoutARoleIsPassedOnOnlyIfAllProcessesAreKnownToTakeItsMemberForThePrimary() {
        assertReadGoesTo("a", before, "listed only");
        assertThat(before.mayServe("listed only", Role.UNKNOWN, 0)).isFalse();
        before.nowUs += 1_000;
        before.complete("listed only", Outcome.OK, Role.PRIMARY, 0);
        assertReadGoesTo("a", before, "confirmed");
        assertThat(before.mayServe("confirmed", Role.UNKNOWN, 0)).isTrue();

        RouterHarness alone = new RouterHarness(SETTINGS);
        alone.updateMembers(ListKind.CACHED, primary("a", 0), replica("b", 0));
        assertReadGoesTo("a", alone, "of a pooler without a second process");
        assertThat(alone.mayServe("of a pooler without a second process", Role.UNKNOWN, 0))
                .isTrue();
    }

    @Test
    void processThatCannotShareRolesNeedsAProofFromEachResponse() {
        RouterHarness blind = new RouterHarness(SETTINGS, PeerRoles.UNKNOWN);
        blind.updateMembers(ListKind.CACHED, primary("a", 0), replica("b", 0));
        write(blind, "write", "a");
        assertReadGoesTo("a", blind, "read");
        assertThat(blind.mayServe("read", Role.UNKNOWN, 0)).isFalse();
        assertThat(blind.mayServe("read", Role.PRIMARY, 0)).isTrue();
    }
}
