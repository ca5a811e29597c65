package frostreel.net;

import frostreel.time.Deadlines;
import java.util.ArrayDeque;

/**
 * Work that connections put off because they have had their share of a turn of the event loop. A limited number of
 * tasks runs at a time, in the order in which they came; in between, deadlines and the sockets of other connections
 * have their turn. Used on the I/O thread.
 */
final class DeferredTasks {
    /** The time from one run to the next; the resolution of the event loop's timers. */
    static final long INTERVAL_US = 1_000;

    static final int MAX_TASKS_PER_RUN = 4;

    private final Deadlines deadlines;
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private boolean scheduled;

    DeferredTasks(Deadlines deadlines) {
        this.deadlines = deadlines;
    }

    /** Adds a task behind all others. */
    void add(Runnable task) {
        tasks.add(task);
        schedule();
    }

    private void schedule() {
        if (!scheduled && !tasks.isEmpty()) {
            scheduled = true;
            deadlines.after(INTERVAL_US, this::runFirst);
        }
    }

    private void runFirst() {
        scheduled = false;
        int count = Math.min(tasks.size(), MAX_TASKS_PER_RUN); // Without those that they add.
        try {
            for (int i = 0; i < count; i++) {
                tasks.remove().run();
            }
        } finally {
            schedule(); // Also after an exception, which the deadlines log.
        }
    }
}
