package frostreel.broker;

import frostreel.stats.Counters;
import java.util.ArrayDeque;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs events one after another: an action taken during one event may cause another, which must not reach the router
 * before the first has returned. Used on the I/O thread alone.
 */
final class EventQueue {
    private static final Logger LOG = Logger.getLogger(EventQueue.class.getName());
    private final Counters counters;
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean running;

    EventQueue(Counters counters) {
        this.counters = counters;
    }

    /** Runs the event at once, or, while another is running, after all that are queued. */
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

    /** An exception in one event must not end the process; its request is answered when it is overdue. */
    private void runGuarded(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | Error e) {
            counters.unexpectedExceptions++;
            LOG.log(Level.SEVERE, "an event failed", e);
        }
    }
}
