package frostreel.lab.processes;

import frostreel.lab.standin.Port;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * A relay between two processes, with the faults of a network: connections to the near side's address go on to
 * the far one. A cut is silent: bytes, ends of connections and new connections wait. Once it has healed,
 * connections on which something waited are reset, and the others go on.
 */
final class FaultyRelay {
    /** Sees one connection as the pooler at one of its ends does; all of it on the loop's thread. */
    interface TrafficRecorder {
        /** The pooler has written these bytes. */
        default void poolerSent(byte[] bytes) {}

        /** The pooler is about to be given these bytes. */
        default void poolerReceived(byte[] bytes) {}

        /** The connection has ended, {@code byPooler} or by its other side. */
        default void connectionEnded(boolean byPooler) {}
    }

    private static final long UNBOUNDED = 0;
    private static final long US_PER_SECOND = 1_000_000;

    private final EventLoop loop;
    private final Supplier<InetSocketAddress> far;
    private final boolean poolerIsNear;
    private final Supplier<TrafficRecorder> recorders;
    /** Null where connections are handed in by {@link #carry}. */
    private final Port port;

    private final Set<RelayedConnection> connections = new HashSet<>();
    private boolean forthCut;
    private boolean backCut;
    private long delayUs;
    private long bytesPerSecond = UNBOUNDED;

    /**
     * A relay without faults.
     *
     * @param near where it listens, port 0 for a free one, or null where another listens for it
     * @param far where it goes on to
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

    /** Takes a connection that came in from the near side. */
    void carry(StreamConnection connection) {
        new RelayedConnection(connection);
    }

    /** Where the near side connects. */
    InetSocketAddress address() {
        return port.address();
    }

    /** Cuts or heals each direction; {@code forth} is from the near side to the far one. */
    void cut(boolean forth, boolean back) {
        boolean healed = (forthCut && !forth) || (backCut && !back);
        forthCut = forth;
        backCut = back;
        if (healed) {
            List.copyOf(connections).forEach(RelayedConnection::healed);
        }
    }

    /** Delays every byte by so much, each way; what is on its way comes as it would have. */
    void delay(long us) {
        delayUs = us;
    }

    /** Limits the bytes a second each way on each connection, 0 for no limit. */
    void slow(long newBytesPerSecond) {
        bytesPerSecond = newBytesPerSecond;
    }

    /** Takes what the near side has written, or ended, by now. */
    void readNow() {
        List.copyOf(connections).forEach(connection -> connection.nearEnd.readNow());
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

    /** The bytes of one direction of a connection on their way, in their order. */
    private final class Lane {
        private final RelayedConnection connection;
        private final boolean forth;
        private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
        /** When the last bytes that were taken have passed the bandwidth limit. */
        private long freeAtUs;

        private boolean moving;

        Lane(RelayedConnection connection, boolean forth) {
            this.connection = connection;
            this.forth = forth;
        }

        boolean isCut() {
            return forth ? forthCut : backCut;
        }

        void add(byte[] bytes) {
            queue.add(bytes);
            move();
        }

        private void move() {
            if (moving || queue.isEmpty() || isCut() || (forth && connection.farEnd == null)) {
                return;
            }
            long nowUs = loop.clock().now();
            long transferUs = bytesPerSecond == UNBOUNDED ? 0 : queue.peek().length * US_PER_SECOND / bytesPerSecond;
            freeAtUs = Math.max(freeAtUs, nowUs) + transferUs;
            long waitUs = freeAtUs - nowUs + delayUs;
            if (waitUs == 0) {
                deliver();
            } else {
                moving = true;
                loop.deadlines().after(waitUs, () -> {
                    moving = false;
                    if (!isCut()) {
                        deliver();
                    }
                });
            }
        }

        private void deliver() {
            byte[] next = queue.poll();
            if (next != null && !connection.closed) {
                connection.deliver(forth, next);
                move();
            }
        }
    }

    /** One connection: what comes in at one end goes out at the other. */
    private final class RelayedConnection {
        private final TrafficRecorder recorder = recorders.get();
        private final Lane forth = new Lane(this, true);
        private final Lane back = new Lane(this, false);
        private final SocketStream nearEnd;
        /** Null until the far side has accepted. */
        private SocketStream farEnd;

        private boolean nearEnded;
        private boolean farEnded;
        private boolean closed;
        private boolean endRecorded;

        RelayedConnection(StreamConnection near) {
            connections.add(this);
            nearEnd = new SocketStream(loop, near, new SocketStream.Handler() {
                @Override
                public void received(ByteBuffer in) {
                    forth.add(read(in, poolerIsNear));
                }

                @Override
                public void ended() {
                    nearEnded = true;
                    if (poolerIsNear) {
                        recordEnd(true);
                    }
                    closeIfDrained();
                }
            });
            nearEnd.resumeReads();
            connect();
        }

        /** Through a cut no connection comes up; once it has healed, what waited is reset. */
        private void connect() {
            if (forthCut || backCut) {
                return;
            }
            IoFuture<StreamConnection> connecting =
                    loop.thread().openStreamConnection(far.get(), null, OptionMap.create(Options.TCP_NODELAY, true));
            connecting.addNotifier(
                    new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                        @Override
                        public void handleDone(StreamConnection connection, Void none) {
                            connected(connection);
                        }

                        @Override
                        public void handleFailed(IOException failure, Void none) {
                            farEnded = true;
                            closeIfDrained();
                        }
                    },
                    null);
        }

        private void connected(StreamConnection connection) {
            farEnd = new SocketStream(loop, connection, new SocketStream.Handler() {
                @Override
                public void received(ByteBuffer in) {
                    back.add(read(in, !poolerIsNear));
                }

                @Override
                public void ended() {
                    farEnded = true;
                    if (!poolerIsNear) {
                        recordEnd(true);
                    }
                    closeIfDrained();
                }
            });
            if (closed) {
                farEnd.close();
            } else {
                farEnd.resumeReads();
                forth.move();
            }
        }

        private void deliver(boolean isForth, byte[] bytes) {
            if (isForth != poolerIsNear) {
                recorder.poolerReceived(bytes);
            }
            (isForth ? farEnd : nearEnd).write(bytes);
            closeIfDrained();
        }

        private byte[] read(ByteBuffer in, boolean fromPooler) {
            byte[] bytes = new byte[in.remaining()];
            in.get(bytes);
            if (fromPooler) {
                recorder.poolerSent(bytes);
            }
            return bytes;
        }

        /** Once: the connection is over for its pooler. */
        private void recordEnd(boolean byPooler) {
            if (!endRecorded) {
                endRecorded = true;
                recorder.connectionEnded(byPooler);
            }
        }

        /** An end goes through once what was sent before it has, and not through a cut. */
        private void closeIfDrained() {
            boolean nearDone = nearEnded && !forthCut && forth.queue.isEmpty();
            boolean farDone = farEnded && !backCut && back.queue.isEmpty();
            if (nearDone || farDone) {
                close();
            }
        }

        private void healed() {
            if (farEnd == null || nearEnded || farEnded || !forth.queue.isEmpty() || !back.queue.isEmpty()) {
                close();
            }
        }

        void close() {
            if (!closed) {
                closed = true;
                connections.remove(this);
                recordEnd(false);
                nearEnd.close();
                if (farEnd != null) {
                    farEnd.close();
                }
            }
        }
    }
}
