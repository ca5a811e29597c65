package frostreel.net;

import frostreel.log.EventLog;
import frostreel.stats.Counters;
import frostreel.time.Clock;
import frostreel.time.Deadlines;
import frostreel.util.BufferMemory;
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
 * Owns the single I/O thread of a pooler, with its clock, its timers and its read buffer. Methods are called on that
 * thread unless their comment allows others.
 */
public final class EventLoop {
    private static final int READ_BUFFER_BYTES = 1 << 16;

    private static final long SHUTDOWN_WAIT_S = 1;
    private static final long US_PER_MS = 1_000;

    private final XnioWorker worker;
    private final XnioIoThread thread;
    private final Clock clock;
    private final Deadlines deadlines;
    private final EventLoopWatchdog watchdog;
    private final LoopHeartbeat heartbeat;
    private final WatchEventPoll watchEventPoll;
    private final DeferredTasks deferredTasks;
    private final EventLog events;
    private final Counters counters = new Counters();
    private final BufferMemory buffers = BufferMemory.ofThisProcess();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
    /** XNIO's timer for the earliest deadline, null if none is set. */
    private XnioExecutor.Key wakeTimer;

    private boolean shuttingDown;

    /** Creates an event loop that uses the system clock. */
    public EventLoop() throws IOException {
        this(Clock.system());
    }

    /** Creates an event loop that uses the given clock. */
    public EventLoop(Clock clock) throws IOException {
        this.clock = clock;
        deadlines = new Deadlines(clock, this::wakeAfter);
        heartbeat = new LoopHeartbeat(clock, deadlines);
        deferredTasks = new DeferredTasks(deadlines);
        watchEventPoll = new WatchEventPoll(clock);
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.WORKER_NAME, "frostreel")
                        .getMap());
        thread = worker.getIoThread();
        buffers.resumeWith(thread);
        watchdog = new EventLoopWatchdog(thread);
        events = new EventLog(clock::now);
    }

    private void wakeAfter(long delayUs) {
        if (shuttingDown) {
            return; // A terminating thread accepts no more timers, and none is needed.
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
     * Converts to milliseconds, rounded up so that a timer never runs before its deadline. XNIO truncates delays to
     * whole milliseconds and runs a timer with a delay below one at once; the timer would find no deadline due and be
     * set again in a busy loop, during which the thread serves no sockets.
     */
    private static long toMsRoundedUp(long us) {
        return (us + US_PER_MS - 1) / US_PER_MS;
    }

    /** Sets the task that reads the unread watch events of discovery. */
    public void onWatchEventPoll(Runnable poll) {
        watchEventPoll.setPoll(poll);
    }

    /** Sets the time within which sends to a server have to stop after discovery has reported that it is draining. */
    public void setStopSendingUs(long stopSendingUs) {
        watchEventPoll.setStopSendingUs(stopSendingUs);
    }

    /** Polls for watch events if a poll is due; called before any external event is handled. */
    void pollWatchEventsIfDue() {
        watchEventPoll.runIfDue();
    }

    /** Starts the heartbeat and the watchdog; called before any external event is handled. */
    public void start() {
        watchdog.start();
        heartbeat.start(watchdog);
    }

    /** Sets the listener that is called with the current time at each heartbeat, five times a second. */
    public void onHeartbeat(LongConsumer listener) {
        heartbeat.setListener(listener);
    }

    /**
     * The earliest time at which data that is read now may have arrived: the current time, unless the loop is late.
     * Timeouts of data that waited in the socket while the process was paused, got no CPU time or ran a long task start
     * at that time, as the wait would extend them otherwise.
     */
    public long earliestArrivalUs() {
        return heartbeat.earliestArrivalUs();
    }

    /**
     * Runs a task in a later turn, after deadlines and the sockets of other connections had theirs; for a connection
     * that has had its share of this turn.
     */
    public void defer(Runnable task) {
        deferredTasks.add(task);
    }

    /** Terminates the I/O thread, and waits for its end for at most one second. Called on any other thread. */
    public void shutDown() throws InterruptedException {
        watchdog.end();
        thread.execute(() -> {
            shuttingDown = true;
            worker.shutdownNow();
        });
        worker.awaitTermination(SHUTDOWN_WAIT_S, TimeUnit.SECONDS);
    }

    /** XNIO's worker, which owns the I/O thread and the accept thread. */
    public XnioWorker worker() {
        return worker;
    }

    /** The I/O thread; any thread may submit tasks to it. */
    public XnioIoThread thread() {
        return thread;
    }

    /** The clock of this loop; called on any thread. */
    public Clock clock() {
        return clock;
    }

    /** The timers of this loop. */
    public Deadlines deadlines() {
        return deadlines;
    }

    /** The counters of everything that runs on this loop. */
    public Counters counters() {
        return counters;
    }

    /** The log of events of single requests and connections. */
    public EventLog events() {
        return events;
    }

    /** Time since the last heartbeat. */
    public long sinceHeartbeatUs() {
        return heartbeat.sinceLastUs();
    }

    /** The memory of the buffers of everything that runs on this loop. */
    public BufferMemory buffers() {
        return buffers;
    }

    /** The cleared read buffer; its content is valid until the next call. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }
}
