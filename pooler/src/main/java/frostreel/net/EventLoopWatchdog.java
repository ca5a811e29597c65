package frostreel.net;

import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * Watches from a thread of its own whether the I/O thread comes round. Where that stands still, it tells once
 * where it stands, and again when it goes on; where it has ended, it ends the process, as a pooler without it
 * would take clients for nobody.
 */
final class EventLoopWatchdog implements Runnable {
    /** An I/O thread that has not come round for so long stands still; it does so five times a second. */
    static final long STILL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private static final long LOOK_MS = 500;
    /** Its own sleep was longer by so much: the whole process was held up, and not that thread. */
    private static final long HELD_UP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MOST_FRAMES = 12;
    private static final int EXIT_CODE = 1;
    private static final Logger LOG = Logger.getLogger(EventLoopWatchdog.class.getName());
    private final Thread watched;
    private volatile long beatNanos = System.nanoTime();
    private volatile boolean ended;
    private boolean still;
    private long stillSinceNanos;

    /** {@code watched}: the I/O thread. */
    EventLoopWatchdog(Thread watched) {
        this.watched = watched;
    }

    /** Begins to watch. */
    void start() {
        Thread own = new Thread(this, "watchdog");
        own.setDaemon(true);
        own.start();
    }

    /** The I/O thread has come round; on that thread. */
    void beat() {
        beatNanos = System.nanoTime();
    }

    /** The I/O thread is to end; from any thread. */
    void end() {
        ended = true;
    }

    @Override
    public void run() {
        try {
            while (!ended) {
                long before = System.nanoTime();
                Thread.sleep(LOOK_MS);
                long now = System.nanoTime();
                if (!ended && now - before < TimeUnit.MILLISECONDS.toNanos(LOOK_MS) + HELD_UP_NANOS) {
                    look(now);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // Nobody does so but an end of the program.
        }
    }

    private void look(long now) {
        if (!watched.isAlive()) {
            System.err.println("frostreel: the I/O thread has ended; the process ends");
            Runtime.getRuntime().halt(EXIT_CODE);
        }
        long sinceBeat = now - beatNanos;
        if (!still && sinceBeat > STILL_NANOS) {
            still = true;
            stillSinceNanos = beatNanos;
            LOG.severe("the I/O thread has stood still for " + sinceBeat / 1_000_000 + " ms, at" + where());
        } else if (still && sinceBeat < STILL_NANOS) {
            still = false;
            LOG.warning("the I/O thread goes on, after " + (beatNanos - stillSinceNanos) / 1_000_000 + " ms");
        }
    }

    private String where() {
        StringBuilder text = new StringBuilder();
        StackTraceElement[] frames = watched.getStackTrace();
        for (int i = 0; i < Math.min(frames.length, MOST_FRAMES); i++) {
            text.append(" <- ").append(frames[i]);
        }
        return text.toString();
    }
}
