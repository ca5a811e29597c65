package frostreel.time;

import java.util.TreeSet;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Owns every deadline and timer of the program, ordered by time. Confined to the I/O thread. */
public final class Deadlines {
    /** Wakes the I/O thread, which then calls {@link #runDue}. */
    public interface Alarm {
        /** Schedules a wake-up after this delay; it replaces any wake-up scheduled before. */
        void wakeAfter(long delayUs);
    }

    /** A task scheduled for a point in time. */
    public static final class Deadline implements Comparable<Deadline> {
        private final long atUs;
        private final long sequence;
        private final Runnable task;

        private Deadline(long atUs, long sequence, Runnable task) {
            this.atUs = atUs;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public int compareTo(Deadline other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(sequence, other.sequence);
        }
    }

    /** The value of {@link #wakeAtUs} while no wake-up is scheduled. */
    private static final long NO_WAKE_UP = Long.MAX_VALUE;

    private static final Logger LOG = Logger.getLogger(Deadlines.class.getName());
    private final Clock clock;
    private final Alarm alarm;
    private final TreeSet<Deadline> pending = new TreeSet<>();
    private long nextSequence;
    private long wakeAtUs = NO_WAKE_UP;

    /** Creates deadlines on this clock; the alarm must lead to a call of {@link #runDue}. */
    public Deadlines(Clock clock, Alarm alarm) {
        this.clock = clock;
        this.alarm = alarm;
    }

    /** Schedules the task after this delay. */
    public Deadline after(long delayUs, Runnable task) {
        return at(clock.now() + delayUs, task);
    }

    /** Schedules the task at this time, or soon if that has passed; never runs it within this call. */
    public Deadline at(long atUs, Runnable task) {
        Deadline deadline = new Deadline(atUs, nextSequence++, task);
        pending.add(deadline);
        arm();
        return deadline;
    }

    /** Cancels a deadline; does nothing for null, or for a deadline that was cancelled or has run. */
    public void cancel(Deadline deadline) {
        if (deadline != null) {
            pending.remove(deadline);
        }
    }

    /** Runs the tasks that are due; tasks that they add run in a later call. */
    public void runDue() {
        wakeAtUs = NO_WAKE_UP;
        long nowUs = clock.now();
        long firstAdded = nextSequence;
        while (!pending.isEmpty() && pending.first().atUs <= nowUs && pending.first().sequence < firstAdded) {
            Deadline due = pending.pollFirst();
            try {
                due.task.run();
            } catch (RuntimeException | Error e) {
                // The failure of one task must not prevent the others.
                LOG.log(Level.SEVERE, "a timer failed", e);
            }
        }
        arm();
    }

    private void arm() {
        if (!pending.isEmpty() && pending.first().atUs < wakeAtUs) {
            wakeAtUs = pending.first().atUs;
            alarm.wakeAfter(Math.max(0, wakeAtUs - clock.now()));
        }
    }
}
