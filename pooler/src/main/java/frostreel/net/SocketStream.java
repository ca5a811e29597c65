package frostreel.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * One connection's bytes, both ways: owns the output that the socket did not take yet. A handler's fault ends
 * this
 * connection alone.
 */
public final class SocketStream {
    /** What is done with a connection's bytes. */
    public interface Handler {
        /** Bytes came; all are to be taken. */
        void received(ByteBuffer in);

        /**
         * All that had come, or as much as is read in one go, was handed on, and the other side has not ended
         * its sending behind it, as far as that went.
         */
        default void caughtUp() {}

        /** All output is with the socket. */
        default void drained() {}

        /**
         * The other side ended its sending, or the connection broke; told once, and not after {@link
         * #close}.
         */
        void ended();
    }

    /** Reads in one go, so that one busy connection does not keep the others waiting. */
    private static final int READS_AT_ONCE = 4;

    private static final Logger LOG = Logger.getLogger(SocketStream.class.getName());
    private final EventLoop loop;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final Handler handler;
    private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();
    private int waiting;
    private long reads;
    private boolean ending;
    private boolean reset;
    private boolean closed;

    public SocketStream(EventLoop loop, StreamConnection connection, Handler handler) {
        this.loop = loop;
        this.connection = connection;
        this.handler = handler;
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(c -> guarded(() -> readable(false)));
        sink.setWriteListener(c -> guarded(this::writable));
    }

    /** Begins to read; a separate step, so that the handler may first keep the stream. */
    public void resumeReads() {
        if (!closed) {
            source.resumeReads();
        }
    }

    public void suspendReads() {
        if (!closed) {
            source.suspendReads();
        }
    }

    private void guarded(Runnable task) {
        loop.awake(); // Which may close this very connection.
        if (closed) {
            return;
        }
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            loop.counters().strayExceptions++;
            LOG.log(Level.SEVERE, "a connection's handler failed; the connection is closed", e);
            broken();
        }
    }

    /** {@code anyway}: also where reading is suspended, as far as one go takes it. */
    private void readable(boolean anyway) {
        long before = reads;
        boolean more = true;
        for (int i = 0; i < READS_AT_ONCE && more && !closed && (anyway || source.isReadResumed()); i++) {
            ByteBuffer in = loop.readBuffer();
            int n;
            try {
                n = source.read(in);
            } catch (IOException e) {
                reset = true;
                n = -1;
            }
            if (n < 0) {
                broken();
                return;
            }
            more = n > 0;
            if (more) {
                reads++;
                handler.received(in.flip());
            }
        }
        if (!closed && reads != before) {
            handler.caughtUp();
        }
    }

    /** Hands on what has come and is still unread; whether there was any, or the other side had ended. */
    public boolean readNow() {
        long before = reads;
        guarded(() -> readable(true));
        return closed || reads != before;
    }

    private void hold(int more) {
        waiting += more;
        loop.held(more);
    }

    /** Writes what the socket takes now; the rest waits until it is writable. */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        output.add(ByteBuffer.wrap(bytes));
        hold(bytes.length);
        if (output.size() == 1 && !flush() && !closed) {
            sink.resumeWrites();
        }
    }

    /** How many bytes the socket has not taken yet. */
    public int waiting() {
        return waiting;
    }

    /** Ends our sending once all is with the socket; the other side may still send. */
    public void end() {
        ending = true;
        shutWhenFlushed();
    }

    private void shutWhenFlushed() {
        if (ending && !closed && flushed()) {
            try {
                sink.shutdownWrites();
                sink.flush();
            } catch (IOException e) {
                loop.thread().execute(() -> guarded(this::broken));
            }
        }
    }

    private void writable() {
        if (flush() && !closed) {
            sink.suspendWrites();
            shutWhenFlushed();
            handler.drained();
        }
    }

    private boolean flush() {
        try {
            while (!output.isEmpty()) {
                ByteBuffer head = output.peek();
                hold(-sink.write(head));
                if (head.hasRemaining()) {
                    return false;
                }
                output.poll();
            }
            return true;
        } catch (IOException e) {
            reset = true;
            // Not within the writer's call, which may be in the middle of a change of its own.
            loop.thread().execute(() -> guarded(this::broken));
            return false;
        }
    }

    /** Whether the other side neither sent what is still unread nor ended; what is read here is lost. */
    boolean quiet() {
        try {
            return !closed && source.read(loop.readBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the connection broke, so that what came may lack its end; told after {@link Handler#ended}. */
    public boolean wasReset() {
        return reset;
    }

    /** Whether all that was written is, or at its end was, with the socket. */
    public boolean flushed() {
        return output.isEmpty();
    }

    private void broken() {
        if (!closed) {
            close();
            handler.ended();
        }
    }

    public void close() {
        if (!closed) {
            closed = true;
            hold(-waiting);
            IoUtils.safeClose(connection);
        }
    }
}
