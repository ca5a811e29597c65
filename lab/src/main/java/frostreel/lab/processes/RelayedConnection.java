package frostreel.lab.processes;

import frostreel.lab.processes.RelayFaults.Direction;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** One connection through a {@link FaultyRelay}: what comes in at one end goes out at the other. */
final class RelayedConnection {
    private final EventLoop loop;
    private final RelayFaults faults;
    private final TrafficRecorder recorder;
    private final Consumer<RelayedConnection> onClosed;
    private final End near;
    private final End far;
    private boolean closed;
    private boolean endRecorded;

    /**
     * A connection that was accepted from the near side; nothing is read from it before {@link #start}.
     *
     * @param poolerIsNear whether the pooler is at the near end or at the far one
     * @param onClosed takes this connection once it is closed
     */
    RelayedConnection(
            EventLoop loop,
            RelayFaults faults,
            boolean poolerIsNear,
            TrafficRecorder recorder,
            StreamConnection accepted,
            Consumer<RelayedConnection> onClosed) {
        this.loop = loop;
        this.faults = faults;
        this.recorder = recorder;
        this.onClosed = onClosed;
        near = new End(poolerIsNear, Direction.TO_NEAR);
        far = new End(!poolerIsNear, Direction.TO_FAR);
        near.attach(accepted);
    }

    /** One of the two ends. */
    private final class End implements SocketStream.Handler, RelayLane.Receiver {
        private final boolean isPooler;
        private final RelayLane incoming;
        /** Null until the connection to this end is up. */
        private SocketStream stream;

        private boolean ended;

        End(boolean isPooler, Direction incomingDirection) {
            this.isPooler = isPooler;
            incoming = new RelayLane(loop, faults, incomingDirection, this);
        }

        void attach(StreamConnection connection) {
            stream = new SocketStream(loop, connection, this);
        }

        @Override
        public void received(ByteBuffer in) {
            byte[] bytes = new byte[in.remaining()];
            in.get(bytes);
            if (isPooler) {
                recorder.poolerSent(bytes);
            }
            opposite().incoming.add(bytes);
        }

        @Override
        public void ended() {
            ended = true;
            if (isPooler) {
                recordEnd(true);
            }
            closeIfDrained();
        }

        @Override
        public boolean isOpen() {
            return stream != null && !closed;
        }

        @Override
        public void deliver(byte[] bytes) {
            if (isPooler) {
                recorder.poolerReceived(bytes);
            }
            stream.write(bytes);
            closeIfDrained();
        }

        private End opposite() {
            return this == near ? far : near;
        }

        /** Whether it has ended and everything that it sent before has arrived. */
        private boolean isDone() {
            return ended && opposite().incoming.isDrained();
        }
    }

    /** Begins to read, and connects to the far end; not through a cut, where the connection waits to be reset. */
    void start(InetSocketAddress farAddress) {
        near.stream.resumeReads();
        if (faults.isCut()) {
            return;
        }
        IoFuture<StreamConnection> connecting =
                loop.thread().openStreamConnection(farAddress, null, OptionMap.create(Options.TCP_NODELAY, true));
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void none) {
                        connected(connection);
                    }

                    @Override
                    public void handleFailed(IOException failure, Void none) {
                        far.ended = true;
                        closeIfDrained();
                    }
                },
                null);
    }

    private void connected(StreamConnection connection) {
        far.attach(connection);
        if (closed) {
            far.stream.close();
        } else {
            far.stream.resumeReads();
            far.incoming.advance();
        }
    }

    /** Takes what the near end has written, or that it has ended, by now. */
    void readNearEnd() {
        near.stream.readNow();
    }

    /** Reports the end of the connection, once. */
    private void recordEnd(boolean byPooler) {
        if (!endRecorded) {
            endRecorded = true;
            recorder.connectionEnded(byPooler);
        }
    }

    /** An end is passed on behind everything that was sent before it, and not through a cut. */
    private void closeIfDrained() {
        if (near.isDone() || far.isDone()) {
            close();
        }
    }

    /** The cut has healed: resets the connection where anything waited, and leaves it as it is otherwise. */
    void healed() {
        boolean bytesWaited = !near.incoming.isEmpty() || !far.incoming.isEmpty();
        if (far.stream == null || near.ended || far.ended || bytesWaited) {
            close();
        }
    }

    /** Resets both ends. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        onClosed.accept(this);
        recordEnd(false);
        near.stream.close();
        if (far.stream != null) {
            far.stream.close();
        }
    }
}
