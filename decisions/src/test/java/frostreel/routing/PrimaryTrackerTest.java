package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Role;
import frostreel.routing.Router.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Ranking of the evidence for a primary, and trial requests to a suspected primary. */
class PrimaryTrackerTest {
    private static final long NOW_US = 10_000_000;
    private final Router.Settings settings = new SettingsBuilder().build();
    private final SlowStart slowStart = new SlowStart(settings);
    private final PrimaryTracker tracker = new PrimaryTracker(new ActiveSettings(settings), PeerRoles.NONE);
    private final GroupState group = new GroupState(1, new Goodput(() -> 1_000_000));
    private final MemberState first = member("first");
    private final MemberState second = member("second");

    private MemberState member(String id) {
        return new MemberState(id, 1, slowStart.register(NOW_US), 0, NOW_US);
    }

    private void recordPrimary(MemberState member, RoleEvidence evidence, long atUs) {
        if (evidence == RoleEvidence.LIST) {
            tracker.recordListedPrimary(group, member);
        } else {
            tracker.recordRole(group, member, Role.PRIMARY, atUs, evidence);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "LIST, LIST, false",
        "LIST, REPORT, true",
        "LIST, RESPONSE, true",
        "REPORT, LIST, false",
        "REPORT, REPORT, true",
        "REPORT, RESPONSE, true",
        "RESPONSE, LIST, false",
        "RESPONSE, REPORT, false",
        "RESPONSE, RESPONSE, true"
    })
    void newerEvidenceReplacesThePrimaryUnlessItIsOfLowerRank(
            RoleEvidence known, RoleEvidence newer, boolean replaces) {
        recordPrimary(first, known, NOW_US);
        recordPrimary(second, newer, NOW_US + 1);
        assertThat(group.primary).isSameAs(replaces ? second : first);
    }

    @Test
    void evidenceOlderThanThatForThePrimaryIsIgnored() {
        recordPrimary(first, RoleEvidence.REPORT, NOW_US);
        recordPrimary(second, RoleEvidence.RESPONSE, NOW_US);
        assertThat(group.primary).isSameAs(first);
    }

    @Test
    void primaryThatReportsThatItIsAReplicaIsNoLongerKnownAsPrimary() {
        recordPrimary(first, RoleEvidence.RESPONSE, NOW_US);
        tracker.recordRole(group, first, Role.REPLICA, NOW_US, RoleEvidence.RESPONSE);
        assertThat(group.primary).as("evidence as old as that for the primary").isSameAs(first);
        tracker.recordRole(group, first, Role.REPLICA, NOW_US + 1, RoleEvidence.REPORT);
        assertThat(group.primary).isNull();
    }

    @Test
    void unusableMemberDoesNotBecomePrimary() {
        first.state = State.DRAINING;
        recordPrimary(first, RoleEvidence.RESPONSE, NOW_US);
        assertThat(group.primary).isNull();
    }

    @Test
    void evidenceFromBeforeAFailedConnectionDoesNotRestoreThePrimary() {
        recordPrimary(first, RoleEvidence.RESPONSE, NOW_US);
        tracker.recordConnectFailure(NOW_US + 1_000, group, first);
        recordPrimary(first, RoleEvidence.REPORT, NOW_US + 1_000);
        assertThat(group.primary).isNull();
        recordPrimary(first, RoleEvidence.REPORT, NOW_US + 1_001);
        assertThat(group.primary).isSameAs(first);
    }

    @Test
    void silentPrimaryIsSuspectedAndTriedEachHalfSecondUntilItServesARequest() {
        recordPrimary(first, RoleEvidence.RESPONSE, NOW_US);
        first.outliers.recordSend(NOW_US, 0, 100_000);
        first.inFlight = 1;
        long silentUs = NOW_US + 400_001;
        tracker.suspectIfSilent(silentUs - 1, group);
        assertThat(group.primarySuspected).isFalse();
        tracker.suspectIfSilent(silentUs, group);
        assertThat(tracker.isTrialDue(silentUs + 499_999, group)).isFalse();
        assertThat(tracker.isTrialDue(silentUs + 500_000, group)).isTrue();
        tracker.recordTrial(silentUs + 500_000, group);
        assertThat(tracker.isTrialDue(silentUs + 999_999, group)).isFalse();
        tracker.recordSuccess(group, second);
        assertThat(group.primarySuspected).isTrue();
        tracker.recordSuccess(group, first);
        assertThat(group.primarySuspected).isFalse();
    }
}
