package frostreel;

import frostreel.net.EventLoop;
import frostreel.operation.ServingLifecycle;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown after SIGTERM: clients keep their connections and are served until shortly before SIGKILL
 * is due, as no other process would serve them better; then idle connections are closed, and the others after
 * their responses. {@link ServingLifecycle} holds the times.
 */
final class ShutdownSequence {
    private static final long CHECK_INTERVAL_US = 20_000;
    private static final long LEAVE_CLUSTER_TIMEOUT_MS = 300;

    /** The clients and requests that are drained. Called on the I/O thread. */
    interface Workload {
        /** Closes the connections that must be closed by the lifecycle now. */
        void applyLifecycle();

        /** How many clients are connected. */
        int openClients();

        /** How many requests have no final response yet. */
        int openRequests();
    }

    /** The cluster that this process leaves at its end. */
    interface ClusterMembership {
        /** For a process that is a member of no cluster. */
        ClusterMembership NONE = timeoutMs -> {};

        /** Leaves the cluster, and waits for that at most for the timeout; not for the I/O thread. */
        void leave(long timeoutMs) throws InterruptedException;
    }

    private final EventLoop loop;
    private final ServingLifecycle lifecycle;
    private final Workload workload;
    private final ClusterMembership cluster;
    private final CountDownLatch drained = new CountDownLatch(1);

    ShutdownSequence(EventLoop loop, ServingLifecycle lifecycle, Workload workload, ClusterMembership cluster) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.workload = workload;
        this.cluster = cluster;
    }

    /**
     * Drains this process, waits for that for a bounded time, and leaves the cluster; not for the I/O thread.
     * Returns whether all clients and requests have ended.
     */
    boolean run() throws InterruptedException {
        loop.thread().execute(this::begin);
        // A client that neither completes a message nor disconnects must not keep the process until SIGKILL.
        boolean drainedInTime = drained.await(lifecycle.shutdownTimeoutUs(), TimeUnit.MICROSECONDS);
        cluster.leave(LEAVE_CLUSTER_TIMEOUT_MS);
        return drainedInTime;
    }

    private void begin() {
        lifecycle.terminate(loop.clock().now());
        workload.applyLifecycle();
        loop.deadlines().at(lifecycle.closeIdleAtUs(), workload::applyLifecycle);
        loop.deadlines().at(lifecycle.lastResponseUs(), workload::applyLifecycle);
        awaitDrained();
    }

    private void awaitDrained() {
        if (lifecycle.mayExit(loop.clock().now(), workload.openClients(), workload.openRequests())) {
            drained.countDown();
        } else {
            loop.deadlines().after(CHECK_INTERVAL_US, this::awaitDrained);
        }
    }
}
