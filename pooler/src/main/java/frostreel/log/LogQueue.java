package frostreel.log;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.logging.ErrorManager;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Passes records to another handler on a dedicated thread, so that logging never blocks on a slow reader or disk.
 * Both the queued records and the records per second are limited, so that a flood of records fills neither the
 * memory nor a disk. Records beyond the limits are dropped and counted, and a later line reports how many.
 */
public final class LogQueue extends Handler {
    /** Maximum number of queued records. */
    static final int CAPACITY = 1_024;
    /** Maximum number of records accepted per second. */
    static final int MAX_RECORDS_PER_SECOND = 200;

    private static final long WINDOW_NS = TimeUnit.SECONDS.toNanos(1);
    private static final long FLUSH_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(200);

    private final Handler target;
    private final LongSupplier nanoTime;
    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    /** Number of records accepted but not yet written. */
    private final AtomicLong unwritten = new AtomicLong();
    /** Number of dropped records that were reported; confined to the writer thread. */
    private long reportedDropped;
    /** When the current second of the rate limit began; guarded by this. */
    private long windowStartNs;
    /** Number of records in the current second of the rate limit; guarded by this. */
    private int recordsInWindow;

    /** Creates a queue that writes to {@code target} on a daemon thread, which runs until the process ends. */
    LogQueue(Handler target) {
        this(target, System::nanoTime);
    }

    /** The same, with the rate limit measured by the given clock. */
    LogQueue(Handler target, LongSupplier nanoTime) {
        this.target = target;
        this.nanoTime = nanoTime;
        windowStartNs = nanoTime.getAsLong();
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        unwritten.incrementAndGet();
        if (!admits(nanoTime.getAsLong()) || !queue.offer(entry)) {
            unwritten.decrementAndGet();
            dropped.incrementAndGet();
        }
    }

    private synchronized boolean admits(long nowNs) {
        if (nowNs - windowStartNs >= WINDOW_NS) {
            windowStartNs = nowNs;
            recordsInWindow = 0;
        }
        return ++recordsInWindow <= MAX_RECORDS_PER_SECOND;
    }

    /** Returns the number of records dropped since the start; may be called from any thread. */
    public long dropped() {
        return dropped.get();
    }

    private void write() {
        try {
            while (true) {
                LogRecord next = queue.take();
                reportDropped();
                publishToTarget(next);
                unwritten.decrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // Only the end of the process interrupts this thread.
        }
    }

    private void reportDropped() {
        long total = dropped.get();
        if (total > reportedDropped) {
            String text = (total - reportedDropped) + " log lines were dropped: over " + MAX_RECORDS_PER_SECOND
                    + " a second, or written too slowly";
            publishToTarget(new LogRecord(Level.WARNING, text));
            reportedDropped = total;
        }
    }

    private void publishToTarget(LogRecord entry) {
        try {
            target.publish(entry);
        } catch (RuntimeException e) {
            reportError(null, e, ErrorManager.WRITE_FAILURE); // A failure to write one line must not end the log.
        }
    }

    /** Waits until all accepted records are written, for at most 200 ms. */
    @Override
    public void flush() {
        long deadlineNs = System.nanoTime() + FLUSH_TIMEOUT_NS;
        while (unwritten.get() > 0 && System.nanoTime() < deadlineNs) {
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        flush();
    }

    @Override
    @SuppressWarnings("UnsynchronizedOverridesSynchronized") // The target's own setter is synchronized.
    public void setFormatter(Formatter formatter) {
        target.setFormatter(formatter);
    }
}
