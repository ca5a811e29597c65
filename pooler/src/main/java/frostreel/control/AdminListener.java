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
 * The admin endpoint: owns the listening socket for operators, and their connections. These have a separate limit
 * and use descriptors reserved for the program itself, so that neither clients nor idle admin connections can lock
 * an operator out. Confined to the I/O thread.
 */
public final class AdminListener {
    /** Maximum number of open connections; accepting another one closes the oldest. */
    private static final int MAX_CONNECTIONS = 24;

    /** Maximum length of the queue of connections that wait to be accepted. */
    private static final int BACKLOG = 256;

    private final EventLoop loop;
    private final CommandExecutor commands;
    /** The open connections, oldest first. */
    private final Set<AdminConnection> connections = new LinkedHashSet<>();

    private final Acceptor acceptor;

    /** Creates an endpoint that passes all commands to the executor; it does not listen until {@link #open}. */
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

    /** Returns the address of the listening socket. */
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
