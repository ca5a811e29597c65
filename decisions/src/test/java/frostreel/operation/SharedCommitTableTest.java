package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests which positions reads must see, given the writes of several processes that share the memory. */
class SharedCommitTableTest {
    private static final long NOW_US = 1_000_000_000;
    private static final long DEADLINE_US = NOW_US + 3_000_000;
    private static final long SESSION = 7;
    private final SharedMemoryArray memory = new SharedMemoryArray(SharedCommitTable.LONGS);
    private final long[] values = memory.values;
    private long lastIncarnation;
    private final SharedCommitTable before = startProcess(NOW_US);
    private final SharedCommitTable after = startProcess(NOW_US);

    private SharedCommitTable startProcess(long nowUs) {
        return new SharedCommitTable(memory, ++lastIncarnation, nowUs);
    }

    /** A write that is sent at {@link #NOW_US} and ends {@code afterUs} later. */
    private static void write(SharedCommitTable process, long afterUs, Outcome outcome, long commitUs) {
        process.onSent(NOW_US, SESSION, DEADLINE_US);
        process.onEnded(NOW_US + afterUs, SESSION, DEADLINE_US, outcome, commitUs);
    }

    private static long knownUs(long nowUs) {
        return nowUs - Router.KNOWN_AFTER_US;
    }

    @Test
    void ownWritesRequireNothing() {
        Arrays.fill(values, 0);
        SharedCommitTable alone = startProcess(NOW_US);
        write(alone, 10, Outcome.OK, NOW_US + 5);
        write(alone, 10, Outcome.TIMEOUT, 0);
        alone.onSent(NOW_US, SESSION, DEADLINE_US);
        assertThat(alone.requiredPositionUs(NOW_US + 2_000_000, SESSION)).isZero();
    }

    @Test
    void answeredCommitIsRequiredByTheOtherProcessForThatSessionOnly() {
        write(before, 10, Outcome.OK, NOW_US - 4_000);
        assertThat(after.requiredPositionUs(NOW_US + 10, SESSION))
                .as("rounded up to milliseconds")
                .isEqualTo(NOW_US - 3_000);
        assertThat(before.requiredPositionUs(NOW_US + 10, SESSION)).isZero();
        assertThat(after.requiredPositionUs(NOW_US + 10, SESSION + 1)).isZero();
        write(after, 20, Outcome.OK, 0);
        assertThat(before.requiredPositionUs(NOW_US + 2_000, SESSION))
                .as("the server reported no position")
                .isEqualTo(NOW_US + 1_020);
        write(before, 30, Outcome.OK, NOW_US - 6_000);
        assertThat(after.requiredPositionUs(NOW_US + 10, SESSION))
                .as("an older commit that is reported later")
                .isEqualTo(NOW_US - 3_000);
    }

    @Test
    void writeInFlightIsRequiredOnceItsResponseMayCountAsKnown() {
        before.onSent(NOW_US, SESSION, DEADLINE_US);
        before.onSent(NOW_US + 50_000, SESSION, DEADLINE_US);
        assertThat(after.requiredPositionUs(NOW_US + 100_000, SESSION)).isZero();
        assertThat(after.requiredPositionUs(NOW_US + 150_000, SESSION)).isEqualTo(NOW_US + 50_000);
        before.onEnded(NOW_US + 160_000, SESSION, DEADLINE_US, Outcome.CONNECT_FAILED, 0);
        assertThat(after.requiredPositionUs(NOW_US + 170_000, SESSION)).isEqualTo(NOW_US + 70_000);
        before.onEnded(NOW_US + 180_000, SESSION, DEADLINE_US, Outcome.WRONG_ROLE_OR_STALE, 0);
        assertThat(after.requiredPositionUs(NOW_US + 190_000, SESSION)).isZero();
    }

    @Test
    void writeOfUnknownOutcomeIsRequiredWhileItMayCommit() {
        write(before, 10, Outcome.RESET, 0);
        assertThat(after.requiredPositionUs(NOW_US + 10_000, SESSION)).isEqualTo(knownUs(NOW_US + 10_000));
        assertThat(after.requiredPositionUs(NOW_US + 900_000, SESSION)).isEqualTo(NOW_US + 10);
        write(before, 20, Outcome.TIMEOUT, 0);
        assertThat(after.requiredPositionUs(NOW_US + 900_000, SESSION)).isEqualTo(knownUs(NOW_US + 900_000));
        assertThat(after.requiredPositionUs(DEADLINE_US + 900_000, SESSION)).isEqualTo(DEADLINE_US);
    }

    @Test
    void writesInFlightOfKilledProcessAreRequiredUntilTheirDeadline() {
        before.onSent(NOW_US, SESSION, DEADLINE_US);
        SharedCommitTable laterProcess = startProcess(NOW_US + 500_000);
        for (SharedCommitTable other : new SharedCommitTable[] {after, laterProcess}) {
            assertThat(other.requiredPositionUs(NOW_US + 900_000, SESSION)).isEqualTo(knownUs(NOW_US + 900_000));
            assertThat(other.requiredPositionUs(DEADLINE_US + 900_000, SESSION)).isEqualTo(DEADLINE_US);
        }
    }

    @Test
    void commitOfProcessSuspendedPastItsDeadlineIsRequiredOnceResumed() {
        before.onSent(NOW_US, SESSION, DEADLINE_US);
        before.onEnded(DEADLINE_US + 1_000_000, SESSION, DEADLINE_US, Outcome.OK, DEADLINE_US + 40_000);
        assertThat(after.requiredPositionUs(DEADLINE_US + 2_000_000, SESSION)).isEqualTo(DEADLINE_US + 41_000);
    }

    @Test
    void shortLivedProcessesDoNotTakeRegionsOfLivingOnes() {
        write(after, 10, Outcome.OK, NOW_US);
        for (long nowUs = NOW_US; nowUs < NOW_US + 20; nowUs++) {
            before.onHeartbeat(nowUs);
            after.onHeartbeat(nowUs);
            startProcess(nowUs);
        }
        SharedCommitTable last = startProcess(NOW_US + 20);
        write(before, 30, Outcome.OK, NOW_US + 4_000);
        assertThat(last.requiredPositionUs(NOW_US + 10_000, SESSION)).isEqualTo(NOW_US + 5_000);
        assertThat(after.requiredPositionUs(NOW_US + 10_000, SESSION)).isEqualTo(NOW_US + 5_000);
        write(last, 40, Outcome.OK, NOW_US + 6_000);
        assertThat(before.requiredPositionUs(NOW_US + 10_000, SESSION)).isEqualTo(NOW_US + 7_000);
    }

    @Test
    void reusedRegionKeepsItsContent() {
        write(before, 10, Outcome.OK, NOW_US - 4_000);
        before.onSent(NOW_US, SESSION, DEADLINE_US);
        SharedCommitTable[] later = new SharedCommitTable[OwnedRegion.REGIONS];
        for (int i = 0; i < later.length; i++) {
            later[i] = startProcess(NOW_US + 1 + i);
        }
        for (SharedCommitTable other : later) {
            assertThat(other.requiredPositionUs(NOW_US + 10, SESSION)).isEqualTo(NOW_US - 3_000);
            assertThat(other.requiredPositionUs(NOW_US + 900_000, SESSION)).isEqualTo(knownUs(NOW_US + 900_000));
        }
    }

    @Test
    void suspendedProcessThatLostItsRegionClaimsAnother() {
        before.onSent(NOW_US, SESSION, DEADLINE_US);
        SharedCommitTable[] later = new SharedCommitTable[OwnedRegion.REGIONS];
        for (int i = 0; i < later.length; i++) {
            later[i] = startProcess(NOW_US + 1 + i);
        }
        before.onHeartbeat(NOW_US + 100);
        for (SharedCommitTable other : later) {
            assertThat(other.requiredPositionUs(NOW_US + 900_000, SESSION)).isEqualTo(knownUs(NOW_US + 900_000));
        }
        before.onEnded(NOW_US + 900_000, SESSION, DEADLINE_US, Outcome.OK, NOW_US + 898_000);
        for (SharedCommitTable other : later) {
            assertThat(other.requiredPositionUs(NOW_US + 990_000, SESSION)).isEqualTo(NOW_US + 899_000);
        }
    }

    @Test
    void futureTimesAndCorruptedMemoryRequireAtMostThePresent() {
        SplittableRandom random = new SplittableRandom(7);
        write(before, 10, Outcome.OK, NOW_US + 9_000_000);
        assertThat(after.requiredPositionUs(NOW_US, SESSION)).isEqualTo(NOW_US);
        Arrays.setAll(values, i -> i % 3 == 0 ? 0 : random.nextLong());
        SharedCommitTable onCorruptedMemory = startProcess(NOW_US);
        onCorruptedMemory.onSent(NOW_US, SESSION, DEADLINE_US);
        onCorruptedMemory.onEnded(NOW_US, SESSION, DEADLINE_US, Outcome.OK, NOW_US);
        for (long session = 0; session < 1000; session++) {
            assertThat(onCorruptedMemory.requiredPositionUs(NOW_US, session)).isBetween(0L, NOW_US);
        }
    }
}
