package frostreel.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Interval of the event loop's polls for watch events, tested on a manual clock. */
class EventLoopTest {
    private static final long SECOND_US = 1_000_000;
    private static final long STEP_US = 1_000;
    private long nowUs;
    private int polls;
    private long lastPollUs;
    private EventLoop loop;

    @BeforeEach
    void begin() throws Exception {
        loop = new EventLoop(() -> nowUs);
        loop.onWatchEventPoll(() -> {
            polls++;
            lastPollUs = nowUs;
        });
    }

    @AfterEach
    void end() throws Exception {
        loop.shutDown();
    }

    private boolean pollsAfter(long us) {
        int before = polls;
        nowUs += us;
        loop.pollWatchEventsIfDue();
        return polls > before;
    }

    /** Asserts the number of polls, and the longest time between two, in a second in which the loop is never idle. */
    private void assertPollsInBusySecond(int maxPolls, long maxIntervalUs) {
        polls = 0;
        lastPollUs = nowUs;
        for (int i = 0; i < SECOND_US / STEP_US; i++) {
            pollsAfter(STEP_US);
            assertThat(nowUs - lastPollUs).isLessThanOrEqualTo(maxIntervalUs + STEP_US);
        }
        assertThat(polls).isBetween(1, maxPolls);
    }

    @Test
    void pollsFiveTimesWithinStopSendingTimeWhileBusy() {
        loop.setStopSendingUs(SECOND_US);
        assertPollsInBusySecond(5, 200_000);
        loop.setStopSendingUs(250_000);
        assertPollsInBusySecond(20, 50_000);
        loop.setStopSendingUs(0);
        assertPollsInBusySecond(100, 10_000);
    }

    @Test
    void pollsAfterPauseOfMoreThanOneInterval() {
        loop.setStopSendingUs(250_000);
        assertThat(pollsAfter(50_000)).isFalse();
        assertThat(pollsAfter(1)).isTrue();
        assertThat(pollsAfter(51_000)).isTrue();
        loop.setStopSendingUs(SECOND_US);
        assertThat(pollsAfter(51_000)).isFalse();
        assertThat(pollsAfter(150_000)).isTrue();
    }

    @Test
    void doesNotPollRecursively() {
        loop.setStopSendingUs(0);
        loop.onWatchEventPoll(() -> {
            polls++;
            loop.pollWatchEventsIfDue();
        });
        assertThat(pollsAfter(SECOND_US)).isTrue();
        assertThat(polls).isEqualTo(1);
    }
}
