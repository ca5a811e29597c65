package frostreel.lab.standin;

import frostreel.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** A listening socket that passes on each accepted connection, on the event loop's thread. */
public final class Port {
    private static final int BACKLOG = 1024;
    private final AcceptingChannel<StreamConnection> channel;

    /**
     * Listens.
     *
     * @param at where to listen; port 0 takes a free one
     * @param accepted takes each connection
     * @throws IOException where the address cannot be bound
     */
    public Port(EventLoop loop, InetSocketAddress at, Consumer<StreamConnection> accepted) throws IOException {
        channel = loop.worker()
                .createStreamConnectionServer(
                        at,
                        from -> {
                            try {
                                for (StreamConnection next = from.accept(); next != null; next = from.accept()) {
                                    accepted.accept(next);
                                }
                            } catch (IOException e) {
                                // Such as no file descriptors left: the run's results are no longer valid.
                                IoUtils.safeClose(from);
                                throw new IllegalStateException("accepting failed at " + at, e);
                            }
                        },
                        OptionMap.builder()
                                .set(Options.TCP_NODELAY, true)
                                .set(Options.REUSE_ADDRESSES, true)
                                .set(Options.BACKLOG, BACKLOG)
                                .getMap());
        channel.resumeAccepts();
    }

    /** The address at which it listens. */
    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** Stops listening; accepted connections stay. */
    public void close() {
        IoUtils.safeClose(channel);
    }
}
