package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class SharedCommitTableTest {
    private static final long NOW = 1_000_000_000;
    private static final long DEADLINE = NOW + 3_000_000;
    private static final long SESSION = 7;
    private final long[] file = new long[SharedCommitTable.LONGS];
    private final SharedMemoryLongs longs = new SharedMemoryLongs() {
        @Override
        public long get(int index) {
            return file[index];
        }

        @Override
        public void set(int index, long value) {
            file[index] = value;
        }

        @Override
        public boolean swap(int index, long from, long to) {
            boolean same = file[index] == from;
            file[index] = same ? to : from;
            return same;
        }
    };
    private long lives;
    private final SharedCommitTable before = begin(NOW);
    private final SharedCommitTable after = begin(NOW);

    private SharedCommitTable begin(long now) {
        return new SharedCommitTable(longs, ++lives, now);
    }

    /** A write that was sent now and has ended so much later. */
    private static void write(SharedCommitTable by, long us, Outcome outcome, long commitUs) {
        by.sent(NOW, SESSION, DEADLINE);
        by.ended(NOW + us, SESSION, DEADLINE, outcome, commitUs);
    }

    private static long known(long now) {
        return now - Router.KNOWN_AFTER_US;
    }

    @Test
    void oneThatIsAloneIsBoundByNothingItselfDid() {
        Arrays.fill(file, 0);
        SharedCommitTable alone = begin(NOW);
        write(alone, 10, Outcome.OK, NOW + 5);
        write(alone, 10, Outcome.TIMEOUT, 0);
        alone.sent(NOW, SESSION, DEADLINE);
        assertThat(alone.boundUs(NOW + 2_000_000, SESSION)).isZero();
    }

    @Test
    void whatOneAnsweredBindsTheOtherBothWaysAndOfNoOtherSession() {
        write(before, 10, Outcome.OK, NOW - 4_000);
        assertThat(after.boundUs(NOW + 10, SESSION)).as("in milliseconds").isEqualTo(NOW - 3_000);
        assertThat(before.boundUs(NOW + 10, SESSION)).isZero();
        assertThat(after.boundUs(NOW + 10, SESSION + 1)).isZero();
        write(after, 20, Outcome.OK, 0);
        assertThat(before.boundUs(NOW + 2_000, SESSION)).as("not told").isEqualTo(NOW + 1_020);
        write(before, 30, Outcome.OK, NOW - 6_000);
        assertThat(after.boundUs(NOW + 10, SESSION)).as("an older one after it").isEqualTo(NOW - 3_000);
    }

    @Test
    void whatIsOutBindsOnceItsAnswerMayCountAsKnown() {
        before.sent(NOW, SESSION, DEADLINE);
        before.sent(NOW + 50_000, SESSION, DEADLINE);
        assertThat(after.boundUs(NOW + 100_000, SESSION)).isZero();
        assertThat(after.boundUs(NOW + 150_000, SESSION)).isEqualTo(NOW + 50_000);
        before.ended(NOW + 160_000, SESSION, DEADLINE, Outcome.CONNECT_FAILED, 0);
        assertThat(after.boundUs(NOW + 170_000, SESSION)).isEqualTo(NOW + 70_000);
        before.ended(NOW + 180_000, SESSION, DEADLINE, Outcome.WRONG_ROLE_OR_STALE, 0);
        assertThat(after.boundUs(NOW + 190_000, SESSION)).isZero();
    }

    @Test
    void anEndWithoutAWordBindsForAsLongAsItMayBeAnswered() {
        write(before, 10, Outcome.RESET, 0);
        assertThat(after.boundUs(NOW + 10_000, SESSION)).isEqualTo(known(NOW + 10_000));
        assertThat(after.boundUs(NOW + 900_000, SESSION)).isEqualTo(NOW + 10);
        write(before, 20, Outcome.TIMEOUT, 0);
        assertThat(after.boundUs(NOW + 900_000, SESSION)).isEqualTo(known(NOW + 900_000));
        assertThat(after.boundUs(DEADLINE + 900_000, SESSION)).isEqualTo(DEADLINE);
    }

    @Test
    void whatOneHadInHandThatWasKilledBindsUntilItsDeadlineAndForEveryLaterLife() {
        before.sent(NOW, SESSION, DEADLINE);
        SharedCommitTable third = begin(NOW + 500_000);
        for (SharedCommitTable other : new SharedCommitTable[] {after, third}) {
            assertThat(other.boundUs(NOW + 900_000, SESSION)).isEqualTo(known(NOW + 900_000));
            assertThat(other.boundUs(DEADLINE + 900_000, SESSION)).isEqualTo(DEADLINE);
        }
    }

    @Test
    void oneThatStoodStillPastItsDeadlinesIsBelievedAgainWhenItGoesOn() {
        before.sent(NOW, SESSION, DEADLINE);
        before.ended(DEADLINE + 1_000_000, SESSION, DEADLINE, Outcome.OK, DEADLINE + 40_000);
        assertThat(after.boundUs(DEADLINE + 2_000_000, SESSION)).isEqualTo(DEADLINE + 41_000);
    }

    @Test
    void livesThatEndAtTheirStartTakeNobodysPlaceWhoLives() {
        write(after, 10, Outcome.OK, NOW);
        for (long now = NOW; now < NOW + 20; now++) {
            before.beat(now);
            after.beat(now);
            begin(now);
        }
        SharedCommitTable last = begin(NOW + 20);
        write(before, 30, Outcome.OK, NOW + 4_000);
        assertThat(last.boundUs(NOW + 10_000, SESSION)).isEqualTo(NOW + 5_000);
        assertThat(after.boundUs(NOW + 10_000, SESSION)).isEqualTo(NOW + 5_000);
        write(last, 40, Outcome.OK, NOW + 6_000);
        assertThat(before.boundUs(NOW + 10_000, SESSION)).isEqualTo(NOW + 7_000);
    }

    @Test
    void aPlaceTakenOverLosesNothingOfWhatWasInIt() {
        write(before, 10, Outcome.OK, NOW - 4_000);
        before.sent(NOW, SESSION, DEADLINE);
        SharedCommitTable[] later = new SharedCommitTable[SharedCommitTable.PLACES];
        for (int i = 0; i < later.length; i++) {
            later[i] = begin(NOW + 1 + i);
        }
        for (SharedCommitTable other : later) {
            assertThat(other.boundUs(NOW + 10, SESSION)).isEqualTo(NOW - 3_000);
            assertThat(other.boundUs(NOW + 900_000, SESSION)).isEqualTo(known(NOW + 900_000));
        }
    }

    @Test
    void oneWhosePlaceWasTakenWhileItStoodStillTakesAnotherAndShowsWhatItHasOut() {
        before.sent(NOW, SESSION, DEADLINE);
        SharedCommitTable[] later = new SharedCommitTable[SharedCommitTable.PLACES];
        for (int i = 0; i < later.length; i++) {
            later[i] = begin(NOW + 1 + i);
        }
        before.beat(NOW + 100);
        for (SharedCommitTable other : later) {
            assertThat(other.boundUs(NOW + 900_000, SESSION)).isEqualTo(known(NOW + 900_000));
        }
        before.ended(NOW + 900_000, SESSION, DEADLINE, Outcome.OK, NOW + 898_000);
        for (SharedCommitTable other : later) {
            assertThat(other.boundUs(NOW + 990_000, SESSION)).isEqualTo(NOW + 899_000);
        }
    }

    @Test
    void marksOfAClockThatWasAheadAndWhateverElseIsThereBindToNowAtMost() {
        SplittableRandom draw = new SplittableRandom(7);
        write(before, 10, Outcome.OK, NOW + 9_000_000);
        assertThat(after.boundUs(NOW, SESSION)).isEqualTo(NOW);
        Arrays.setAll(file, i -> i % 3 == 0 ? 0 : draw.nextLong());
        SharedCommitTable amid = begin(NOW);
        amid.sent(NOW, SESSION, DEADLINE);
        amid.ended(NOW, SESSION, DEADLINE, Outcome.OK, NOW);
        for (long s = 0; s < 1000; s++) {
            assertThat(amid.boundUs(NOW, s)).isBetween(0L, NOW);
        }
    }
}
