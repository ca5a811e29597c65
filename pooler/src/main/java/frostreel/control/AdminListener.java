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
 * The admin endpoint: owns the socket at which operators call, and their connections. These have places of
 * their own, taken from the descriptors reserved for the program itself, so that neither clients nor silent
 * callers can keep an operator out.
 */
public final class AdminListener {
    /** The most callers at once; one more closes the connection that has been silent for longest. */
    private static final int MAX_CALLERS = 24;

    private static final int BACKLOG = 256;
    private final EventLoop loop;
    private final CommandExecutor commands;
    /** The caller that connected first comes first. */
    private final Set<AdminConnection> callers = new LinkedHashSet<>();

    private final Acceptor acceptor;

    /** Hands all commands to the executor; call {@link #open} to listen. */
    public AdminListener(EventLoop loop, CommandExecutor commands) {
        this.loop = loop;
        this.commands = commands;
        acceptor = new Acceptor(loop, "a caller", this::onAccepted);
    }

    /** Listens at the address, and accepts from then on. */
    public void open(InetSocketAddress address) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .getMap();
        acceptor.open(address, false, options);
        acceptor.resume();
    }

    /** Where it listens. */
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
