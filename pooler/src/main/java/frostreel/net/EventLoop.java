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

    private static final long SHUTDOWN_WAIT_S = 1;
    private static final long US_PER_MS = 1_000;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Clock clock;
    private final Deadlines deadlines;
    private final EventLoopWatchdog watchdog;
    private final LoopHeartbeat heartbeat;
    private final WatchEventPoll watchEventPoll;
    private final EventLog events;
    private final Counters counters = new Counters();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    /** XNIO's timer for the first deadline, null where none is set. */
    private XnioExecutor.Key wakeTimer;

    private boolean shuttingDown;
    private long bufferedBytes;

    /** A loop on the system's clock. */
    public EventLoop() throws IOException {
        this(Clock.system());
    }

    /** A loop on a clock of the caller's. */
    public EventLoop(Clock clock) throws IOException {
        this.clock = clock;
        deadlines = new Deadlines(clock, this::wakeAfter);
        heartbeat = new LoopHeartbeat(clock, deadlines);
        watchEventPoll = new WatchEventPoll(clock);
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.WORKER_NAME, "frostreel")
                        .getMap());
        thread = worker.getIoThread();
        watchdog = new EventLoopWatchdog(thread);
        events = new EventLog(clock::now);
    }

    private void wakeAfter(long delayUs) {
        if (shuttingDown) {
            return; // A thread that terminates takes no more timers, and none is wanted.
        }
        if (wakeTimer != null) {
            wakeTimer.remove();
        }
        wakeTimer = thread.executeAfter(
                () -> {
                    wakeTimer = null;
                    pollWatchEventsIfDue();
                    deadlines.runDue();
                },
                toMsRoundedUp(delayUs),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Rounded up, so that a timer never runs before its deadline: XNIO cuts delays to whole milliseconds, and runs a
     * timer that is due in less than one at once. It would find nothing due and be set again, over and over, and keep
     * the thread from its sockets meanwhile.
     */
    private static long toMsRoundedUp(long us) {
        return (us + US_PER_MS - 1) / US_PER_MS;
    }

    /** Sets what reads the watch events that discovery has sent and that are still unread. */
    public void onWatchEventPoll(Runnable poll) {
        watchEventPoll.setPoll(poll);
    }

    /** Sets how soon sends to a server have to stop once discovery has reported that it is draining. */
    public void setStopSendingUs(long stopSendingUs) {
        watchEventPoll.setStopSendingUs(stopSendingUs);
    }

    /** Polls for watch events where that is due; called before whatever comes from outside is handled. */
    void pollWatchEventsIfDue() {
        watchEventPoll.runIfDue();
    }

    /** Starts the heartbeat and the watchdog; called before anything comes from outside. */
    public void start() {
        watchdog.start();
        heartbeat.start(watchdog);
    }

    /** Sets what is called with the time at each heartbeat, five times a second. */
    public void onHeartbeat(LongConsumer listener) {
        heartbeat.setListener(listener);
    }

    /**
     * The earliest time at which what is read now may have arrived. That is now, unless the loop is late: data that
     * waited while this process was paused, had no core, or was busy with one long task, must not have that time again.
     */
    public long earliestArrivalUs() {
        return heartbeat.earliestArrivalUs();
    }

    /** Ends the thread, and waits until it has ended, for a second at most. From any other thread. */
    public void shutDown() throws InterruptedException {
        watchdog.end();
        thread.execute(() -> {
            shuttingDown = true;
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

    /** How long ago the last heartbeat was. */
    public long sinceHeartbeatUs() {
        return heartbeat.sinceLastUs();
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
