package frostreel;

import frostreel.net.EventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;

/** An event loop whose clock advances only when a test calls {@link #advance} or {@link #advanceTo}. */
final class ManualLoop {
    private static final long START_US = 1_000_000_000;

    private final AtomicLong nowUs = new AtomicLong(START_US);
    final EventLoop loop = new EventLoop(nowUs::get);

    ManualLoop() throws IOException {}

    /** Runs a task on the loop, after all tasks submitted earlier, and waits until it has run. */
    void run(Runnable task) throws ExecutionException, InterruptedException {
        CompletableFuture.runAsync(task, loop.thread()).get();
    }

    /** Advances the clock by this time and runs the deadlines that are due. */
    void advance(long byUs) throws ExecutionException, InterruptedException {
        advanceTo(nowUs.get() + byUs);
    }

    /** Advances the clock to this time and runs the deadlines that are due. */
    void advanceTo(long atUs) throws ExecutionException, InterruptedException {
        nowUs.set(atUs);
        run(loop.deadlines()::runDue);
    }

    /** Stops the loop and its thread. */
    void end() throws InterruptedException {
        loop.shutDown();
    }
}
