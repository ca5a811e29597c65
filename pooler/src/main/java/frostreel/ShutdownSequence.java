package frostreel;

import frostreel.broker.Broker;
import frostreel.fleet.ClusterMember;
import frostreel.frontend.Listener;
import frostreel.net.EventLoop;
import frostreel.operation.ServingLifecycle;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The graceful shutdown after SIGTERM: clients keep their connections and are served until shortly before
 * SIGKILL is due, as they would be no better off elsewhere; then idle connections are closed, and the others
 * with their answers.
 */
final class ShutdownSequence {
    private static final long CHECK_INTERVAL_US = 20_000;
    private static final long LEAVE_CLUSTER_MS = 300;

    private final EventLoop loop;
    private final ServingLifecycle lifecycle;
    private final Listener listener;
    private final Broker broker;
    /** Null where the poolers form no cluster. */
    private final ClusterMember clusterMember;

    private final CountDownLatch drained = new CountDownLatch(1);

    ShutdownSequence(
            EventLoop loop, ServingLifecycle lifecycle, Listener listener, Broker broker, ClusterMember clusterMember) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.listener = listener;
        this.broker = broker;
        this.clusterMember = clusterMember;
    }

    /**
     * Drains this process and waits for that, for a bounded time; not for the I/O thread. Returns whether all
     * clients and requests have ended.
     */
    boolean run() throws InterruptedException {
        loop.thread().execute(this::begin);
        // A client that neither completes a message nor disconnects must not keep the process until SIGKILL.
        boolean clean = drained.await(lifecycle.shutdownTimeoutUs(), TimeUnit.MICROSECONDS);
        if (clusterMember != null) {
            clusterMember.leave(loop, LEAVE_CLUSTER_MS);
        }
        return clean;
    }

    private void begin() {
        lifecycle.terminate(loop.clock().now());
        listener.applyLifecycle();
        loop.deadlines().at(lifecycle.closeIdleAtUs(), listener::applyLifecycle);
        loop.deadlines().at(lifecycle.lastResponseUs(), listener::applyLifecycle);
        awaitDrained();
    }

    private void awaitDrained() {
        if (lifecycle.mayExit(loop.clock().now(), listener.openClients(), broker.openRequests())) {
            drained.countDown();
        } else {
            loop.deadlines().after(CHECK_INTERVAL_US, this::awaitDrained);
        }
    }
}
