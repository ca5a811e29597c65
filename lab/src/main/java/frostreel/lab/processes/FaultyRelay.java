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
 * What lies between two processes: connections to the near side's address go on to the far one, and what
 * befalls a network befalls them here. A cut is silent: bytes, ends of connections and new connections wait.
 * Once it has healed, connections on which something waited are reset, and the others go on.
 */
final class FaultyRelay {
    /** Sees one connection as the pooler at one of its ends does; all of it on the loop's thread. */
    interface TrafficRecorder {
        /** The pooler wrote. */
        default void says(byte[] bytes) {}

        /** The pooler is given these. */
        default void hears(byte[] bytes) {}

        /** The pooler ended the connection, or sees it end. */
        default void ended(boolean byIt) {}
    }

    private final EventLoop loop;
    private final Supplier<InetSocketAddress> far;
    private final boolean poolerIsNear;
    private final Supplier<TrafficRecorder> taps;
    /** Null where connections are handed in by {@link #carry}. */
    private final Port port;

    private final Set<Pipe> pipes = new HashSet<>();
    private boolean forthCut;
    private boolean backCut;
    private long delayUs;
    private long bytesPerS;

    /**
     * {@code near}: where it listens, port 0 for a free one, or null where another listens for it;
     * {@code far}: where it goes on to.
     */
    FaultyRelay(
            EventLoop loop,
            InetSocketAddress near,
            Supplier<InetSocketAddress> far,
            boolean poolerIsNear,
            Supplier<TrafficRecorder> taps)
            throws IOException {
        this.loop = loop;
        this.poolerIsNear = poolerIsNear;
        this.far = far;
        this.taps = taps;
        port = near == null ? null : new Port(loop, near, this::carry);
    }

    /** Takes a connection that came in from the near side. */
    void carry(StreamConnection connection) {
        new Pipe(connection);
    }

    InetSocketAddress address() {
        return port.address();
    }

    /** Cuts or mends each way; {@code forth} is from the near side to the far one. */
    void cut(boolean forth, boolean back) {
        boolean healed = forthCut && !forth || backCut && !back;
        forthCut = forth;
        backCut = back;
        if (healed) {
            List.copyOf(pipes).forEach(Pipe::healed);
        }
    }

    /** Every byte comes so much later, each way; what is on its way comes as it would have. */
    void delay(long us) {
        delayUs = us;
    }

    /** So many bytes a second each way on each connection, 0 for no bound. */
    void slow(long perSecond) {
        bytesPerS = perSecond;
    }

    /** Takes what the near side has written, or ended, by now. */
    void readNow() {
        List.copyOf(pipes).forEach(p -> p.nearEnd.readNow());
    }

    /** Resets every connection there is. */
    void reset() {
        List.copyOf(pipes).forEach(Pipe::close);
    }

    void close() {
        if (port != null) {
            port.close();
        }
        reset();
    }

    /** One direction's bytes on their way, in their order. */
    private final class Lane {
        private final Pipe pipe;
        private final boolean forth;
        private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
        private long freeAtUs;
        private boolean moving;

        Lane(Pipe pipe, boolean forth) {
            this.pipe = pipe;
            this.forth = forth;
        }

        boolean cut() {
            return forth ? forthCut : backCut;
        }

        void add(byte[] bytes) {
            queue.add(bytes);
            move();
        }

        private void move() {
            if (moving || queue.isEmpty() || cut() || forth && pipe.farEnd == null) {
                return;
            }
            long now = loop.clock().now();
            long takesUs = bytesPerS == 0 ? 0 : queue.peek().length * 1_000_000L / bytesPerS;
            freeAtUs = Math.max(freeAtUs, now) + takesUs;
            long inUs = freeAtUs - now + delayUs;
            if (inUs == 0) {
                deliver();
            } else {
                moving = true;
                loop.deadlines().after(inUs, () -> {
                    moving = false;
                    if (!cut()) {
                        deliver();
                    }
                });
            }
        }

        private void deliver() {
            byte[] next = queue.poll();
            if (next != null && !pipe.closed) {
                pipe.deliver(forth, next);
                move();
            }
        }
    }

    /** One connection: what comes in at one end goes out at the other. */
    private final class Pipe {
        private final TrafficRecorder tap = taps.get();
        private final Lane forth = new Lane(this, true);
        private final Lane back = new Lane(this, false);
        private final SocketStream nearEnd;
        private SocketStream farEnd;
        private boolean nearEnded;
        private boolean farEnded;
        private boolean closed;
        private boolean told;

        Pipe(StreamConnection connection) {
            pipes.add(this);
            nearEnd = new SocketStream(loop, connection, new SocketStream.Handler() {
                @Override
                public void received(ByteBuffer in) {
                    forth.add(read(in, poolerIsNear));
                }

                @Override
                public void ended() {
                    nearEnded = true;
                    if (poolerIsNear) {
                        told(true);
                    }
                    settle();
                }
            });
            nearEnd.resumeReads();
            connect();
        }

        /** Through a cut no connection comes up; once it is back, what waited is reset. */
        private void connect() {
            if (forthCut || backCut) {
                return;
            }
            IoFuture<StreamConnection> to =
                    loop.thread().openStreamConnection(far.get(), null, OptionMap.create(Options.TCP_NODELAY, true));
            to.addNotifier(
                    new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                        @Override
                        public void handleDone(StreamConnection connection, Void none) {
                            farEnd = new SocketStream(loop, connection, new SocketStream.Handler() {
                                @Override
                                public void received(ByteBuffer in) {
                                    back.add(read(in, !poolerIsNear));
                                }

                                @Override
                                public void ended() {
                                    farEnded = true;
                                    if (!poolerIsNear) {
                                        told(true);
                                    }
                                    settle();
                                }
                            });
                            if (closed) {
                                farEnd.close();
                            } else {
                                farEnd.resumeReads();
                                forth.move();
                            }
                        }

                        @Override
                        public void handleFailed(IOException e, Void none) {
                            farEnded = true;
                            settle();
                        }
                    },
                    null);
        }

        private void deliver(boolean onward, byte[] bytes) {
            if (onward != poolerIsNear) {
                tap.hears(bytes);
            }
            (onward ? farEnd : nearEnd).write(bytes);
            settle();
        }

        private byte[] read(ByteBuffer in, boolean fromPooler) {
            byte[] bytes = new byte[in.remaining()];
            in.get(bytes);
            if (fromPooler) {
                tap.says(bytes);
            }
            return bytes;
        }

        /** Once: the pooler's side of it is over. */
        private void told(boolean byIt) {
            if (!told) {
                told = true;
                tap.ended(byIt);
            }
        }

        /** An end goes through once what was sent before it has, and not through a cut. */
        private void settle() {
            if (nearEnded && !forthCut && forth.queue.isEmpty() || farEnded && !backCut && back.queue.isEmpty()) {
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
                pipes.remove(this);
                told(false);
                nearEnd.close();
                if (farEnd != null) {
                    farEnd.close();
                }
            }
        }
    }
}
