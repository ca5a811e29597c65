package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Size of the window after responses in time and signs of a queue, and pauses of a member that rejects. */
class ConcurrencyWindowTest {
    private static final long NOW_US = 1_000_000;
    private static final double LATENCY_US = 40_000;
    private final ConcurrencyWindow window = new ConcurrencyWindow();

    /** Returns the number of attempts that may be in flight at once. */
    private int capacity() {
        int inFlight = 0;
        while (window.hasRoom(NOW_US, inFlight, 1)) {
            inFlight++;
        }
        return inFlight;
    }

    @Test
    void newMemberAdmitsFourAttemptsOrTheGivenShareOfThem() {
        assertThat(capacity()).isEqualTo(4);
        assertThat(window.hasRoom(NOW_US, 1, 0.5)).isTrue();
        assertThat(window.hasRoom(NOW_US, 2, 0.5)).isFalse();
    }

    @Test
    void everyResponseInTimeEnlargesTheWindowByOneUntilThereIsASignOfAQueue() {
        window.grow(3);
        window.grow(4);
        assertThat(capacity()).isEqualTo(6);
        window.shrink(NOW_US, 5, LATENCY_US); // To 0.7 of 6.
        assertThat(capacity()).isEqualTo(5);
        window.grow(4); // By one part in 4.2.
        assertThat(capacity()).isEqualTo(5);
    }

    @Test
    void windowThatIsHardlyUsedDoesNotGrow() {
        window.grow(0);
        assertThat(capacity()).isEqualTo(4);
    }

    @Test
    void signsOfOneQueueShrinkTheWindowOnce() {
        window.shrink(NOW_US, 3, LATENCY_US);
        window.shrink(NOW_US + (long) LATENCY_US, 3, LATENCY_US);
        assertThat(capacity()).isEqualTo(3);
        window.shrink(NOW_US + (long) LATENCY_US + 1, 2, LATENCY_US);
        assertThat(capacity()).isEqualTo(2);
    }

    @Test
    void windowNeverFallsBelowOneAttempt() {
        for (int i = 1; i <= 20; i++) {
            window.shrink(NOW_US + i * NOW_US, 3, LATENCY_US);
        }
        assertThat(window.isAtMinimum()).isTrue();
        assertThat(capacity()).isEqualTo(1);
    }

    @Test
    void restartedWindowKeepsItsSizeAndGrowsFastAgain() {
        window.shrink(NOW_US, 3, LATENCY_US);
        window.restart();
        assertThat(capacity()).isEqualTo(3);
        window.grow(2);
        window.grow(3);
        assertThat(capacity()).isEqualTo(5);
        window.restart();
        assertThat(capacity()).isEqualTo(4);
    }

    @Test
    void pausesDoubleUpToHalfASecondAndStartOverAfterAResponseInTime() {
        assertPause(10_000);
        assertPause(20_000);
        assertPause(40_000);
        for (int i = 0; i < 10; i++) {
            window.pause(NOW_US, LATENCY_US);
        }
        assertPause(500_000);
        window.grow(0);
        assertPause(10_000);
    }

    private void assertPause(long pauseUs) {
        window.pause(NOW_US, LATENCY_US);
        assertThat(window.isPaused(NOW_US + pauseUs - 1)).isTrue();
        assertThat(window.hasRoom(NOW_US + pauseUs - 1, 0, 1)).isFalse();
        assertThat(window.isPaused(NOW_US + pauseUs)).isFalse();
    }
}
