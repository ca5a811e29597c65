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
 * Owns one listening socket. It accepts on XNIO's accept thread and hands each connection to the I/O thread: the JDK
 * retries an aborted accept in a loop before it returns, which must not block the I/O thread.
 *
 * <p>If an accept fails because the system is out of descriptors or buffers, it is retried every {@link
 * #RETRY_INTERVAL_MS} until it succeeds: for the clients in the backlog the connection is established already, and they
 * wait for a response. Public methods are called on the I/O thread.
 */
public final class Acceptor {
    /** Time from a failed accept to the next attempt; constant, without exponential backoff. */
    static final long RETRY_INTERVAL_MS = 20;

    /** Value of {@link #failingSinceUs} while accepts succeed. */
    private static final long NOT_FAILING = 0;

    private static final long US_PER_MS = 1_000;
    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());

    private final EventLoop loop;
    private final String peerName;
    private final Consumer<StreamConnection> connectionHandler;
    private AcceptingChannel<StreamConnection> channel;
    /** Whether connections are to be accepted; written on the I/O thread, read on both threads. */
    private volatile boolean accepting;

    // ---- State that is used on the accept thread only. ----
    private long failingSinceUs = NOT_FAILING;
    private long failureCount;
    private boolean retryScheduled;

    /**
     * Creates an acceptor that does not listen yet.
     *
     * @param peerName kind of the connecting peer, for the log
     * @param connectionHandler takes ownership of each accepted connection; called on the I/O thread
     */
    public Acceptor(EventLoop loop, String peerName, Consumer<StreamConnection> connectionHandler) {
        this.loop = loop;
        this.peerName = peerName;
        this.connectionHandler = connectionHandler;
    }

    /**
     * Opens the listening socket, with accepting suspended.
     *
     * @param inherited whether to use descriptor 0 as the socket, instead of binding a new one to {@code address}
     * @throws IOException if the address is in use or not local, or if no socket can be opened
     */
    public void open(InetSocketAddress address, boolean inherited, OptionMap options) throws IOException {
        channel = inherited
                ? TcpServers.inherit(loop.worker(), ready -> acceptAll(), options)
                : TcpServers.bind(loop.worker(), address, ready -> acceptAll(), options);
    }

    /** The local address of the listening socket. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Starts or resumes accepting. */
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

    /** Suspends accepting; an accept in progress may still complete, other connections stay in the backlog. */
    public void suspend() {
        accepting = false;
        channel.suspendAccepts();
    }

    /**
     * Accepts all connections in the backlog, which would be reset otherwise, then closes the listening socket. The
     * close is delayed while accepts fail.
     */
    public void close() {
        accepting = false;
        if (channel.isOpen()) {
            onAcceptThread(this::acceptAllAndClose);
        }
    }

    private void onAcceptThread(Runnable task) {
        try {
            AcceptBackOff.acceptThread(channel).execute(task);
        } catch (RejectedExecutionException e) {
            LOG.fine("the process is shutting down; nothing more is accepted");
        }
    }

    // ---- Called on the accept thread. ----

    private void acceptAllAndClose() {
        acceptAll();
        if (failingSinceUs == NOT_FAILING) {
            IoUtils.safeClose(channel);
        } else {
            AcceptBackOff.acceptThread(channel)
                    .executeAfter(this::acceptAllAndClose, RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void acceptAll() {
        try {
            for (StreamConnection connection = channel.accept(); connection != null; connection = channel.accept()) {
                onAccepted();
                handOver(connection);
            }
            if (AcceptBackOff.isActive(channel)) {
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
            IoUtils.safeClose(connection); // The process is shutting down.
        }
    }

    private void onFailed() {
        failureCount++;
        if (failingSinceUs == NOT_FAILING) {
            failingSinceUs = loop.clock().now();
            LOG.warning("accept failed; retrying every " + RETRY_INTERVAL_MS + " ms (" + peerName + ")");
        }
        loop.thread().execute(() -> loop.counters().acceptFailures++);
        if (!retryScheduled) {
            retryScheduled = true;
            channel.suspendAccepts(); // XNIO's own timers, one per failure, would otherwise retry in between.
            AcceptBackOff.acceptThread(channel).executeAfter(this::retry, RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
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
            long failedForMs = (loop.clock().now() - failingSinceUs) / US_PER_MS;
            LOG.info("accept recovered after " + failedForMs + " ms, " + failureCount + " failures (" + peerName + ")");
            failingSinceUs = NOT_FAILING;
            failureCount = 0;
        }
    }
}
