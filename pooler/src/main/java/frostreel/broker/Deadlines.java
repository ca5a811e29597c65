package frostreel.broker;

import java.util.TreeSet;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Owns every deadline and timer of the program, in one ordered structure. */
public final class Deadlines {
    /** Wakes the I/O thread, which then calls {@link #runDue}. */
    public interface Alarm {
        void wakeAfter(long us);
    }

    /** One entry; to cancel it twice, or after it ran, does nothing. */
    public static final class Deadline implements Comparable<Deadline> {
        private final long atUs;
        private final long order;
        private final Runnable task;

        private Deadline(long atUs, long order, Runnable task) {
            this.atUs = atUs;
            this.order = order;
            this.task = task;
        }

        @Override
        public int compareTo(Deadline o) {
            return atUs != o.atUs ? Long.compare(atUs, o.atUs) : Long.compare(order, o.order);
        }
    }

    private static final Logger LOG = Logger.getLogger(Deadlines.class.getName());
    private final Clock clock;
    private final Alarm alarm;
    private final TreeSet<Deadline> entries = new TreeSet<>();
    private long orders;
    private long wakeAtUs = Long.MAX_VALUE;

    public Deadlines(Clock clock, Alarm alarm) {
        this.clock = clock;
        this.alarm = alarm;
    }

    public Deadline after(long us, Runnable task) {
        return at(clock.now() + us, task);
    }

    public Deadline at(long atUs, Runnable task) {
        Deadline d = new Deadline(atUs, orders++, task);
        entries.add(d);
        arm();
        return d;
    }

    public void cancel(Deadline d) {
        if (d != null) {
            entries.remove(d);
        }
    }

    /** Runs what is due; what a task adds for this very moment waits for the next call. */
    public void runDue() {
        wakeAtUs = Long.MAX_VALUE;
        long now = clock.now();
        long last = orders;
        while (!entries.isEmpty() && entries.first().atUs <= now && entries.first().order < last) {
            Deadline d = entries.pollFirst();
            try {
                d.task.run();
            } catch (RuntimeException | Error e) {
                // One entry's fault must not take the other deadlines with it.
                LOG.log(Level.SEVERE, "a timer failed", e);
            }
        }
        arm();
    }

    private void arm() {
        if (!entries.isEmpty() && entries.first().atUs < wakeAtUs) {
            wakeAtUs = entries.first().atUs;
            alarm.wakeAfter(Math.max(0, wakeAtUs - clock.now()));
        }
    }
}
