package frostreel.net;

import frostreel.time.Clock;

/**
 * Polls for discovery's watch events before anything else from outside is handled, once in each interval. Used on the
 * I/O thread.
 *
 * <p>A process that was paused, had no core, or is busy with one long task, finds much on its sockets at once. The
 * watch events among it must be known before the rest is acted upon, in whichever order it arrived.
 */
final class WatchEventPoll {
    /**
     * Polls in the time within which sends to a draining server have to stop. The rest of that time is for a pause
     * between a poll and a send. Polling more often costs too much.
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

    /** Sets what reads the watch events that have arrived and are still unread. */
    void setPoll(Runnable poll) {
        this.poll = poll;
    }

    /** Sets the interval by the time within which sends to a draining server have to stop. */
    void setStopSendingUs(long stopSendingUs) {
        intervalUs = Math.max(MIN_INTERVAL_US, stopSendingUs / POLLS_PER_STOP_TIME);
    }

    /** Polls, unless the last poll is less than an interval ago. */
    void runIfDue() {
        long now = clock.now();
        if (now - lastPollUs > intervalUs) {
            lastPollUs = now;
            poll.run();
        }
    }
}
