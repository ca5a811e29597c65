package frostreel.net;

import frostreel.broker.Clock;
import frostreel.broker.Deadlines;
import frostreel.log.EventLog;
import frostreel.stats.Counters;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** Owns the one I/O thread on which all else runs, its clock, its deadlines and the buffer it reads into. */
public final class EventLoop {
    private static final int READ_BYTES = 1 << 16;
    /** A fourth of the heap: the rest is for statements, short answers, tables, and the collector. */
    private static final long MOST_HELD = Runtime.getRuntime().maxMemory() / 4;
    /**
     * What discovery tells is looked for once in such a part of the time in which sends to a drained server
     * have to stop: the rest is for a pause between the look and a send. More often, a look costs too much.
     */
    private static final int LOOK_PART = 5;

    private static final long LOOK_LEAST_US = 10_000;
    /**
     * The loop shows so often that it runs, and is late where it was not seen to for so long: a little less
     * than the half second by which an answer may be late. A process that has part of a core is often kept
     * waiting for less, and its clients' times must not be cut for each of these.
     */
    private static final long BEAT_US = 200_000;

    private static final long LATE_US = 2 * BEAT_US;
    private final EventLoopWatchdog watchdog;
    private final EventLog events;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters = new Counters();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private XnioExecutor.Key alarm;
    private boolean ending;
    private Runnable look = () -> {};
    private LongConsumer beaten = nowUs -> {};
    private long lookEveryUs;
    private long lookedUs;
    private long heldBytes;
    private long beatUs;
    /** While the loop catches up: since when what it reads may have waited; else {@code Long.MAX_VALUE}. */
    private long lateSinceUs = Long.MAX_VALUE;

    public EventLoop() throws IOException {
        this(Clock.system());
    }

    /** On a clock of the caller's. */
    public EventLoop(Clock clock) throws IOException {
        this.clock = clock;
        deadlines = new Deadlines(clock, this::wakeAfter);
        lookedUs = clock.now();
        beatUs = lookedUs;
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.WORKER_NAME, "frostreel")
                        .getMap());
        thread = worker.getIoThread();
        events = new EventLog(clock::now);
        watchdog = new EventLoopWatchdog(thread);
    }

    private void wakeAfter(long us) {
        if (ending) {
            return; // A thread that terminates takes no more timers, and none is wanted.
        }
        if (alarm != null) {
            alarm.remove();
        }
        alarm = thread.executeAfter(
                () -> {
                    alarm = null;
                    awake();
                    deadlines.runDue();
                },
                wholeMillis(us),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Never less than what is asked for: XNIO drops what is beyond whole milliseconds, and runs a timer that
     * is less than one away at once. It would find nothing due and be set anew, over and over until it is
     * due; meanwhile the thread is busy, and looks at no socket.
     */
    private static long wholeMillis(long us) {
        return (us + 999) / 1000;
    }

    /** What looks for news: what this process was told, and has yet to read. */
    public void onNews(Runnable look) {
        this.look = look;
    }

    /** How soon sends to a server have to stop from when discovery told of its drain. */
    public void stopSendingUs(long us) {
        lookEveryUs = Math.max(LOOK_LEAST_US, us / LOOK_PART);
    }

    /**
     * Called before whatever comes from outside is handled. A process that was paused, had no part of a core,
     * or is in a long turn, finds much at once: what it was told meanwhile has to be known before the rest is
     * acted upon, in whichever order it stands on the sockets.
     */
    void awake() {
        long now = clock.now();
        if (now - lookedUs > lookEveryUs) {
            lookedUs = now;
            look.run();
        }
    }

    /** Begins to watch over the loop, from outside too; on its thread, before anything comes from outside. */
    public void begin() {
        watchdog.start();
        beat();
    }

    private void beat() {
        watchdog.beat();
        lateSinceUs = clock.now() - beatUs > LATE_US ? beatUs : Long.MAX_VALUE;
        beatUs = clock.now();
        deadlines.after(BEAT_US, this::beat);
        beaten.accept(beatUs);
    }

    /** What is told the time at each beat, five times a second. */
    public void onBeat(LongConsumer beaten) {
        this.beaten = beaten;
    }

    /**
     * The earliest time at which what is read now may have come, where that is long ago. Its sender's time
     * began then: what waited while this process was paused, had no core, or was in a long turn, must not be
     * given that time twice.
     */
    long cameSinceUs() {
        long now = clock.now();
        if (now - beatUs > LATE_US) {
            lateSinceUs = beatUs;
        }
        return Math.min(now, lateSinceUs);
    }

    /** Ends the thread and waits, a little at the most, until it has ended. */
    public void end() throws InterruptedException {
        watchdog.end();
        thread.execute(() -> {
            ending = true;
            worker.shutdownNow();
        });
        worker.awaitTermination(1, TimeUnit.SECONDS);
    }

    public XnioWorker worker() {
        return worker;
    }

    public XnioIoThread thread() {
        return thread;
    }

    public Clock clock() {
        return clock;
    }

    public Deadlines deadlines() {
        return deadlines;
    }

    public Counters counters() {
        return counters;
    }

    /** Lines on single requests and connections. */
    public EventLog events() {
        return events;
    }

    /** How long ago the loop last showed that it runs. */
    public long lateUs() {
        return clock.now() - beatUs;
    }

    /** So many more bytes, or fewer, wait for sockets to take them. */
    void held(int more) {
        heldBytes += more;
    }

    /** Whether all that waits for slow readers is more than its part of the memory. */
    boolean holdsMuch() {
        return heldBytes > MOST_HELD;
    }

    /** The buffer for one read, emptied; what is in it lasts only until the next. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }
}
