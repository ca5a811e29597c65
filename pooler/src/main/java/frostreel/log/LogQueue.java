package frostreel.log;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.ErrorManager;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Hands records to another handler on a thread of its own, so that whoever logs never waits for the log's
 * reader or disk. Bounded twice: by what may wait, and by records a second, so that a flood neither fills the
 * memory nor a disk. What is beyond is dropped, counted, and told by one line once there is room again.
 */
public final class LogQueue extends Handler {
    /** How many records may wait to be written. */
    static final int CAPACITY = 1_024;
    /** How many records a second are taken. */
    static final int MOST_A_SECOND = 200;

    private static final long SECOND_NANOS = 1_000_000_000;
    private final Handler target;
    private final BlockingQueue<LogRecord> waiting = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    /** Records handed in and not yet written. */
    private final AtomicLong open = new AtomicLong();

    private long toldDropped;
    /** When the second began in which records are counted, and how many it has had; guarded by this. */
    private long secondNanos = System.nanoTime();

    private int inSecond;

    /** Writes to {@code target} from a daemon thread, which lives as long as the program. */
    LogQueue(Handler target) {
        this.target = target;
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        open.incrementAndGet();
        if (!admits(System.nanoTime()) || !waiting.offer(entry)) {
            open.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private synchronized boolean admits(long nowNanos) {
        if (nowNanos - secondNanos >= SECOND_NANOS) {
            secondNanos = nowNanos;
            inSecond = 0;
        }
        return ++inSecond <= MOST_A_SECOND;
    }

    /** How many records were dropped since the start; from any thread. */
    public long dropped() {
        return dropped.get();
    }

    private void write() {
        try {
            while (true) {
                LogRecord next = waiting.take();
                tellDropped();
                publishToTarget(next);
                open.decrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // Nobody does so but an end of the program.
        }
    }

    private void tellDropped() {
        long now = dropped.get();
        if (now > toldDropped) {
            publishToTarget(new LogRecord(
                    Level.WARNING,
                    (now - toldDropped)
                            + " log lines were dropped: over "
                            + MOST_A_SECOND + " a second, or written too slowly"));
            toldDropped = now;
        }
    }

    private void publishToTarget(LogRecord entry) {
        try {
            target.publish(entry);
        } catch (RuntimeException e) {
            reportError(null, e, ErrorManager.WRITE_FAILURE); // One bad line must not end the log.
        }
    }

    /** Waits until all that was taken is written, for 200 ms at the most. */
    @Override
    public void flush() {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(200);
        while (open.get() > 0 && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        flush();
    }

    @Override
    public void setFormatter(Formatter formatter) {
        target.setFormatter(formatter);
    }
}
