package frostreel.zones;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One pooler in zone 0, zone 1 next, zone 2 behind it; groups with a member in each zone. */
class ZoneFailoverPolicyTest {
    private static final int CHEAP = 0;
    private static final int DEAR = 1;
    private static final double WORK = 40_000;
    private static final long SECOND = 1_000_000;
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
            new Router.Limits(10, Router.Probes.REPORT, true, true, SECOND, false, 0, 250_000, 50_000, 30 * SECOND, 1),
            new Router.Rules(20_000, SECOND, false, 0.2, 15 * SECOND, 3, 2 * SECOND));
    private final ZoneSettings zones = new ZoneSettings(
            0, List.of(new ZoneSettings.Tier(List.of(1), SPILL), new ZoneSettings.Tier(List.of(), SPILL)), 10);
    private final ZoneFailoverPolicy policy = new ZoneFailoverPolicy(settings, zones, 0.5);
    /** By group and zone. */
    private final int[][] handles = new int[4][3];

    private long now = 1_000 * SECOND;

    ZoneFailoverPolicyTest() {
        for (int g = 0; g < handles.length; g++) {
            for (int z = 0; z < 3; z++) {
                handles[g][z] = policy.memberHandle(g, z);
            }
        }
    }

    private static Router.RequestClass read(String name, double worth) {
        return new Router.RequestClass(
                name,
                Router.Access.ANY,
                Router.Idempotency.IDEMPOTENT,
                Router.DeduplicationScope.GROUP,
                0,
                0,
                200_000,
                SECOND,
                worth,
                0);
    }

    /** Reads of 40 ms: so many a second to one seat, as far as it permits; the number that went. */
    private int ask(int handle, int cls, int perSecond, double seconds) {
        int went = 0;
        for (int i = 0; i < perSecond * seconds; i++) {
            now += SECOND / perSecond;
            if (policy.costFactor(now, handle) < Double.POSITIVE_INFINITY && policy.admits(now, handle, cls)) {
                policy.sent(now, handle, cls, WORK);
                policy.ended(now, handle, Outcome.OK, WORK);
                went++;
            }
        }
        return went;
    }

    private void calm() {
        for (int i = 0; i < 40; i++) {
            for (int[] group : handles) {
                assertThat(ask(group[0], CHEAP, 10, 1)).isEqualTo(10);
            }
        }
    }

    private void fail(int handle, int times) {
        for (int i = 0; i < times; i++) {
            now += 250_000;
            policy.ended(now, handle, Outcome.CONNECT_FAILED, WORK);
        }
    }

    private boolean open(int handle) {
        return policy.costFactor(now, handle) < Double.POSITIVE_INFINITY;
    }

    private void loseZone() {
        for (int[] group : handles) {
            fail(group[0], 3);
        }
    }

    @Test
    void tiersAreDearerTheFartherTheyAre() {
        assertThat(policy.costFactor(now, handles[0][0])).isEqualTo(1);
        assertThat(policy.costFactor(now, handles[0][1])).isEqualTo(2);
        assertThat(policy.costFactor(now, handles[0][2])).isEqualTo(4);
        assertThatThrownBy(() -> new ZoneSettings.Tier(List.of(1), 0)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void oneFailureIsNoLossAndAnAnswerBetweenThemStartsAnew() {
        calm();
        fail(handles[0][0], 2);
        policy.ended(now, handles[0][0], Outcome.WRONG_ROLE_OR_STALE, WORK);
        fail(handles[0][0], 2);
        assertThat(open(handles[0][0])).isTrue();
        fail(handles[0][0], 1);
        assertThat(open(handles[0][0])).isFalse();
        assertThat(open(handles[1][0])).isTrue();
    }

    @Test
    void aZoneWithNoSignOfLifeAnywhereIsLostAsAWhole() {
        calm();
        fail(handles[0][0], 2);
        fail(handles[1][0], 1);
        assertThat(open(handles[0][0])).isTrue();
        fail(handles[2][0], 1);
        for (int[] group : handles) {
            assertThat(open(group[0])).isFalse();
        }
        assertThat(open(handles[0][1])).isTrue();
        policy.probed(now, handles[3][0], true); // Nothing of its own had failed: no ramp.
        assertThat(ask(handles[3][0], CHEAP, 50, 1)).isEqualTo(50);
        policy.probed(now, handles[1][0], true);
        assertThat(policy.admits(now, handles[1][0], CHEAP)).as("in a ramp").isFalse();
    }

    @Test
    void oneAreaThatFailsDoesNotTakeItsZoneAlong() {
        calm();
        fail(handles[0][0], 9);
        assertThat(open(handles[0][0])).isFalse();
        assertThat(open(handles[1][0])).isTrue();
    }

    @Test
    void onlySoMuchSpillsAsTheTiersShareOfWhatTheNearestServed() {
        calm();
        loseZone();
        ask(handles[0][1], CHEAP, 100, 3); // What was saved up is used.
        int went = ask(handles[0][1], CHEAP, 100, 20);
        // Ten reads a second had gone to one of the four groups at a time.
        assertThat(went / 20.0).isCloseTo(SPILL * 10, within(0.5));
    }

    @Test
    void whatIsWorthLessForItsWorkIsTurnedDownFirst() {
        calm();
        loseZone();
        ask(handles[0][1], CHEAP, 100, 3);
        int cheap = 0;
        int dear = 0;
        for (int i = 0; i < 200; i++) {
            dear += ask(handles[0][1], DEAR, 10, 0.1);
            cheap += ask(handles[0][1], CHEAP, 10, 0.1);
        }
        assertThat(cheap).isGreaterThan(5 * Math.max(1, dear));
    }

    @Test
    void inCalmATierServesOnlyItsShareAndAGroupWithoutNearMembersIsNotBound() {
        calm();
        assertThat(ask(handles[0][2], CHEAP, 100, 10)).isLessThan(100);
        int far = policy.memberHandle(9, 1);
        assertThat(ask(far, CHEAP, 100, 2)).isEqualTo(200);
    }

    @Test
    void aReturnBeginsAtItsColdShareAndIsWholeWhenWarm() {
        calm();
        loseZone();
        int handle = handles[0][0];
        assertThat(policy.healthCheckDue(now, handle)).isTrue();
        assertThat(policy.healthCheckDue(now, handle)).as("so soon again").isFalse();
        policy.probed(now, handle, true);
        assertThat(open(handle)).isTrue();
        assertThat(policy.admits(now, handle, CHEAP))
                .as("its budget begins below nothing")
                .isFalse();
        double first = ask(handle, CHEAP, 50, 3) / 3.0;
        assertThat(first).isBetween(0.3, 1.5); // Of 2.5 a second before; cold it can do 0.2 to 0.36 of that.
        ask(handle, CHEAP, 50, 12);
        assertThat(ask(handle, CHEAP, 50, 1)).isEqualTo(50);
        assertThat(policy.toString()).contains("returns=1").contains("0={UP=1, LOST=3}");
    }

    @Test
    void aSecondLossWithinAMinuteHoldsTheReturnAndMinutesLaterItDoesNot() {
        calm();
        int handle = handles[0][0];
        fail(handle, 3);
        policy.probed(now, handle, true);
        assertThat(open(handle)).isTrue();
        now += 10 * SECOND;
        fail(handle, 1); // During the ramp one failure is enough.
        assertThat(open(handle)).isFalse();
        policy.probed(now, handle, true);
        assertThat(open(handle)).as("held").isFalse();
        now += SECOND / 2;
        policy.probed(now, handle, false); // The wait begins anew.
        now += SECOND;
        policy.probed(now, handle, true);
        assertThat(open(handle)).isFalse();
        now += 10 * SECOND;
        policy.probed(now, handle, true);
        assertThat(open(handle)).isTrue();
        now += 600 * SECOND;
        assertThat(policy.admits(now, handle, CHEAP)).isTrue();
        fail(handle, 3);
        policy.probed(now, handle, true);
        assertThat(open(handle)).isTrue();
    }

    @Test
    void seatsAreGivenAgainAndAnAreaWithoutMembersIsStillMissed() {
        calm();
        policy.left(handles[0][0]);
        assertThat(policy.memberHandle(1, 2)).isEqualTo(handles[0][0]);
        ask(handles[0][1], CHEAP, 100, 3);
        assertThat(ask(handles[0][1], CHEAP, 100, 5)).as("still a spill").isLessThan(100);
    }

    @Test
    void newSettingsHoldAtOnceAndWhatIsLostStaysLost() {
        calm();
        loseZone();
        policy.configure(new ZoneSettings(
                0, List.of(new ZoneSettings.Tier(List.of(2), 1), new ZoneSettings.Tier(List.of(1), SPILL)), 10));
        assertThat(policy.costFactor(now, handles[0][2])).isEqualTo(2);
        assertThat(open(handles[0][0])).isFalse();
        ask(handles[0][2], CHEAP, 100, 3);
        assertThat(ask(handles[0][2], CHEAP, 100, 10) / 10.0).isCloseTo(10, within(2.0));
    }

    @Test
    void equalEventsGiveEqualAnswers() {
        String first = story(new ZoneFailoverPolicyTest());
        assertThat(story(new ZoneFailoverPolicyTest())).isEqualTo(first);
    }

    private static String story(ZoneFailoverPolicyTest t) {
        t.calm();
        t.loseZone();
        int went = t.ask(t.handles[1][1], DEAR, 70, 5);
        t.policy.probed(t.now, t.handles[1][0], true);
        return went + " " + t.ask(t.handles[1][0], CHEAP, 30, 5) + " " + t.policy;
    }
}
