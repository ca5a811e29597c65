package frostreel.net;

import frostreel.time.Clock;

/**
 * Polls for watch events of discovery before other external events are handled, at most once per interval. Used on the
 * I/O thread.
 *
 * <p>After the process was paused, got no CPU time or ran a long task, input is pending on many sockets at once. Watch
 * events among it have to be handled before the rest, in whatever order the input arrived.
 */
final class WatchEventPoll {
    /**
     * Number of polls in the time within which sends to a draining server have to stop. After one interval the rest of
     * that time remains for a pause between a poll and a send. Polling more often costs too much CPU time.
     */
    private static final int POLLS_PER_STOP_TIME = 5;

    private static final long MIN_INTERVAL_US = 10_000;

    private final Clock clock;
    private Runnable poll = () -> {};
    private long intervalUs;
    private long lastPollUs;

    WatchEventPoll(Clock clock) {
        this.clock = clock;
        lastPollUs = clock.now();
    }

    /** Sets the task that reads the unread watch events. */
    void setPoll(Runnable poll) {
        this.poll = poll;
    }

    /** Derives the interval from the time within which sends to a draining server have to stop. */
    void setStopSendingUs(long stopSendingUs) {
        intervalUs = Math.max(MIN_INTERVAL_US, stopSendingUs / POLLS_PER_STOP_TIME);
    }

    /** Polls if more than one interval has passed since the last poll. */
    void runIfDue() {
        long now = clock.now();
        if (now - lastPollUs > intervalUs) {
            lastPollUs = now;
            poll.run();
        }
    }
}
