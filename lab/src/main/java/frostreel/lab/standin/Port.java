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

/** A listening socket; what connects is handed on, on the loop's thread. */
public final class Port {
    private static final int BACKLOG = 1024;
    private final AcceptingChannel<StreamConnection> channel;

    /** Port 0 takes a free one. */
    public Port(EventLoop loop, InetSocketAddress at, Consumer<StreamConnection> accepted) throws IOException {
        channel = loop.worker()
                .createStreamConnectionServer(
                        at,
                        from -> {
                            try {
                                for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                                    accepted.accept(c);
                                }
                            } catch (IOException e) {
                                IoUtils.safeClose(
                                        from); // Without descriptors nothing of the run can be trusted any more.
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

    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    public void close() {
        IoUtils.safeClose(channel);
    }
}
