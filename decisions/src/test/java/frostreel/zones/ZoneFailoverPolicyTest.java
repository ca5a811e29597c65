package frostreel.zones;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import frostreel.routing.Limits;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A pooler in zone 0 with zones 1 and 2 as its tiers, and four groups with a member in each zone. */
class ZoneFailoverPolicyTest {
    private static final int CHEAP = 0;
    private static final int DEAR = 1;
    private static final double WORK_US = 40_000;
    private static final long SECOND_US = 1_000_000;
    private static final double SPILL = 0.25;
    private final Router.Settings settings = new Router.Settings(
            1,
            0,
            0,
            1000,
            List.of(read("cheap", 2), read("dear", 1)),
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
                    .holdsForUs(50_000)
                    .idleCloseUs(30 * SECOND_US)
                    .build(),
            new Router.Rules(20_000, SECOND_US, false, 0.2, 15 * SECOND_US, 3, 2 * SECOND_US));
    private final ZoneSettings zones = new ZoneSettings(
            0, List.of(new ZoneSettings.Tier(List.of(1), SPILL), new ZoneSettings.Tier(List.of(), SPILL)), 10);
    private final ZoneFailoverPolicy policy = new ZoneFailoverPolicy(settings, zones, 0.5);
    /** Handles by group and zone. */
    private final int[][] handles = new int[4][3];

    private long now = 1_000 * SECOND_US;

    ZoneFailoverPolicyTest() {
        for (int g = 0; g < handles.length; g++) {
            for (int z = 0; z < 3; z++) {
                handles[g][z] = policy.onMemberAdded(g, z);
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

    /** Offers reads of 40 ms to one member at a rate; returns how many were admitted, sent and answered. */
    private int sendReads(int handle, int classIndex, int perSecond, double seconds) {
        int admitted = 0;
        for (int i = 0; i < perSecond * seconds; i++) {
            now += SECOND_US / perSecond;
            if (policy.costFactor(now, handle) < Double.POSITIVE_INFINITY && policy.admits(now, handle, classIndex)) {
                policy.onAttemptSent(now, handle, classIndex, WORK_US);
                policy.onAttemptEnded(now, handle, Outcome.OK, WORK_US);
                admitted++;
            }
        }
        return admitted;
    }

    private void serveNearestTier() {
        for (int i = 0; i < 40; i++) {
            for (int[] group : handles) {
                assertThat(sendReads(group[0], CHEAP, 10, 1)).isEqualTo(10);
            }
        }
    }

    private void fail(int handle, int times) {
        for (int i = 0; i < times; i++) {
            now += 250_000;
            policy.onAttemptEnded(now, handle, Outcome.CONNECT_FAILED, WORK_US);
        }
    }

    private boolean isOpen(int handle) {
        return policy.costFactor(now, handle) < Double.POSITIVE_INFINITY;
    }

    private void takeZoneDown() {
        for (int[] group : handles) {
            fail(group[0], 3);
        }
    }

    @Test
    void costFactorDoublesWithEachTier() {
        assertThat(policy.costFactor(now, handles[0][0])).isEqualTo(1);
        assertThat(policy.costFactor(now, handles[0][1])).isEqualTo(2);
        assertThat(policy.costFactor(now, handles[0][2])).isEqualTo(4);
        assertThatThrownBy(() -> new ZoneSettings.Tier(List.of(1), 0)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void replicasGoDownByThreeFailuresWithoutAnAnswerBetween() {
        serveNearestTier();
        fail(handles[0][0], 2);
        policy.onAttemptEnded(now, handles[0][0], Outcome.WRONG_ROLE_OR_STALE, WORK_US);
        fail(handles[0][0], 2);
        assertThat(isOpen(handles[0][0])).isTrue();
        fail(handles[0][0], 1);
        assertThat(isOpen(handles[0][0])).isFalse();
        assertThat(isOpen(handles[1][0])).isTrue();
    }

    @Test
    void zoneWithFailuresInSeveralGroupsAndNoAnswerGoesDownAsAWhole() {
        serveNearestTier();
        fail(handles[0][0], 2);
        fail(handles[1][0], 1);
        assertThat(isOpen(handles[0][0])).isTrue();
        fail(handles[2][0], 1);
        for (int[] group : handles) {
            assertThat(isOpen(group[0])).isFalse();
        }
        assertThat(isOpen(handles[0][1])).isTrue();
        policy.onHealthCheck(now, handles[3][0], true); // It had no failure of its own: no ramp.
        assertThat(sendReads(handles[3][0], CHEAP, 50, 1)).isEqualTo(50);
        policy.onHealthCheck(now, handles[1][0], true);
        assertThat(policy.admits(now, handles[1][0], CHEAP)).as("in a ramp").isFalse();
    }

    @Test
    void failuresOfOneGroupDoNotTakeItsZoneDown() {
        serveNearestTier();
        fail(handles[0][0], 9);
        assertThat(isOpen(handles[0][0])).isFalse();
        assertThat(isOpen(handles[1][0])).isTrue();
    }

    @Test
    void spillIsBoundedByTheTiersShareOfWhatTheNearestServed() {
        serveNearestTier();
        takeZoneDown();
        sendReads(handles[0][1], CHEAP, 100, 3); // Uses what the budget had saved up.
        int sent = sendReads(handles[0][1], CHEAP, 100, 20);
        // Ten reads a second sent to one of the four groups at a time.
        assertThat(sent / 20.0).isCloseTo(SPILL * 10, within(0.5));
    }

    @Test
    void classesOfLessWeightForTheirWorkAreDeniedFirst() {
        serveNearestTier();
        takeZoneDown();
        sendReads(handles[0][1], CHEAP, 100, 3);
        int cheap = 0;
        int dear = 0;
        for (int i = 0; i < 200; i++) {
            dear += sendReads(handles[0][1], DEAR, 10, 0.1);
            cheap += sendReads(handles[0][1], CHEAP, 10, 0.1);
        }
        assertThat(cheap).isGreaterThan(5 * Math.max(1, dear));
    }

    @Test
    void withoutOutageATierServesItsShareAndGroupsWithoutNearerMembersAreNotBounded() {
        serveNearestTier();
        assertThat(sendReads(handles[0][2], CHEAP, 100, 10)).isLessThan(100);
        int far = policy.onMemberAdded(9, 1);
        assertThat(sendReads(far, CHEAP, 100, 2)).isEqualTo(200);
    }

    @Test
    void recoveringReplicasAreRampedUpFromTheirColdShare() {
        serveNearestTier();
        takeZoneDown();
        int handle = handles[0][0];
        assertThat(policy.healthCheckDue(now, handle)).isTrue();
        assertThat(policy.healthCheckDue(now, handle)).as("again right away").isFalse();
        policy.onHealthCheck(now, handle, true);
        assertThat(isOpen(handle)).isTrue();
        assertThat(policy.admits(now, handle, CHEAP))
                .as("the ramp begins below zero")
                .isFalse();
        double first = sendReads(handle, CHEAP, 50, 3) / 3.0;
        assertThat(first).isBetween(0.3, 1.5); // Of 2.5 a second before; cold it can do 0.2 to 0.36 of that.
        sendReads(handle, CHEAP, 50, 12);
        assertThat(sendReads(handle, CHEAP, 50, 1)).isEqualTo(50);
        assertThat(policy.toString()).contains("recoveries=1").contains("0={UP=1, DOWN=3}");
    }

    @Test
    void secondOutageWithinAMinuteDelaysTheRecoveryAndMinutesLaterItDoesNot() {
        serveNearestTier();
        int handle = handles[0][0];
        fail(handle, 3);
        policy.onHealthCheck(now, handle, true);
        assertThat(isOpen(handle)).isTrue();
        now += 10 * SECOND_US;
        fail(handle, 1); // During a ramp one failure is enough.
        assertThat(isOpen(handle)).isFalse();
        policy.onHealthCheck(now, handle, true);
        assertThat(isOpen(handle)).as("on probation").isFalse();
        now += SECOND_US / 2;
        policy.onHealthCheck(now, handle, false); // The delay starts again.
        now += SECOND_US;
        policy.onHealthCheck(now, handle, true);
        assertThat(isOpen(handle)).isFalse();
        now += 10 * SECOND_US;
        policy.onHealthCheck(now, handle, true);
        assertThat(isOpen(handle)).isTrue();
        now += 600 * SECOND_US;
        assertThat(policy.admits(now, handle, CHEAP)).isTrue();
        fail(handle, 3);
        policy.onHealthCheck(now, handle, true);
        assertThat(isOpen(handle)).isTrue();
    }

    @Test
    void handlesAreReusedAndReplicasWithoutMembersStillCountAsNearest() {
        serveNearestTier();
        policy.onMemberRemoved(handles[0][0]);
        assertThat(policy.onMemberAdded(1, 2)).isEqualTo(handles[0][0]);
        sendReads(handles[0][1], CHEAP, 100, 3);
        assertThat(sendReads(handles[0][1], CHEAP, 100, 5)).as("still a spill").isLessThan(100);
    }

    @Test
    void newTiersApplyAtOnceAndReplicasThatAreDownStayDown() {
        serveNearestTier();
        takeZoneDown();
        policy.configure(new ZoneSettings(
                0, List.of(new ZoneSettings.Tier(List.of(2), 1), new ZoneSettings.Tier(List.of(1), SPILL)), 10));
        assertThat(policy.costFactor(now, handles[0][2])).isEqualTo(2);
        assertThat(isOpen(handles[0][0])).isFalse();
        sendReads(handles[0][2], CHEAP, 100, 3);
        assertThat(sendReads(handles[0][2], CHEAP, 100, 10) / 10.0).isCloseTo(10, within(2.0));
    }

    @Test
    void equalEventsGiveEqualDecisions() {
        String first = play(new ZoneFailoverPolicyTest());
        assertThat(play(new ZoneFailoverPolicyTest())).isEqualTo(first);
    }

    private static String play(ZoneFailoverPolicyTest test) {
        test.serveNearestTier();
        test.takeZoneDown();
        int sent = test.sendReads(test.handles[1][1], DEAR, 70, 5);
        test.policy.onHealthCheck(test.now, test.handles[1][0], true);
        return sent + " " + test.sendReads(test.handles[1][0], CHEAP, 30, 5) + " " + test.policy;
    }
}
