package frostreel.net;

import frostreel.log.EventLog;
import frostreel.stats.Counters;
import frostreel.time.Clock;
import frostreel.time.Deadlines;
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

/**
 * Owns the one I/O thread on which all else runs, its clock, its deadlines and the buffer it reads into. Unless said
 * otherwise, methods are called on that thread.
 */
public final class EventLoop {
    private static final int READ_BUFFER_BYTES = 1 << 16;
    /** A fourth of the heap: the rest is for statements, short answers, tables, and the collector. */
    private static final long MAX_BUFFERED_BYTES = Runtime.getRuntime().maxMemory() / 4;
    /**
     * Watch events are polled for once in such a part of the time in which sends to a draining server have to stop:
     * the rest is for a pause between the poll and a send. More often, polling costs too much.
     */
    private static final int POLLS_PER_STOP_TIME = 5;

    private static final long MIN_POLL_INTERVAL_US = 10_000;
    /**
     * The interval of the heartbeat. The loop is late where it has missed one: a little less than the half second by
     * which an answer may be late. A process that has part of a core is often kept waiting for less, and its clients'
     * times must not be cut for each of these.
     */
    private static final long HEARTBEAT_US = 200_000;

    private static final long LATE_AFTER_US = 2 * HEARTBEAT_US;
    /** {@link #lateSinceUs} while the loop is not late. */
    private static final long NOT_LATE = Long.MAX_VALUE;

    private static final long SHUTDOWN_WAIT_S = 1;
    private final EventLoopWatchdog watchdog;
    private final EventLog events;
    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters = new Counters();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    private XnioExecutor.Key alarm;
    private boolean ending;
    private Runnable watchEventPoll = () -> {};
    private LongConsumer heartbeatListener = nowUs -> {};
    private long pollIntervalUs;
    private long lastPollUs;
    private long bufferedBytes;
    private long lastHeartbeatUs;
    /** While the loop catches up: since when what it reads may have waited. */
    private long lateSinceUs = NOT_LATE;

    /** A loop on the system's clock. */
    public EventLoop() throws IOException {
        this(Clock.system());
    }

    /** A loop on a clock of the caller's. */
    public EventLoop(Clock clock) throws IOException {
        this.clock = clock;
        deadlines = new Deadlines(clock, this::wakeAfter);
        lastPollUs = clock.now();
        lastHeartbeatUs = lastPollUs;
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

    private void wakeAfter(long delayUs) {
        if (ending) {
            return; // A thread that terminates takes no more timers, and none is wanted.
        }
        if (alarm != null) {
            alarm.remove();
        }
        alarm = thread.executeAfter(
                () -> {
                    alarm = null;
                    pollWatchEventsIfDue();
                    deadlines.runDue();
                },
                roundedUpToMs(delayUs),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Never less than what is asked for: XNIO cuts delays to whole milliseconds, and runs a timer that is less than
     * one away at once. It would find nothing due and be set again, over and over until it is due; meanwhile the
     * thread is busy, and looks at no socket.
     */
    private static long roundedUpToMs(long us) {
        return (us + 999) / 1000;
    }

    /** Sets what reads the watch events that discovery has sent and that are still unread. */
    public void onWatchEventPoll(Runnable watchEventPoll) {
        this.watchEventPoll = watchEventPoll;
    }

    /** Sets how soon sends to a server have to stop once discovery has told that it is draining. */
    public void setStopSendingUs(long stopSendingUs) {
        pollIntervalUs = Math.max(MIN_POLL_INTERVAL_US, stopSendingUs / POLLS_PER_STOP_TIME);
    }

    /**
     * Called before whatever comes from outside is handled. A process that was paused, had no part of a core, or is
     * in a long turn, finds much at once: the watch events among it have to be known before the rest is acted upon,
     * in whichever order it stands on the sockets.
     */
    void pollWatchEventsIfDue() {
        long now = clock.now();
        if (now - lastPollUs > pollIntervalUs) {
            lastPollUs = now;
            watchEventPoll.run();
        }
    }

    /** Starts the heartbeat and the watchdog; called before anything comes from outside. */
    public void begin() {
        watchdog.start();
        beat();
    }

    private void beat() {
        watchdog.onHeartbeat();
        lateSinceUs = clock.now() - lastHeartbeatUs > LATE_AFTER_US ? lastHeartbeatUs : NOT_LATE;
        lastHeartbeatUs = clock.now();
        deadlines.after(HEARTBEAT_US, this::beat);
        heartbeatListener.accept(lastHeartbeatUs);
    }

    /** Sets what is called with the time at each heartbeat, five times a second. */
    public void onHeartbeat(LongConsumer heartbeatListener) {
        this.heartbeatListener = heartbeatListener;
    }

    /**
     * The earliest time at which what is read now may have arrived. That is now, unless the loop is late: what waited
     * while this process was paused, had no core, or was in a long turn, must not have that time once more.
     */
    public long earliestArrivalUs() {
        long now = clock.now();
        if (now - lastHeartbeatUs > LATE_AFTER_US) {
            lateSinceUs = lastHeartbeatUs;
        }
        return Math.min(now, lateSinceUs);
    }

    /** Ends the thread, and waits until it has ended, for a second at most. From any other thread. */
    public void end() throws InterruptedException {
        watchdog.end();
        thread.execute(() -> {
            ending = true;
            worker.shutdownNow();
        });
        worker.awaitTermination(SHUTDOWN_WAIT_S, TimeUnit.SECONDS);
    }

    /** XNIO's worker, which has the accept thread. */
    public XnioWorker worker() {
        return worker;
    }

    /** The I/O thread; tasks may be handed to it from any thread. */
    public XnioIoThread thread() {
        return thread;
    }

    /** The clock that all on this loop read; from any thread. */
    public Clock clock() {
        return clock;
    }

    /** The timers of this loop. */
    public Deadlines deadlines() {
        return deadlines;
    }

    /** The counters of all that runs on this loop. */
    public Counters counters() {
        return counters;
    }

    /** The log of single requests and connections. */
    public EventLog events() {
        return events;
    }

    /** For how long the loop has had no heartbeat. */
    public long sinceHeartbeatUs() {
        return clock.now() - lastHeartbeatUs;
    }

    /** Adds to the count of bytes that are buffered for slow clients and servers; {@code change} may be negative. */
    public void addBufferedBytes(int change) {
        bufferedBytes += change;
    }

    /** Whether more bytes are buffered than their part of the memory. */
    public boolean buffersAreFull() {
        return bufferedBytes > MAX_BUFFERED_BYTES;
    }

    /** The buffer for one read, emptied; its content lasts only until the next. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }
}
