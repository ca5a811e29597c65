package frostreel.lab.processes;

import frostreel.net.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * A pooler as clients reach it: its idle connections, and whether it is ready, which an empty query tells. Used
 * on the event loop's thread alone.
 */
final class PoolerTarget implements LoadConnection.Listener {
    /** Hears what becomes of requests. */
    interface RequestListener {
        void answered(LoadRequest request, LoadConnection.Answer answer);

        /** No answer will come. */
        void unanswered(LoadRequest request);

        /** It met the end of an idle connection, and is to be sent once more. */
        void resend(LoadRequest request);
    }

    private static final long RECHECK_US = 50_000;
    /** Until a pooler that rejects health checks has left the balancer in front, it still gets clients. */
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

    /** Whether it has answered an empty query since it last was not ready. */
    boolean ready() {
        return ready;
    }

    /** Its process starts: {@code then} runs each time it becomes ready from now on. */
    void awaitReady(Runnable then) {
        onReady = then;
        markNotReady();
    }

    private void markNotReady() {
        ready = false;
        idle.clear();
        checkReadiness();
    }

    /** Sends an empty query on a new connection, unless one is out. */
    void checkReadiness() {
        if (!checking) {
            checking = true;
            new LoadConnection(loop, address, this).sendHealthCheck();
        }
    }

    /** Sends a request on an idle connection, or on a new one where there is none or it is resent. */
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
        if (loss == LoadConnection.Loss.NOT_WELCOMED) {
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
