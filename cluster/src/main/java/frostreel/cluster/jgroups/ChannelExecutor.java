package frostreel.cluster.jgroups;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The only thread that calls a channel, as joining, sending and leaving may block. Its queue is bounded: {@link
 * #execute} throws {@link java.util.concurrent.RejectedExecutionException} if the queue is full.
 */
final class ChannelExecutor implements Executor {
    private static final int QUEUE_CAPACITY = 1024;

    private final ThreadPoolExecutor executor = new ThreadPoolExecutor(
            1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(QUEUE_CAPACITY), ChannelExecutor::newThread);

    private static Thread newThread(Runnable worker) {
        Thread thread = new Thread(worker, "cluster");
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void execute(Runnable task) {
        executor.execute(task);
    }

    /** Discards the queued tasks, runs one last task and ends the thread. */
    void finishWith(Runnable last) {
        executor.getQueue().clear();
        executor.execute(last);
        executor.shutdown();
    }

    /** Blocks until the thread has ended; returns false if the timeout expires first. */
    boolean awaitTermination(long timeoutMs) throws InterruptedException {
        return executor.awaitTermination(timeoutMs, TimeUnit.MILLISECONDS);
    }
}
