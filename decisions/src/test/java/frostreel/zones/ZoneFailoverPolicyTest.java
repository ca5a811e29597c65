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
    private final ZoneFailoverPolicy adviser = new ZoneFailoverPolicy(settings, zones, 0.5);
    /** By group and zone. */
    private final int[][] seats = new int[4][3];

    private long now = 1_000 * SECOND;

    ZoneFailoverPolicyTest() {
        for (int g = 0; g < seats.length; g++) {
            for (int z = 0; z < 3; z++) {
                seats[g][z] = adviser.seat(g, z);
            }
        }
    }

    private static Router.RequestClass read(String name, double worth) {
        return new Router.RequestClass(
                name,
                Router.Access.ANY,
                Router.Idempotency.SAFE,
                Router.DeduplicationScope.GROUP,
                0,
                0,
                200_000,
                SECOND,
                worth,
                0);
    }

    /** Reads of 40 ms: so many a second to one seat, as far as it permits; the number that went. */
    private int ask(int seat, int cls, int perSecond, double seconds) {
        int went = 0;
        for (int i = 0; i < perSecond * seconds; i++) {
            now += SECOND / perSecond;
            if (adviser.price(now, seat) < Double.POSITIVE_INFINITY && adviser.permits(now, seat, cls)) {
                adviser.sent(now, seat, cls, WORK);
                adviser.ended(now, seat, Outcome.OK, WORK);
                went++;
            }
        }
        return went;
    }

    private void calm() {
        for (int i = 0; i < 40; i++) {
            for (int[] group : seats) {
                assertThat(ask(group[0], CHEAP, 10, 1)).isEqualTo(10);
            }
        }
    }

    private void fail(int seat, int times) {
        for (int i = 0; i < times; i++) {
            now += 250_000;
            adviser.ended(now, seat, Outcome.CONNECT_FAILED, WORK);
        }
    }

    private boolean open(int seat) {
        return adviser.price(now, seat) < Double.POSITIVE_INFINITY;
    }

    private void loseZone() {
        for (int[] group : seats) {
            fail(group[0], 3);
        }
    }

    @Test
    void tiersAreDearerTheFartherTheyAre() {
        assertThat(adviser.price(now, seats[0][0])).isEqualTo(1);
        assertThat(adviser.price(now, seats[0][1])).isEqualTo(2);
        assertThat(adviser.price(now, seats[0][2])).isEqualTo(4);
        assertThatThrownBy(() -> new ZoneSettings.Tier(List.of(1), 0)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void oneFailureIsNoLossAndAnAnswerBetweenThemStartsAnew() {
        calm();
        fail(seats[0][0], 2);
        adviser.ended(now, seats[0][0], Outcome.MISS, WORK);
        fail(seats[0][0], 2);
        assertThat(open(seats[0][0])).isTrue();
        fail(seats[0][0], 1);
        assertThat(open(seats[0][0])).isFalse();
        assertThat(open(seats[1][0])).isTrue();
    }

    @Test
    void aZoneWithNoSignOfLifeAnywhereIsLostAsAWhole() {
        calm();
        fail(seats[0][0], 2);
        fail(seats[1][0], 1);
        assertThat(open(seats[0][0])).isTrue();
        fail(seats[2][0], 1);
        for (int[] group : seats) {
            assertThat(open(group[0])).isFalse();
        }
        assertThat(open(seats[0][1])).isTrue();
        adviser.probed(now, seats[3][0], true); // Nothing of its own had failed: no ramp.
        assertThat(ask(seats[3][0], CHEAP, 50, 1)).isEqualTo(50);
        adviser.probed(now, seats[1][0], true);
        assertThat(adviser.permits(now, seats[1][0], CHEAP)).as("in a ramp").isFalse();
    }

    @Test
    void oneAreaThatFailsDoesNotTakeItsZoneAlong() {
        calm();
        fail(seats[0][0], 9);
        assertThat(open(seats[0][0])).isFalse();
        assertThat(open(seats[1][0])).isTrue();
    }

    @Test
    void onlySoMuchSpillsAsTheTiersShareOfWhatTheNearestServed() {
        calm();
        loseZone();
        ask(seats[0][1], CHEAP, 100, 3); // What was saved up is used.
        int went = ask(seats[0][1], CHEAP, 100, 20);
        // Ten reads a second had gone to one of the four groups at a time.
        assertThat(went / 20.0).isCloseTo(SPILL * 10, within(0.5));
    }

    @Test
    void whatIsWorthLessForItsWorkIsTurnedDownFirst() {
        calm();
        loseZone();
        ask(seats[0][1], CHEAP, 100, 3);
        int cheap = 0;
        int dear = 0;
        for (int i = 0; i < 200; i++) {
            dear += ask(seats[0][1], DEAR, 10, 0.1);
            cheap += ask(seats[0][1], CHEAP, 10, 0.1);
        }
        assertThat(cheap).isGreaterThan(5 * Math.max(1, dear));
    }

    @Test
    void inCalmATierServesOnlyItsShareAndAGroupWithoutNearMembersIsNotBound() {
        calm();
        assertThat(ask(seats[0][2], CHEAP, 100, 10)).isLessThan(100);
        int far = adviser.seat(9, 1);
        assertThat(ask(far, CHEAP, 100, 2)).isEqualTo(200);
    }

    @Test
    void aReturnBeginsAtItsColdShareAndIsWholeWhenWarm() {
        calm();
        loseZone();
        int seat = seats[0][0];
        assertThat(adviser.wantsProbe(now, seat)).isTrue();
        assertThat(adviser.wantsProbe(now, seat)).as("so soon again").isFalse();
        adviser.probed(now, seat, true);
        assertThat(open(seat)).isTrue();
        assertThat(adviser.permits(now, seat, CHEAP))
                .as("its budget begins below nothing")
                .isFalse();
        double first = ask(seat, CHEAP, 50, 3) / 3.0;
        assertThat(first).isBetween(0.3, 1.5); // Of 2.5 a second before; cold it can do 0.2 to 0.36 of that.
        ask(seat, CHEAP, 50, 12);
        assertThat(ask(seat, CHEAP, 50, 1)).isEqualTo(50);
        assertThat(adviser.toString()).contains("returns=1").contains("0={UP=1, LOST=3}");
    }

    @Test
    void aSecondLossWithinAMinuteHoldsTheReturnAndMinutesLaterItDoesNot() {
        calm();
        int seat = seats[0][0];
        fail(seat, 3);
        adviser.probed(now, seat, true);
        assertThat(open(seat)).isTrue();
        now += 10 * SECOND;
        fail(seat, 1); // During the ramp one failure is enough.
        assertThat(open(seat)).isFalse();
        adviser.probed(now, seat, true);
        assertThat(open(seat)).as("held").isFalse();
        now += SECOND / 2;
        adviser.probed(now, seat, false); // The wait begins anew.
        now += SECOND;
        adviser.probed(now, seat, true);
        assertThat(open(seat)).isFalse();
        now += 10 * SECOND;
        adviser.probed(now, seat, true);
        assertThat(open(seat)).isTrue();
        now += 600 * SECOND;
        assertThat(adviser.permits(now, seat, CHEAP)).isTrue();
        fail(seat, 3);
        adviser.probed(now, seat, true);
        assertThat(open(seat)).isTrue();
    }

    @Test
    void seatsAreGivenAgainAndAnAreaWithoutMembersIsStillMissed() {
        calm();
        adviser.left(seats[0][0]);
        assertThat(adviser.seat(1, 2)).isEqualTo(seats[0][0]);
        ask(seats[0][1], CHEAP, 100, 3);
        assertThat(ask(seats[0][1], CHEAP, 100, 5)).as("still a spill").isLessThan(100);
    }

    @Test
    void newSettingsHoldAtOnceAndWhatIsLostStaysLost() {
        calm();
        loseZone();
        adviser.configure(new ZoneSettings(
                0, List.of(new ZoneSettings.Tier(List.of(2), 1), new ZoneSettings.Tier(List.of(1), SPILL)), 10));
        assertThat(adviser.price(now, seats[0][2])).isEqualTo(2);
        assertThat(open(seats[0][0])).isFalse();
        ask(seats[0][2], CHEAP, 100, 3);
        assertThat(ask(seats[0][2], CHEAP, 100, 10) / 10.0).isCloseTo(10, within(2.0));
    }

    @Test
    void equalEventsGiveEqualAnswers() {
        String first = story(new ZoneFailoverPolicyTest());
        assertThat(story(new ZoneFailoverPolicyTest())).isEqualTo(first);
    }

    private static String story(ZoneFailoverPolicyTest t) {
        t.calm();
        t.loseZone();
        int went = t.ask(t.seats[1][1], DEAR, 70, 5);
        t.adviser.probed(t.now, t.seats[1][0], true);
        return went + " " + t.ask(t.seats[1][0], CHEAP, 30, 5) + " " + t.adviser;
    }
}
