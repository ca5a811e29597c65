package frostreel.lab.processes;

import frostreel.lab.standin.Port;
import frostreel.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.xnio.StreamConnection;

/**
 * A relay between two processes that injects network faults: it accepts connections at the near side's address
 * and connects each to the far side. A cut is silent: bytes, ends of connections and new connections wait. When
 * it heals, connections on which something waited are reset, and the others continue. Used on the event loop's
 * thread alone.
 */
final class FaultyRelay {
    private final EventLoop loop;
    private final Supplier<InetSocketAddress> far;
    private final boolean poolerIsNear;
    private final Supplier<TrafficRecorder> recorders;
    /** Null where connections are handed in by {@link #carry}. */
    private final Port port;

    private final Set<RelayedConnection> connections = new HashSet<>();
    private final RelayFaults faults = new RelayFaults();

    /**
     * A relay without faults.
     *
     * @param near where it listens, port 0 for a free one, or null where another listens for it
     * @param far where it connects to
     * @param poolerIsNear whether the near side is the pooler, or the far one
     * @param recorders makes one recorder for each connection
     */
    FaultyRelay(
            EventLoop loop,
            InetSocketAddress near,
            Supplier<InetSocketAddress> far,
            boolean poolerIsNear,
            Supplier<TrafficRecorder> recorders)
            throws IOException {
        this.loop = loop;
        this.poolerIsNear = poolerIsNear;
        this.far = far;
        this.recorders = recorders;
        port = near == null ? null : new Port(loop, near, this::carry);
    }

    /** Relays a connection that was accepted from the near side. */
    void carry(StreamConnection accepted) {
        RelayedConnection connection =
                new RelayedConnection(loop, faults, poolerIsNear, recorders.get(), accepted, connections::remove);
        connections.add(connection);
        connection.start(far.get());
    }

    /** Where the near side connects. */
    InetSocketAddress address() {
        return port.address();
    }

    /** Cuts or heals each direction: {@code toFar} is from the near side to the far one. */
    void cut(boolean toFar, boolean toNear) {
        if (faults.cut(toFar, toNear)) {
            List.copyOf(connections).forEach(RelayedConnection::healed);
        }
    }

    /** Delays every byte, each way; bytes that are on their way already arrive as they would have. */
    void delay(long us) {
        faults.delay(us);
    }

    /** Limits the bytes a second each way on each connection, 0 for no limit. */
    void slow(long bytesPerSecond) {
        faults.slow(bytesPerSecond);
    }

    /** Takes what the near side has written, or ended, by now. */
    void readNow() {
        List.copyOf(connections).forEach(RelayedConnection::readNearEnd);
    }

    /** Resets every connection there is. */
    void reset() {
        List.copyOf(connections).forEach(RelayedConnection::close);
    }

    /** Stops listening, and resets every connection. */
    void close() {
        if (port != null) {
            port.close();
        }
        reset();
    }
}
