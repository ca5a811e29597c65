package frostreel.broker;

import frostreel.stats.Counters;
import java.util.ArrayDeque;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs events one at a time, in order: an action during one event may cause another, which must not reach the router
 * before the first has returned. Used only on the I/O thread.
 */
final class EventQueue {
    private static final Logger LOG = Logger.getLogger(EventQueue.class.getName());
    private final Counters counters;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean running;

    EventQueue(Counters counters) {
        this.counters = counters;
    }

    /** Runs the event immediately or, if another is running, after that and all queued events. */
    void run(Runnable event) {
        events.add(event);
        if (running) {
            return;
        }
        running = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                runGuarded(next);
            }
        } finally {
            running = false;
        }
    }

    /**
     * Runs an event and logs its exception, which must not end the process; the affected request fails when it is
     * overdue.
     */
    private void runGuarded(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | Error e) {
            counters.unexpectedExceptions++;
            LOG.log(Level.SEVERE, "an event failed", e);
        }
    }
}
