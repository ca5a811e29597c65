package frostreel.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.AcceptBackOff;
import org.xnio.nio.TcpServers;

/**
 * Owns one listening socket. It accepts on XNIO's accept thread, as the JDK retries an aborted accept again and again
 * before it returns, and hands each connection to the I/O thread. Where the system fails an accept, as it does for
 * want of descriptors or buffers, it retries every {@link #RETRY_MS}, for as long as that lasts: what waits in the
 * backlog has been accepted by the system already, and is owed an answer. Its public methods are called on the I/O
 * thread.
 */
public final class Acceptor {
    /** From a failed accept to the next; it does not grow. */
    static final long RETRY_MS = 20;

    private static final long NOT_FAILING = 0;
    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());
    private final EventLoop loop;
    private final String peerName;
    private final Consumer<StreamConnection> connectionHandler;
    private AcceptingChannel<StreamConnection> channel;
    /** Whether accepting was asked for; written on the I/O thread. */
    private volatile boolean accepting;
    // ---- Of the accept thread alone. ----
    private long failingSinceUs = NOT_FAILING;
    private long failures;
    private boolean retryScheduled;

    /**
     * Makes an acceptor that does not listen yet.
     *
     * @param peerName what connects, for the log
     * @param connectionHandler owns each connection from its acceptance on; called on the I/O thread
     */
    public Acceptor(EventLoop loop, String peerName, Consumer<StreamConnection> connectionHandler) {
        this.loop = loop;
        this.peerName = peerName;
        this.connectionHandler = connectionHandler;
    }

    /**
     * Listens, with accepting suspended.
     *
     * @param inherited whether the socket is descriptor 0, in place of a new one at {@code address}
     * @throws IOException where the address is taken or not ours, or the system gives no socket
     */
    public void open(InetSocketAddress address, boolean inherited, OptionMap options) throws IOException {
        channel = inherited
                ? TcpServers.inherit(loop.worker(), ready -> acceptAll(), options)
                : TcpServers.bind(loop.worker(), address, ready -> acceptAll(), options);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Accepts from now on. */
    public void resume() {
        if (!accepting) {
            accepting = true;
            onAcceptThread(() -> {
                if (!retryScheduled && accepting) {
                    channel.resumeAccepts();
                }
            });
        }
    }

    /** Accepts nothing more for now, but for what is being accepted; the rest stays in the backlog. */
    public void suspend() {
        accepting = false;
        channel.suspendAccepts();
    }

    /**
     * Accepts all that waits in the backlog, which a close would reset, then closes the listening socket; while
     * accepts fail, the close waits.
     */
    public void close() {
        accepting = false;
        if (channel.isOpen()) {
            onAcceptThread(this::acceptAllAndClose);
        }
    }

    private void onAcceptThread(Runnable task) {
        try {
            AcceptBackOff.thread(channel).execute(task);
        } catch (RejectedExecutionException e) {
            LOG.fine("the program ends, and accepts nothing more");
        }
    }

    // ---- On the accept thread. ----

    private void acceptAllAndClose() {
        acceptAll();
        if (failingSinceUs == NOT_FAILING) {
            IoUtils.safeClose(channel);
        } else {
            AcceptBackOff.thread(channel).executeAfter(this::acceptAllAndClose, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void acceptAll() {
        try {
            for (StreamConnection connection = channel.accept(); connection != null; connection = channel.accept()) {
                onAccepted();
                handOver(connection);
            }
            if (AcceptBackOff.isOn(channel)) {
                onFailed();
            }
        } catch (ClosedChannelException e) {
            LOG.fine("the listening socket is closed");
        } catch (IOException e) {
            LOG.warning("accept failed: " + e.getMessage() + " (" + peerName + ")");
        }
    }

    private void handOver(StreamConnection connection) {
        try {
            loop.thread().execute(() -> connectionHandler.accept(connection));
        } catch (RejectedExecutionException e) {
            IoUtils.safeClose(connection); // The program ends.
        }
    }

    private void onFailed() {
        failures++;
        if (failingSinceUs == NOT_FAILING) {
            failingSinceUs = loop.clock().now();
            LOG.warning("accept failed; retrying every " + RETRY_MS + " ms (" + peerName + ")");
        }
        loop.thread().execute(() -> loop.counters().acceptFailures++);
        if (!retryScheduled) {
            retryScheduled = true;
            channel.suspendAccepts(); // Or XNIO's own timers, one from each failure, would retry in between.
            AcceptBackOff.thread(channel).executeAfter(this::retry, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retry() {
        retryScheduled = false;
        if (channel.isOpen()) {
            AcceptBackOff.end(channel);
            if (accepting) {
                channel.resumeAccepts();
            }
        }
    }

    private void onAccepted() {
        if (failingSinceUs != NOT_FAILING) {
            long failedForMs = (loop.clock().now() - failingSinceUs) / 1000;
            LOG.info("accept recovered after " + failedForMs + " ms, " + failures + " failures (" + peerName + ")");
            failingSinceUs = NOT_FAILING;
            failures = 0;
        }
    }
}
