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
 * Owns one listening socket. It accepts on XNIO's accept thread, as the JDK tries an aborted accept again and
 * again before it returns, and hands each connection to the I/O thread. Where the system fails an accept, as
 * it does for want of descriptors or buffers, it tries again every {@link #RETRY_MS}, for as long as that
 * lasts: whoever waits in the backlog has been accepted by the system already, and is owed an answer. Its
 * public methods are called on the I/O thread.
 */
public final class Acceptor {
    /** From a failed accept to the next try; it does not grow. */
    static final long RETRY_MS = 20;

    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());
    private final EventLoop loop;
    private final String accepted;
    private final Consumer<StreamConnection> taker;
    private AcceptingChannel<StreamConnection> channel;
    /** Whether accepting was asked for; written on the I/O thread. */
    private volatile boolean wanted;
    // ---- Of the accept thread alone. ----
    private long failingSinceUs;
    private long failures;
    private boolean retrying;

    /**
     * {@code accepted}: what connects, for the log; {@code taker}: owns each connection from then on, and
     * runs on the I/O thread.
     */
    public Acceptor(EventLoop loop, String accepted, Consumer<StreamConnection> taker) {
        this.loop = loop;
        this.accepted = accepted;
        this.taker = taker;
    }

    /**
     * Listens, with accepting suspended; where it {@code inherits}, descriptor 0 is the socket.
     *
     * @throws IOException where the address is taken or not ours, or the system gives no socket
     */
    public void open(InetSocketAddress address, boolean inherits, OptionMap options) throws IOException {
        channel = inherits
                ? TcpServers.inherit(loop.worker(), c -> accept(), options)
                : TcpServers.bind(loop.worker(), address, c -> accept(), options);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Accepts from now on. */
    public void resume() {
        if (!wanted) {
            wanted = true;
            onAcceptThread(() -> {
                if (!retrying && wanted) {
                    channel.resumeAccepts();
                }
            });
        }
    }

    /** Accepts nothing more for now, but for what is being accepted; the rest stays in the backlog. */
    public void suspend() {
        wanted = false;
        channel.suspendAccepts();
    }

    /**
     * Accepts all that waits in the backlog, as a close would reset it, then closes the listening socket;
     * while accepts fail, that waits too.
     */
    public void close() {
        wanted = false;
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
        accept();
        if (failingSinceUs == 0) {
            IoUtils.safeClose(channel);
        } else {
            AcceptBackOff.thread(channel).executeAfter(this::acceptAllAndClose, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void accept() {
        try {
            for (StreamConnection c = channel.accept(); c != null; c = channel.accept()) {
                recovered();
                handOver(c);
            }
            if (AcceptBackOff.isOn(channel)) {
                failed();
            }
        } catch (ClosedChannelException e) {
            LOG.fine("the listening socket is closed");
        } catch (IOException e) {
            LOG.warning("accepting " + accepted + " failed: " + e.getMessage());
        }
    }

    private void handOver(StreamConnection c) {
        try {
            loop.thread().execute(() -> taker.accept(c));
        } catch (RejectedExecutionException e) {
            IoUtils.safeClose(c); // The program ends.
        }
    }

    private void failed() {
        failures++;
        if (failingSinceUs == 0) {
            failingSinceUs = loop.clock().now();
            LOG.warning("accepting " + accepted + " fails; tried again every " + RETRY_MS + " ms");
        }
        loop.thread().execute(() -> loop.counters().acceptFailures++);
        if (!retrying) {
            retrying = true;
            channel.suspendAccepts(); // Or XNIO's own timers, one from each failure, would try in between.
            AcceptBackOff.thread(channel).executeAfter(this::retry, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retry() {
        retrying = false;
        if (channel.isOpen()) {
            AcceptBackOff.end(channel);
            if (wanted) {
                channel.resumeAccepts();
            }
        }
    }

    private void recovered() {
        if (failingSinceUs != 0) {
            long ms = (loop.clock().now() - failingSinceUs) / 1000;
            LOG.info("accept recovered after " + ms + " ms, " + failures + " failures (" + accepted + ")");
            failingSinceUs = 0;
            failures = 0;
        }
    }
}
