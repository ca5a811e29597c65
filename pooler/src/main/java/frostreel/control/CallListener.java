package frostreel.control;

import frostreel.net.Loop;
import frostreel.net.Stream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.logging.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * Owns the socket at which operators call, and the callers' connections: places of their own, out of the
 * descriptors that are kept for the program itself, which neither clients nor silent callers can use up.
 */
public final class CallListener {
    /** So many callers at once; where there are more, the one that has been silent for longest is closed. */
    private static final int MOST_CALLERS = 24;
    private static final int BACKLOG = 256;
    private static final Logger LOG = Logger.getLogger(CallListener.class.getName());
    private final Loop loop;
    private final Operator operator;
    private final Set<CallConnection> callers = new LinkedHashSet<>();
    private AcceptingChannel<StreamConnection> channel;

    public CallListener(Loop loop, Operator operator) {
        this.loop = loop;
        this.operator = operator;
    }

    public void open(InetSocketAddress address) throws IOException {
        channel = loop.worker().createStreamConnectionServer(address, this::accept, OptionMap.builder()
                .set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG).getMap());
        channel.resumeAccepts();
    }

    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                if (callers.size() >= MOST_CALLERS) {
                    callers.iterator().next().silent();
                }
                CallConnection caller = new CallConnection(loop, this, c);
                callers.add(caller);
                caller.begin();
            }
        } catch (IOException e) {
            LOG.warning("accepting a caller failed: " + e.getMessage());
        }
    }

    Operator operator() {
        return operator;
    }

    void closed(CallConnection caller) {
        callers.remove(caller);
    }
}
