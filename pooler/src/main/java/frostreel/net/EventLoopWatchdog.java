package frostreel.net;

import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Monitors the heartbeat of the I/O thread from a separate thread. A stall is logged once, with the stack trace of the
 * I/O thread, and so is the recovery from it. If the I/O thread has terminated, the watchdog exits the process, which
 * would otherwise accept clients and never serve them.
 */
final class EventLoopWatchdog implements Runnable {
    /** Time without a heartbeat after which the I/O thread is stalled; there are five heartbeats a second. */
    static final long STALLED_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long CHECK_INTERVAL_MS = 500;
    private static final long CHECK_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MS);
    /** If the watchdog's own sleep takes this much too long, the whole process was paused, not only the I/O thread. */
    private static final long PROCESS_PAUSED_NS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MAX_LOGGED_FRAMES = 12;
    private static final int EXIT_CODE = 1;
    private static final Logger LOG = Logger.getLogger(EventLoopWatchdog.class.getName());

    private final Thread ioThread;
    private volatile long lastHeartbeatNs = System.nanoTime();
    private volatile boolean ended;
    private boolean stalled;
    private long stalledSinceNs;

    EventLoopWatchdog(Thread ioThread) {
        this.ioThread = ioThread;
    }

    /** Starts the watchdog's thread. */
    void start() {
        Thread thread = new Thread(this, "watchdog");
        thread.setDaemon(true);
        thread.start();
    }

    /** Called on the I/O thread at each of its heartbeats. */
    void onHeartbeat() {
        lastHeartbeatNs = System.nanoTime();
    }

    /** Stops the watchdog before the I/O thread is terminated on purpose; called on any thread. */
    void end() {
        ended = true;
    }

    @Override
    public void run() {
        try {
            while (!ended) {
                long before = System.nanoTime();
                Thread.sleep(CHECK_INTERVAL_MS);
                long now = System.nanoTime();
                boolean processWasPaused = now - before >= CHECK_INTERVAL_NS + PROCESS_PAUSED_NS;
                if (!ended && !processWasPaused) {
                    check(now);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // Only the shutdown of the process interrupts this thread.
        }
    }

    private void check(long nowNs) {
        if (!ioThread.isAlive()) {
            System.err.println("frostreel: I/O thread terminated; exiting");
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        long sinceHeartbeatNs = nowNs - lastHeartbeatNs;
        if (!stalled && sinceHeartbeatNs > STALLED_AFTER_NS) {
            stalled = true;
            stalledSinceNs = lastHeartbeatNs;
            LOG.severe("I/O thread stalled for " + millis(sinceHeartbeatNs) + " ms, at" + stackTrace());
        } else if (stalled && sinceHeartbeatNs < STALLED_AFTER_NS) {
            stalled = false;
            LOG.warning("I/O thread recovered after " + millis(lastHeartbeatNs - stalledSinceNs) + " ms");
        }
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private String stackTrace() {
        StringBuilder text = new StringBuilder();
        StackTraceElement[] frames = ioThread.getStackTrace();
        for (int i = 0; i < Math.min(frames.length, MAX_LOGGED_FRAMES); i++) {
            text.append(" <- ").append(frames[i]);
        }
        return text.toString();
    }
}
