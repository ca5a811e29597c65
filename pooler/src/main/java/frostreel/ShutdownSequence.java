package frostreel;

import frostreel.net.EventLoop;
import frostreel.operation.ServingLifecycle;
import frostreel.time.Deadlines;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown after SIGTERM. Without a successor, clients are served until shortly before SIGKILL is due,
 * as no other process would serve them better; then idle connections are closed, and the others after their responses.
 * With a successor, connections are closed earlier, so that clients reconnect to it. {@link ServingLifecycle}
 * determines the times.
 */
final class ShutdownSequence {
    private static final long CHECK_INTERVAL_US = 20_000;
    private static final long LEAVE_CLUSTER_TIMEOUT_MS = 300;
    /** How often the waiting thread checks that the I/O thread, which reports the end, has not terminated. */
    private static final long LOOP_CHECK_INTERVAL_MS = 500;

    /** The clients and requests to drain. Called on the I/O thread. */
    interface Workload {
        /** Closes the connections that the lifecycle no longer permits. */
        void applyLifecycle();

        /** Returns the number of connected clients. */
        int openClients();

        /** Returns the number of requests without a final response. */
        int openRequests();

        /** Returns the number of clients that have not received the whole response to their request. */
        int owedResponses();
    }

    /** The membership in a cluster, which this process gives up at its end. */
    interface ClusterMembership {
        /** Used by a process that is not a member of a cluster. */
        ClusterMembership NONE = timeoutMs -> {};

        /** Leaves the cluster and waits until that is done or the timeout has passed; not for the I/O thread. */
        void leave(long timeoutMs) throws InterruptedException;
    }

    private final EventLoop loop;
    private final ServingLifecycle lifecycle;
    private final Workload workload;
    private final ClusterMembership cluster;
    private final CountDownLatch ended = new CountDownLatch(1);
    /** Whether all clients and requests ended in time; written before {@link #ended} is counted down. */
    private volatile boolean drained;
    /** The times at which connections close, in the settings for which {@link #closings} were scheduled. */
    private List<Long> closingTimesUs = List.of();

    private List<Deadlines.Deadline> closings = List.of();

    ShutdownSequence(EventLoop loop, ServingLifecycle lifecycle, Workload workload, ClusterMembership cluster) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.workload = workload;
        this.cluster = cluster;
    }

    /**
     * Drains this process with a timeout, then leaves the cluster; not for the I/O thread.
     *
     * @return whether all clients and requests ended in time
     */
    boolean run() throws InterruptedException {
        loop.thread().execute(this::begin);
        boolean loopEnded = false;
        while (!loopEnded && !ended.await(LOOP_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
            loopEnded = !loop.thread().isAlive();
        }
        cluster.leave(LEAVE_CLUSTER_TIMEOUT_MS);
        return drained;
    }

    private void begin() {
        lifecycle.terminate(loop.clock().now());
        workload.applyLifecycle();
        awaitDrained();
    }

    /** Schedules the closing of connections anew if a reload has changed its times. */
    private void scheduleClosings() {
        List<Long> timesUs = List.of(lifecycle.closeIdleAtUs(), lifecycle.lastResponseUs());
        if (timesUs.equals(closingTimesUs)) {
            return;
        }
        closings.forEach(loop.deadlines()::cancel);
        closings = timesUs.stream()
                .map(atUs -> loop.deadlines().at(atUs, workload::applyLifecycle))
                .toList();
        closingTimesUs = timesUs;
    }

    private void awaitDrained() {
        scheduleClosings();
        long nowUs = loop.clock().now();
        int openRequests = workload.openRequests();
        if (lifecycle.mayExit(nowUs, workload.openClients(), openRequests)) {
            drained = true;
            ended.countDown();
        } else if (lifecycle.mustExit(nowUs, Math.max(openRequests, workload.owedResponses()))) {
            ended.countDown();
        } else {
            loop.deadlines().after(CHECK_INTERVAL_US, this::awaitDrained);
        }
    }
}
