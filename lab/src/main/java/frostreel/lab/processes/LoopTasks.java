package frostreel.lab.processes;

import frostreel.net.EventLoop;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Runs tasks on an event loop for other threads. */
final class LoopTasks {
    /** A task for the event loop's thread. */
    interface Task<T> {
        T run() throws IOException;
    }

    private LoopTasks() {}

    /** Runs a task on the event loop and waits for its result; from any thread but the loop's. */
    static <T> T call(EventLoop loop, Task<T> task) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.thread().execute(() -> {
            try {
                done.complete(task.run());
            } catch (IOException | RuntimeException e) {
                done.completeExceptionally(e);
            }
        });
        return done.get();
    }
}
