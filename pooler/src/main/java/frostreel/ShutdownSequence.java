package frostreel;

import frostreel.net.EventLoop;
import frostreel.operation.ServingLifecycle;
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

    /** The clients and requests to drain. Called on the I/O thread. */
    interface Workload {
        /** Closes the connections that the lifecycle no longer permits. */
        void applyLifecycle();

        /** Returns the number of connected clients. */
        int openClients();

        /** Returns the number of requests without a final response. */
        int openRequests();
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
    private final CountDownLatch drained = new CountDownLatch(1);

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
        // Without the timeout, a client that neither completes a message nor disconnects would delay the exit
        // until SIGKILL.
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
