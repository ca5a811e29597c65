package frostreel.lab.processes;

import frostreel.net.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * A pooler as clients reach it: its idle connections, and its readiness by health checks with an empty query. Used
 * on the event loop's thread alone.
 */
final class PoolerTarget implements LoadConnection.Listener {
    /** Is notified of the outcome of each request. */
    interface RequestListener {
        /** The request was answered, be it with an error. */
        void answered(LoadRequest request, LoadConnection.Answer answer);

        /** No answer will come. */
        void unanswered(LoadRequest request);

        /** The pooler closed the idle connection that the request was sent on; it has to be sent again. */
        void resend(LoadRequest request);
    }

    private static final long RECHECK_US = 50_000;
    /** How long the load balancer still sends clients to a pooler that rejects health checks. */
    private static final long REMOVAL_DELAY_US = 200_000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final RequestListener requests;
    private final ArrayDeque<LoadConnection> idle = new ArrayDeque<>();
    private Runnable onReady = () -> {};
    private boolean ready;
    private boolean checking;

    PoolerTarget(EventLoop loop, InetSocketAddress address, RequestListener requests) {
        this.loop = loop;
        this.address = address;
        this.requests = requests;
    }

    /** Whether it has answered a health check since it was last not ready. */
    boolean ready() {
        return ready;
    }

    /** Notes that the process starts: {@code then} runs each time the pooler becomes ready. */
    void awaitReady(Runnable then) {
        onReady = then;
        markNotReady();
    }

    private void markNotReady() {
        ready = false;
        idle.clear();
        checkReadiness();
    }

    /** Sends a health check on a new connection, unless one is in flight. */
    void checkReadiness() {
        if (!checking) {
            checking = true;
            new LoadConnection(loop, address, this).sendHealthCheck();
        }
    }

    /** Sends a request on an idle connection; on a new one if there is none, or if the request is resent. */
    void send(LoadRequest request, byte[] sql, long giveUpAfterUs) {
        LoadConnection reused = request.resent ? null : idle.pollLast();
        LoadConnection connection = reused == null ? new LoadConnection(loop, address, this) : reused;
        connection.send(request, sql, giveUpAfterUs);
    }

    @Override
    public void answered(LoadConnection connection, LoadRequest request, LoadConnection.Answer answer) {
        if (!connection.closed()) {
            idle.add(connection);
        }
        requests.answered(request, answer);
    }

    @Override
    public void lost(LoadRequest request, LoadConnection.Loss loss) {
        if (loss == LoadConnection.Loss.NOT_STARTED) {
            markNotReady();
        }
        if (loss == LoadConnection.Loss.CROSSED_IDLE_CLOSE && !request.resent) {
            requests.resend(request);
        } else {
            requests.unanswered(request);
        }
    }

    @Override
    public void gaveUp(LoadRequest request) {
        requests.unanswered(request);
    }

    @Override
    public void endedIdle(LoadConnection connection) {
        idle.remove(connection);
    }

    @Override
    public void checked(LoadConnection connection, LoadConnection.HealthCheckResult result) {
        switch (result) {
            case HEALTHY -> healthy(connection);
            case REJECTED -> {
                connection.close();
                if (ready) {
                    loop.deadlines().after(REMOVAL_DELAY_US, () -> {
                        checking = false;
                        markNotReady();
                    });
                } else {
                    recheckLater();
                }
            }
            case CONNECTION_ENDED -> recheckLater();
        }
    }

    private void healthy(LoadConnection connection) {
        checking = false;
        if (ready) {
            connection.close();
        } else {
            ready = true;
            idle.add(connection);
            onReady.run();
        }
    }

    private void recheckLater() {
        loop.deadlines().after(RECHECK_US, () -> {
            checking = false;
            checkReadiness();
        });
    }
}
