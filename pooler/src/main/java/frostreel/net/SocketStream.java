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
 * The bytes of one connection, both ways: owns the output that the socket has not taken yet. An exception of its
 * handler ends this connection alone. Used on the I/O thread.
 */
public final class SocketStream {
    /** What is done with the bytes of a connection. */
    public interface Handler {
        /** Bytes have come, all of which have to be taken. */
        void received(ByteBuffer in);

        /**
         * All that had come, or as much as is read in one go, was passed to {@link #received}, and the peer had not
         * ended its output behind it, as far as that went.
         */
        default void caughtUp() {}

        /** The socket has taken all output. */
        default void drained() {}

        /** The peer has ended its output, or the connection broke; called once, and not after {@link #close}. */
        void ended();
    }

    /** Reads in one go, so that one busy connection does not keep the others waiting. */
    private static final int MAX_READS_AT_ONCE = 4;

    private static final int END_OF_STREAM = -1;
    private static final Logger LOG = Logger.getLogger(SocketStream.class.getName());
    private final EventLoop loop;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final Handler handler;
    private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();
    private int pendingBytes;
    private long reads;
    private boolean outputEnding;
    private boolean reset;
    private boolean closed;

    /** Takes the connection over; nothing is read until {@link #resumeReads}. */
    public SocketStream(EventLoop loop, StreamConnection connection, Handler handler) {
        this.loop = loop;
        this.connection = connection;
        this.handler = handler;
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(channel -> guarded(() -> readable(false)));
        sink.setWriteListener(channel -> guarded(this::writable));
    }

    /** Reads from now on; a separate step, so that the handler may first store the stream. */
    public void resumeReads() {
        if (!closed) {
            source.resumeReads();
        }
    }

    /** Reads nothing more for now. */
    public void suspendReads() {
        if (!closed) {
            source.suspendReads();
        }
    }

    private void guarded(Runnable task) {
        loop.pollWatchEventsIfDue(); // Which may close this very connection.
        if (closed) {
            return;
        }
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            loop.counters().unexpectedExceptions++;
            LOG.log(Level.SEVERE, "a connection's handler failed; the connection is closed", e);
            broken();
        }
    }

    /** {@code evenIfSuspended}: reads, as far as one go takes it, also where reading is suspended. */
    private void readable(boolean evenIfSuspended) {
        long readsBefore = reads;
        boolean more = true;
        for (int i = 0; i < MAX_READS_AT_ONCE && more && !closed && (evenIfSuspended || source.isReadResumed()); i++) {
            ByteBuffer in = loop.readBuffer();
            int count;
            try {
                count = source.read(in);
            } catch (IOException e) {
                reset = true;
                count = END_OF_STREAM;
            }
            if (count < 0) {
                broken();
                return;
            }
            more = count > 0;
            if (more) {
                reads++;
                handler.received(in.flip());
            }
        }
        if (!closed && reads != readsBefore) {
            handler.caughtUp();
        }
    }

    /** Passes on what has come and is still unread. True where there was any, or the connection has ended. */
    public boolean readNow() {
        long readsBefore = reads;
        guarded(() -> readable(true));
        return closed || reads != readsBefore;
    }

    private void addPendingBytes(int change) {
        pendingBytes += change;
        loop.addBufferedBytes(change);
    }

    /** Writes what the socket takes now; the rest waits until the socket is writable. */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        output.add(ByteBuffer.wrap(bytes));
        addPendingBytes(bytes.length);
        if (output.size() == 1 && !flush() && !closed) {
            sink.resumeWrites();
        }
    }

    /** How many bytes the socket has not taken yet. */
    public int pendingBytes() {
        return pendingBytes;
    }

    /** Ends our output once the socket has all of it; the peer may still send. */
    public void end() {
        outputEnding = true;
        shutDownWhenFlushed();
    }

    private void shutDownWhenFlushed() {
        if (outputEnding && !closed && flushed()) {
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
            shutDownWhenFlushed();
            handler.drained();
        }
    }

    private boolean flush() {
        try {
            while (!output.isEmpty()) {
                ByteBuffer head = output.peek();
                addPendingBytes(-sink.write(head));
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

    /** Whether there is nothing to read, and the peer has not ended its output; what is read here is lost. */
    public boolean isQuiet() {
        try {
            return !closed && source.read(loop.readBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the connection broke, so that its last bytes may be missing; known once {@link Handler#ended} runs. */
    public boolean wasReset() {
        return reset;
    }

    /** Whether the socket has taken all that was written, or had when the connection was closed. */
    public boolean flushed() {
        return output.isEmpty();
    }

    private void broken() {
        if (!closed) {
            close();
            handler.ended();
        }
    }

    /** Closes the connection; the handler is not called any more. */
    public void close() {
        if (!closed) {
            closed = true;
            addPendingBytes(-pendingBytes);
            IoUtils.safeClose(connection);
        }
    }
}
