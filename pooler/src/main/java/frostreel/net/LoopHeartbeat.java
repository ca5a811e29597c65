package frostreel.net;

import frostreel.time.Clock;
import frostreel.time.Deadlines;
import java.util.function.LongConsumer;

/**
 * The heartbeat of an event loop. It detects that the loop is late, because the process was paused, got no CPU time or
 * ran a long task; data that the loop reads then may have waited in the socket. Used on the I/O thread.
 */
final class LoopHeartbeat {
    private static final long INTERVAL_US = 200_000;
    /**
     * Time since the last heartbeat after which the loop is late. It is a little less than the half second by which a
     * response may be late. A process with less than one core is often delayed by less than this, and such delays must
     * not shorten the timeouts of its clients.
     */
    private static final long LATE_AFTER_US = 2 * INTERVAL_US;
    /** Value of {@link #lateSinceUs} while the loop is not late. */
    private static final long NOT_LATE = Long.MAX_VALUE;

    private final Clock clock;
    private final Deadlines deadlines;
    private EventLoopWatchdog watchdog;
    private LongConsumer listener = nowUs -> {};
    private long lastUs;
    /** While the loop is late: the last heartbeat before the delay, the earliest arrival of unread data. */
    private long lateSinceUs = NOT_LATE;

    LoopHeartbeat(Clock clock, Deadlines deadlines) {
        this.clock = clock;
        this.deadlines = deadlines;
        lastUs = clock.now();
    }

    /** Sets the listener that is called with the current time at each heartbeat. */
    void setListener(LongConsumer listener) {
        this.listener = listener;
    }

    /** Starts the heartbeat with a first one at once; the watchdog is notified of each. */
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

    /** Time since the last heartbeat. */
    long sinceLastUs() {
        return clock.now() - lastUs;
    }

    /** The earliest time at which data that is read now may have arrived; the current time unless the loop is late. */
    long earliestArrivalUs() {
        long now = clock.now();
        if (now - lastUs > LATE_AFTER_US) {
            lateSinceUs = lastUs;
        }
        return Math.min(now, lateSinceUs);
    }
}
