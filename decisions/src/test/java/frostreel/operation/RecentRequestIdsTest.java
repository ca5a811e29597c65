package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests which ids several processes that share the memory remember. */
class RecentRequestIdsTest {
    private static final long NOW_US = 1_000_000_000;
    private final SharedMemoryArray memory = new SharedMemoryArray(RecentRequestIds.LONGS);
    private long lastIncarnation;
    private final RecentRequestIds before = startProcess(NOW_US);

    private RecentRequestIds startProcess(long nowUs) {
        return new RecentRequestIds(memory, ++lastIncarnation, nowUs);
    }

    @Test
    void idOfEitherProcessIsKnownToBothAndToLaterOnes() {
        before.add("before");
        RecentRequestIds after = startProcess(NOW_US + 1);
        assertThat(after.contains("before")).isTrue();
        before.onHeartbeat(NOW_US + 2);
        after.add("after");
        assertThat(before.contains("after")).isTrue();
        assertThat(before.contains("neither")).isFalse();
        RecentRequestIds last = after;
        for (int i = 0; i < 2 * OwnedRegion.REGIONS; i++) {
            last.onHeartbeat(NOW_US + 10 + i);
            last = startProcess(NOW_US + 10 + i);
        }
        assertThat(last.contains("before") && last.contains("after")).isTrue();
    }

    @Test
    void suspendedProcessThatLostItsRegionClaimsAnother() {
        for (int i = 1; i <= OwnedRegion.REGIONS; i++) {
            startProcess(NOW_US + i);
        }
        before.onHeartbeat(NOW_US + 100);
        before.add("before");
        assertThat(startProcess(NOW_US + 101).contains("before")).isTrue();
    }

    @Test
    void thousandsOfRecentIdsAreKnownAndTheOldestForgotten() {
        RecentRequestIds alone = RecentRequestIds.ofSingleProcess();
        int ids = 100_000;
        for (int i = 0; i < ids; i++) {
            alone.add("id" + i);
        }
        for (int i = ids - 2_000; i < ids; i++) {
            assertThat(alone.contains("id" + i)).as("id %d", i).isTrue();
        }
        assertThat(alone.contains("id0")).isFalse();
    }
}
