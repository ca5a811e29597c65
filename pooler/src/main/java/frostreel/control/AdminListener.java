package frostreel.control;

import frostreel.net.Acceptor;
import frostreel.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * Owns the socket at which operators call, and the callers' connections: places of their own, out of the
 * descriptors that are kept for the program itself, which neither clients nor silent callers can use up.
 */
public final class AdminListener {
    /** So many callers at once; where there are more, the one that has been silent for longest is closed. */
    private static final int MAX_CALLERS = 24;

    private static final int BACKLOG = 256;
    private final EventLoop loop;
    private final CommandExecutor commands;
    private final Set<AdminConnection> callers = new LinkedHashSet<>();
    private final Acceptor acceptor;

    public AdminListener(EventLoop loop, CommandExecutor commands) {
        this.loop = loop;
        this.commands = commands;
        acceptor = new Acceptor(loop, "a caller", this::onAccepted);
    }

    public void open(InetSocketAddress address) throws IOException {
        acceptor.open(
                address,
                false,
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, BACKLOG)
                        .getMap());
        acceptor.resume();
    }

    public InetSocketAddress address() {
        return acceptor.address();
    }

    private void onAccepted(StreamConnection connection) {
        if (callers.size() >= MAX_CALLERS) {
            callers.iterator().next().closeSilent();
        }
        AdminConnection caller = new AdminConnection(loop, this, connection);
        callers.add(caller);
        caller.begin();
    }

    CommandExecutor commands() {
        return commands;
    }

    void onClosed(AdminConnection caller) {
        callers.remove(caller);
    }
}
