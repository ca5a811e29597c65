package frostreel.net;

import frostreel.time.Clock;
import frostreel.time.Deadlines;
import java.util.function.LongConsumer;

/**
 * The heartbeat of an event loop. It also tells whether the loop is late, so that what it reads may have waited for a
 * while: because the process was paused, had no core, or was busy with one long task. Used on the I/O thread.
 */
final class LoopHeartbeat {
    /**
     * The interval of the heartbeat. The loop is late where it has missed one: a little less than the half second by
     * which an answer may be late. A process that has part of a core is often kept waiting for less, and its clients'
     * times must not be cut for each of these.
     */
    private static final long INTERVAL_US = 200_000;

    private static final long LATE_AFTER_US = 2 * INTERVAL_US;
    /** {@link #lateSinceUs} while the loop is not late. */
    private static final long NOT_LATE = Long.MAX_VALUE;

    private final Clock clock;
    private final Deadlines deadlines;
    private EventLoopWatchdog watchdog;
    private LongConsumer listener = nowUs -> {};
    private long lastUs;
    /** While the loop catches up: since when what it reads may have waited. */
    private long lateSinceUs = NOT_LATE;

    LoopHeartbeat(Clock clock, Deadlines deadlines) {
        this.clock = clock;
        this.deadlines = deadlines;
        lastUs = clock.now();
    }

    /** Sets what is called with the time at each heartbeat. */
    void setListener(LongConsumer listener) {
        this.listener = listener;
    }

    /** Starts the heartbeat, with the first one now; the watchdog is notified of each. */
    void start(EventLoopWatchdog watchdog) {
        this.watchdog = watchdog;
        beat();
    }

    private void beat() {
        watchdog.onHeartbeat();
        lateSinceUs = sinceLastUs() > LATE_AFTER_US ? lastUs : NOT_LATE;
        lastUs = clock.now();
        deadlines.after(INTERVAL_US, this::beat);
        listener.accept(lastUs);
    }

    /** How long ago the last heartbeat was. */
    long sinceLastUs() {
        return clock.now() - lastUs;
    }

    /** The earliest time at which what is read now may have arrived; now, unless the loop is late. */
    long earliestArrivalUs() {
        long now = clock.now();
        if (now - lastUs > LATE_AFTER_US) {
            lateSinceUs = lastUs;
        }
        return Math.min(now, lateSinceUs);
    }
}
