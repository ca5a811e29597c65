package frostreel.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.function.Consumer;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.AcceptBackOff;
import org.xnio.nio.TcpServers;

/**
 * Owns one listening socket and accepts from it. Where the system fails an accept, as it does for want of
 * descriptors or buffers, it tries again every {@link #RETRY_US}, for as long as that lasts: whoever waits in
 * the backlog has been accepted by the system already, and is owed an answer. Used on the I/O thread.
 */
public final class Acceptor {
    /** From a failed accept to the next try; it does not grow. */
    static final long RETRY_US = 20_000;
    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());
    private final Loop loop;
    private final String accepted;
    private final int mostAtOnce;
    private final Consumer<StreamConnection> taker;
    private final Runnable onFailure;
    private AcceptingChannel<StreamConnection> channel;
    /** Since when accepts have failed, 0 while they do not. */
    private long failingSinceUs;
    private long failures;
    /** Whether accepting was asked for, and whether it rests until the next try. */
    private boolean wanted;
    private boolean retrying;

    /**
     * {@code accepted}: what connects, for the log; {@code mostAtOnce}: how many are accepted in one turn,
     * so that a storm of connections leaves time to those in hand; {@code taker}: owns each connection from
     * then on; {@code onFailure}: frees descriptors of this process, where it can.
     */
    public Acceptor(Loop loop, String accepted, int mostAtOnce, Consumer<StreamConnection> taker,
            Runnable onFailure) {
        this.loop = loop;
        this.accepted = accepted;
        this.mostAtOnce = mostAtOnce;
        this.taker = taker;
        this.onFailure = onFailure;
    }

    /** Listens, with accepting suspended; where it {@code inherits}, descriptor 0 is the socket. */
    public void open(InetSocketAddress address, boolean inherits, OptionMap options) throws IOException {
        channel = inherits ? TcpServers.inherit(loop.worker(), c -> accept(mostAtOnce), options)
                : TcpServers.bind(loop.worker(), address, c -> accept(mostAtOnce), options);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Accepts from now on. */
    public void resume() {
        wanted = true;
        if (!retrying) {
            channel.resumeAccepts();
        }
    }

    /** Accepts nothing more for now; what waits in the backlog stays there. */
    public void suspend() {
        wanted = false;
        channel.suspendAccepts();
    }

    /**
     * Accepts all that waits in the backlog, as a close would reset it, then closes the listening socket;
     * while accepts fail, that waits too.
     */
    public void close() {
        if (channel.isOpen()) {
            accept(Integer.MAX_VALUE);
            if (failingSinceUs == 0) {
                IoUtils.safeClose(channel);
            } else {
                loop.deadlines().after(RETRY_US, this::close);
            }
        }
    }

    private void accept(int most) {
        try {
            for (int i = 0; i < most; i++) {
                StreamConnection c = channel.accept();
                if (c == null) {
                    if (AcceptBackOff.isOn(channel)) {
                        failed();
                    }
                    return;
                }
                recovered();
                taker.accept(c);
            }
        } catch (ClosedChannelException e) {
            LOG.fine("the listening socket is closed");
        } catch (IOException e) {
            LOG.warning("accepting " + accepted + " failed: " + e.getMessage());
        }
    }

    private void failed() {
        loop.counters().acceptFailures++;
        failures++;
        if (failingSinceUs == 0) {
            failingSinceUs = loop.clock().now();
            LOG.warning("accepting " + accepted + " fails; tried again every " + RETRY_US / 1000 + " ms");
        }
        onFailure.run();
        if (!retrying) {
            retrying = true;
            channel.suspendAccepts(); // Or XNIO's own timers, one from each failure, would try in between.
            loop.deadlines().after(RETRY_US, this::retry);
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
            LOG.info("accepting " + accepted + " goes on after " + ms + " ms, " + failures + " failures");
            failingSinceUs = 0;
            failures = 0;
        }
    }
}
