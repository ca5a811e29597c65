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
 * The admin endpoint: owns the socket to which operators connect, and their connections. These have a limit of
 * their own and use descriptors reserved for the program itself, so that neither clients nor silent connections can
 * keep an operator out. Confined to the event loop.
 */
public final class AdminListener {
    /** The most connections at once; one more closes the oldest connection. */
    private static final int MAX_CONNECTIONS = 24;

    /** How many connections may wait to be accepted. */
    private static final int BACKLOG = 256;

    private final EventLoop loop;
    private final CommandExecutor commands;
    /** In the order in which they connected. */
    private final Set<AdminConnection> connections = new LinkedHashSet<>();

    private final Acceptor acceptor;

    /** Passes all commands to the executor; call {@link #open} to listen. */
    public AdminListener(EventLoop loop, CommandExecutor commands) {
        this.loop = loop;
        this.commands = commands;
        acceptor = new Acceptor(loop, "a caller", this::onAccepted);
    }

    /** Listens at the address and accepts connections. */
    public void open(InetSocketAddress address) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.BACKLOG, BACKLOG)
                .getMap();
        acceptor.open(address, false, options);
        acceptor.resume();
    }

    /** The address at which it listens. */
    public InetSocketAddress address() {
        return acceptor.address();
    }

    private void onAccepted(StreamConnection accepted) {
        if (connections.size() >= MAX_CONNECTIONS) {
            connections.iterator().next().abort();
        }
        AdminConnection connection = new AdminConnection(loop, this, accepted);
        connections.add(connection);
        connection.begin();
    }

    CommandExecutor commands() {
        return commands;
    }

    void onClosed(AdminConnection connection) {
        connections.remove(connection);
    }
}
