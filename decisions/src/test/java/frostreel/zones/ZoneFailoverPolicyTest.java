package frostreel.zones;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import frostreel.routing.Limits;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests a pooler in zone 0 with zones 1 and 2 as its tiers, and four groups with one member in each zone. */
class ZoneFailoverPolicyTest {
    /** Zones, each of which is a tier. */
    private static final int LOCAL = 0;

    private static final int NEAR = 1;
    private static final int FAR = 2;
    /** Request classes by rank; the first has twice the priority weight for the same work. */
    private static final int HIGH_RANK = 0;

    private static final int LOW_RANK = 1;
    private static final double WORK_US = 40_000;
    private static final long SECOND_US = 1_000_000;
    private static final double SPILL = 0.25;
    private final Router.Settings settings = new Router.Settings(
            1,
            0,
            0,
            1000,
            List.of(read("high", 2), read("low", 1)),
            Router.StalenessCheck.REFUSE,
            Router.ListRole.LATE,
            Router.SessionTracking.CARRIED,
            true,
            Limits.builder()
                    .maxAttempts(10)
                    .healthChecks(Router.HealthChecks.REPORT)
                    .cancel(true)
                    .retryAfterAllowed(true)
                    .maxRetryAfterUs(SECOND_US)
                    .connectTimeoutUs(250_000)
                    .staleReadWaitUs(50_000)
                    .idleTimeoutUs(30 * SECOND_US)
                    .build(),
            new Router.Rules(20_000, SECOND_US, false, 0.2, 15 * SECOND_US, 3, 2 * SECOND_US));
    private final ZoneSettings zones = new ZoneSettings(
            0, List.of(new ZoneSettings.Tier(List.of(1), SPILL), new ZoneSettings.Tier(List.of(), SPILL)), 10);
    private final ZoneFailoverPolicy policy = new ZoneFailoverPolicy(settings, zones, 0.5);
    /** Member handles by group and zone. */
    private final int[][] handles = new int[4][3];

    private long nowUs = 1_000 * SECOND_US;

    ZoneFailoverPolicyTest() {
        for (int group = 0; group < handles.length; group++) {
            for (int zone : new int[] {LOCAL, NEAR, FAR}) {
                handles[group][zone] = policy.onMemberAdded(group, zone);
            }
        }
    }

    private static Router.RequestClass read(String name, double weight) {
        return new Router.RequestClass(
                name,
                Router.Access.ANY,
                Router.Idempotency.IDEMPOTENT,
                Router.DeduplicationScope.GROUP,
                0,
                0,
                200_000,
                SECOND_US,
                weight,
                0);
    }

    /** Offers reads of 40 ms to one member at a constant rate; returns how many were admitted and answered. */
    private int sendReads(int handle, int classIndex, int perSecond, double seconds) {
        int admitted = 0;
        for (int i = 0; i < perSecond * seconds; i++) {
            nowUs += SECOND_US / perSecond;
            if (policy.costFactor(nowUs, handle) < Double.POSITIVE_INFINITY
                    && policy.admits(nowUs, handle, classIndex)) {
                policy.onAttemptSent(nowUs, handle, classIndex, WORK_US);
                policy.onAttemptEnded(nowUs, handle, Outcome.OK, WORK_US);
                admitted++;
            }
        }
        return admitted;
    }

    private void serveNearestTier() {
        for (int i = 0; i < 40; i++) {
            for (int[] group : handles) {
                assertThat(sendReads(group[LOCAL], HIGH_RANK, 10, 1)).isEqualTo(10);
            }
        }
    }

    private void fail(int handle, int times) {
        for (int i = 0; i < times; i++) {
            nowUs += 250_000;
            policy.onAttemptEnded(nowUs, handle, Outcome.CONNECT_FAILED, WORK_US);
        }
    }

    private boolean isRoutable(int handle) {
        return policy.costFactor(nowUs, handle) < Double.POSITIVE_INFINITY;
    }

    private void takeZoneDown() {
        for (int[] group : handles) {
            fail(group[LOCAL], 3);
        }
    }

    @Test
    void costFactorDoublesWithEachTier() {
        assertThat(policy.costFactor(nowUs, handles[0][LOCAL])).isEqualTo(1);
        assertThat(policy.costFactor(nowUs, handles[0][NEAR])).isEqualTo(2);
        assertThat(policy.costFactor(nowUs, handles[0][FAR])).isEqualTo(4);
        assertThatThrownBy(() -> new ZoneSettings.Tier(List.of(1), 0)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void replicasGoDownAfterThreeFailuresWithoutAResponseBetween() {
        serveNearestTier();
        fail(handles[0][LOCAL], 2);
        policy.onAttemptEnded(nowUs, handles[0][LOCAL], Outcome.WRONG_ROLE_OR_STALE, WORK_US);
        fail(handles[0][LOCAL], 2);
        assertThat(isRoutable(handles[0][LOCAL])).isTrue();
        fail(handles[0][LOCAL], 1);
        assertThat(isRoutable(handles[0][LOCAL])).isFalse();
        assertThat(isRoutable(handles[1][LOCAL])).isTrue();
    }

    @Test
    void zoneWithFailuresInSeveralGroupsAndNoResponseGoesDownAsAWhole() {
        serveNearestTier();
        fail(handles[0][LOCAL], 2);
        fail(handles[1][LOCAL], 1);
        assertThat(isRoutable(handles[0][LOCAL])).isTrue();
        fail(handles[2][LOCAL], 1);
        for (int[] group : handles) {
            assertThat(isRoutable(group[LOCAL])).isFalse();
        }
        assertThat(isRoutable(handles[0][NEAR])).isTrue();
        policy.onHealthCheck(nowUs, handles[3][LOCAL], true); // It had no failure of its own, so there is no ramp.
        assertThat(sendReads(handles[3][LOCAL], HIGH_RANK, 50, 1)).isEqualTo(50);
        policy.onHealthCheck(nowUs, handles[1][LOCAL], true);
        assertThat(policy.admits(nowUs, handles[1][LOCAL], HIGH_RANK))
                .as("during the ramp")
                .isFalse();
    }

    @Test
    void failuresOfOneGroupDoNotTakeItsZoneDown() {
        serveNearestTier();
        fail(handles[0][LOCAL], 9);
        assertThat(isRoutable(handles[0][LOCAL])).isFalse();
        assertThat(isRoutable(handles[1][LOCAL])).isTrue();
    }

    @Test
    void spillIsBoundedByTheTiersShareOfWhatTheNearestServed() {
        serveNearestTier();
        takeZoneDown();
        sendReads(handles[0][NEAR], HIGH_RANK, 100, 3); // Uses up the accumulated budget.
        int sent = sendReads(handles[0][NEAR], HIGH_RANK, 100, 20);
        // The nearest tier served ten reads per second, for one of the four groups at a time.
        assertThat(sent / 20.0).isCloseTo(SPILL * 10, within(0.5));
    }

    @Test
    void classesWithTheLowestWeightPerWorkAreDeniedFirst() {
        serveNearestTier();
        takeZoneDown();
        sendReads(handles[0][NEAR], HIGH_RANK, 100, 3);
        int highRankAdmitted = 0;
        int lowRankAdmitted = 0;
        for (int i = 0; i < 200; i++) {
            lowRankAdmitted += sendReads(handles[0][NEAR], LOW_RANK, 10, 0.1);
            highRankAdmitted += sendReads(handles[0][NEAR], HIGH_RANK, 10, 0.1);
        }
        assertThat(highRankAdmitted).isGreaterThan(5 * Math.max(1, lowRankAdmitted));
    }

    @Test
    void spillIsBoundedWithoutAnOutageAndUnboundedForGroupsWithoutNearerMembers() {
        serveNearestTier();
        assertThat(sendReads(handles[0][FAR], HIGH_RANK, 100, 10)).isLessThan(100);
        int otherGroup = policy.onMemberAdded(9, NEAR);
        assertThat(sendReads(otherGroup, HIGH_RANK, 100, 2)).isEqualTo(200);
    }

    @Test
    void recoveringReplicasAreRampedUpFromTheirColdShare() {
        serveNearestTier();
        takeZoneDown();
        int handle = handles[0][LOCAL];
        assertThat(policy.healthCheckDue(nowUs, handle)).isTrue();
        assertThat(policy.healthCheckDue(nowUs, handle))
                .as("the next check is due only after the interval")
                .isFalse();
        policy.onHealthCheck(nowUs, handle, true);
        assertThat(isRoutable(handle)).isTrue();
        assertThat(policy.admits(nowUs, handle, HIGH_RANK))
                .as("the ramp budget starts below zero")
                .isFalse();
        double first = sendReads(handle, HIGH_RANK, 50, 3) / 3.0;
        // 2.5 reads per second before the outage; in the first 3 s of the ramp the capacity is 0.2 to 0.36 of that.
        assertThat(first).isBetween(0.3, 1.5);
        sendReads(handle, HIGH_RANK, 50, 12);
        assertThat(sendReads(handle, HIGH_RANK, 50, 1)).isEqualTo(50);
        assertThat(policy.toString()).contains("recoveries=1").contains("0={UP=1, DOWN=3}");
    }

    @Test
    void outageSoonAfterAnotherDelaysTheRecoveryAndALaterOneDoesNot() {
        serveNearestTier();
        int handle = handles[0][LOCAL];
        fail(handle, 3);
        policy.onHealthCheck(nowUs, handle, true);
        assertThat(isRoutable(handle)).isTrue();
        nowUs += 10 * SECOND_US;
        fail(handle, 1); // During a ramp, one failure marks the replicas down.
        assertThat(isRoutable(handle)).isFalse();
        policy.onHealthCheck(nowUs, handle, true);
        assertThat(isRoutable(handle)).as("on probation").isFalse();
        nowUs += SECOND_US / 2;
        policy.onHealthCheck(nowUs, handle, false); // Restarts the delay.
        nowUs += SECOND_US;
        policy.onHealthCheck(nowUs, handle, true);
        assertThat(isRoutable(handle)).isFalse();
        nowUs += 10 * SECOND_US;
        policy.onHealthCheck(nowUs, handle, true);
        assertThat(isRoutable(handle)).isTrue();
        nowUs += 600 * SECOND_US;
        assertThat(policy.admits(nowUs, handle, HIGH_RANK)).isTrue();
        fail(handle, 3);
        policy.onHealthCheck(nowUs, handle, true);
        assertThat(isRoutable(handle)).isTrue();
    }

    @Test
    void handlesAreReusedAndReplicasWithoutMembersStillCountAsNearest() {
        serveNearestTier();
        policy.onMemberRemoved(handles[0][LOCAL]);
        assertThat(policy.onMemberAdded(1, FAR)).isEqualTo(handles[0][LOCAL]);
        sendReads(handles[0][NEAR], HIGH_RANK, 100, 3);
        assertThat(sendReads(handles[0][NEAR], HIGH_RANK, 100, 5))
                .as("still limited as spill")
                .isLessThan(100);
    }

    @Test
    void newTiersApplyAtOnceAndReplicasThatAreDownStayDown() {
        serveNearestTier();
        takeZoneDown();
        policy.configure(new ZoneSettings(
                0, List.of(new ZoneSettings.Tier(List.of(2), 1), new ZoneSettings.Tier(List.of(1), SPILL)), 10));
        assertThat(policy.costFactor(nowUs, handles[0][FAR])).isEqualTo(2);
        assertThat(isRoutable(handles[0][LOCAL])).isFalse();
        sendReads(handles[0][FAR], HIGH_RANK, 100, 3);
        assertThat(sendReads(handles[0][FAR], HIGH_RANK, 100, 10) / 10.0).isCloseTo(10, within(2.0));
    }

    @Test
    void sameEventsGiveSameDecisions() {
        String first = transcript(new ZoneFailoverPolicyTest());
        assertThat(transcript(new ZoneFailoverPolicyTest())).isEqualTo(first);
    }

    private static String transcript(ZoneFailoverPolicyTest test) {
        test.serveNearestTier();
        test.takeZoneDown();
        int sent = test.sendReads(test.handles[1][NEAR], LOW_RANK, 70, 5);
        test.policy.onHealthCheck(test.nowUs, test.handles[1][LOCAL], true);
        return sent + " " + test.sendReads(test.handles[1][LOCAL], HIGH_RANK, 30, 5) + " " + test.policy;
    }
}
