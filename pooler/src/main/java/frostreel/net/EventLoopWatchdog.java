package frostreel.net;

import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Watches from a thread of its own whether the I/O thread still has its heartbeat. Where that has stalled, it logs
 * once at which place, and again when it goes on. Where that has ended, it ends the process, which would otherwise
 * accept clients and never serve them.
 */
final class EventLoopWatchdog implements Runnable {
    /** An I/O thread without a heartbeat for this time has stalled; it has five a second. */
    static final long STALLED_NS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long CHECK_INTERVAL_MS = 500;
    /** Where the watchdog's own sleep took longer by this, the whole process was paused, and not just that thread. */
    private static final long PROCESS_PAUSED_NS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MAX_LOGGED_FRAMES = 12;
    private static final int EXIT_CODE = 1;
    private static final Logger LOG = Logger.getLogger(EventLoopWatchdog.class.getName());
    private final Thread watched;
    private volatile long lastHeartbeatNs = System.nanoTime();
    private volatile boolean ended;
    private boolean stalled;
    private long stalledSinceNs;

    /** {@code watched}: the I/O thread. */
    EventLoopWatchdog(Thread watched) {
        this.watched = watched;
    }

    /** Begins to watch. */
    void start() {
        Thread thread = new Thread(this, "watchdog");
        thread.setDaemon(true);
        thread.start();
    }

    /** Called on the I/O thread at each of its heartbeats. */
    void onHeartbeat() {
        lastHeartbeatNs = System.nanoTime();
    }

    /** The I/O thread is about to end, as it should; from any thread. */
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
                if (!ended && now - before < TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MS) + PROCESS_PAUSED_NS) {
                    check(now);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // Nothing interrupts it but an end of the program.
        }
    }

    private void check(long nowNs) {
        if (!watched.isAlive()) {
            System.err.println("frostreel: the I/O thread has ended; the process ends");
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        long sinceHeartbeatNs = nowNs - lastHeartbeatNs;
        if (!stalled && sinceHeartbeatNs > STALLED_NS) {
            stalled = true;
            stalledSinceNs = lastHeartbeatNs;
            LOG.severe("the I/O thread has stood still for " + sinceHeartbeatNs / 1_000_000 + " ms, at" + stackTrace());
        } else if (stalled && sinceHeartbeatNs < STALLED_NS) {
            stalled = false;
            LOG.warning("the I/O thread goes on, after " + (lastHeartbeatNs - stalledSinceNs) / 1_000_000 + " ms");
        }
    }

    private String stackTrace() {
        StringBuilder text = new StringBuilder();
        StackTraceElement[] frames = watched.getStackTrace();
        for (int i = 0; i < Math.min(frames.length, MAX_LOGGED_FRAMES); i++) {
            text.append(" <- ").append(frames[i]);
        }
        return text.toString();
    }
}
