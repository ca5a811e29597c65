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
 * The bytes of one connection in both directions. Owns the output that the socket has not accepted yet. An exception of
 * its handler ends this connection alone. Used on the I/O thread.
 */
public final class SocketStream {
    /** Handles the input of a connection, and its end. */
    public interface Handler {
        /** Bytes have arrived; the handler has to consume all of them. */
        void received(ByteBuffer in);

        /**
         * Called after {@link #received} once the socket has no more input, or as much was read as is read in one turn.
         * The peer had not ended its output behind that, as far as it was read.
         */
        default void readCompleted() {}

        /** The socket has accepted all output. */
        default void outputFlushed() {}

        /** The peer has ended its output, or the connection broke; called once, and not after {@link #close}. */
        void ended();
    }

    /** Reads of one connection in one turn, so that a busy connection does not keep the others waiting. */
    private static final int MAX_READS_PER_TURN = 4;

    private static final int END_OF_STREAM = -1;
    private static final Logger LOG = Logger.getLogger(SocketStream.class.getName());
    private final EventLoop loop;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final Handler handler;
    private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();
    private int pendingBytes;
    /** How many reads have returned bytes so far. */
    private long successfulReads;
    /** Our output ends behind what is pending. */
    private boolean endsOutputWhenFlushed;

    private boolean reset;
    private boolean closed;

    /** Takes the connection over; nothing is read until {@link #resumeReads}. */
    public SocketStream(EventLoop loop, StreamConnection connection, Handler handler) {
        this.loop = loop;
        this.connection = connection;
        this.handler = handler;
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(channel -> runGuarded(this::onReadable));
        sink.setWriteListener(channel -> runGuarded(this::onWritable));
    }

    /** Runs a task of this connection; an exception ends the connection, and is logged. */
    private void runGuarded(Runnable task) {
        loop.pollWatchEventsIfDue(); // Which may close this very connection.
        if (closed) {
            return;
        }
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            loop.counters().unexpectedExceptions++;
            LOG.log(Level.SEVERE, "a connection's handler failed; the connection is closed", e);
            closeAndNotify();
        }
    }

    // ---- Input. ----

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

    /**
     * Reads once what has arrived and is still unread, also while reading is suspended.
     *
     * @return whether there was anything to read, or the connection has ended
     */
    public boolean readNow() {
        long previousReads = successfulReads;
        runGuarded(this::readEvenIfSuspended);
        return closed || successfulReads != previousReads;
    }

    private void onReadable() {
        read(false);
    }

    private void readEvenIfSuspended() {
        read(true);
    }

    /** Reads for one turn, and passes on what was read; stops where the handler suspends reading, or closes. */
    private void read(boolean evenIfSuspended) {
        long previousReads = successfulReads;
        boolean more = true;
        for (int i = 0; i < MAX_READS_PER_TURN && more; i++) {
            if (closed || !(evenIfSuspended || source.isReadResumed())) {
                break;
            }
            ByteBuffer in = loop.readBuffer();
            int count = readInto(in);
            if (count < 0) {
                closeAndNotify();
                return;
            }
            more = count > 0;
            if (more) {
                successfulReads++;
                handler.received(in.flip());
            }
        }
        if (!closed && successfulReads != previousReads) {
            handler.readCompleted();
        }
    }

    /** Returns how many bytes were read, {@link #END_OF_STREAM} where the connection has ended or broken. */
    private int readInto(ByteBuffer in) {
        try {
            return source.read(in);
        } catch (IOException e) {
            reset = true;
            return END_OF_STREAM;
        }
    }

    /** Whether there is nothing to read, and the peer has not ended its output; what is read here is lost. */
    public boolean isOpenWithoutInput() {
        try {
            return !closed && source.read(loop.readBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    // ---- Output. ----

    /** Writes what the socket accepts now; the rest is written once the socket is writable. */
    public void write(byte[] bytes) {
        if (closed) {
            return;
        }
        output.add(ByteBuffer.wrap(bytes));
        addPendingBytes(bytes.length);
        boolean isFirst = output.size() == 1;
        if (isFirst && !flush() && !closed) {
            sink.resumeWrites();
        }
    }

    /** How many bytes of the output the socket has not accepted yet. */
    public int pendingBytes() {
        return pendingBytes;
    }

    /** Whether the socket has accepted all output, or had when the connection was closed. */
    public boolean flushed() {
        return output.isEmpty();
    }

    /** Ends our output once the socket has accepted all of it; the peer may still send. */
    public void end() {
        endsOutputWhenFlushed = true;
        shutDownIfFlushed();
    }

    private void onWritable() {
        if (flush() && !closed) {
            sink.suspendWrites();
            shutDownIfFlushed();
            handler.outputFlushed();
        }
    }

    private void shutDownIfFlushed() {
        if (endsOutputWhenFlushed && !closed && flushed()) {
            try {
                sink.shutdownWrites();
                sink.flush();
            } catch (IOException e) {
                closeAndNotifyLater();
            }
        }
    }

    /** Writes what the socket accepts; returns whether that was all. */
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
            closeAndNotifyLater();
            return false;
        }
    }

    private void addPendingBytes(int change) {
        pendingBytes += change;
        loop.addBufferedBytes(change);
    }

    // ---- The end of the connection. ----

    /** Whether the connection broke, so that its last bytes may be missing; known once {@link Handler#ended} runs. */
    public boolean wasReset() {
        return reset;
    }

    private void closeAndNotify() {
        if (!closed) {
            close();
            handler.ended();
        }
    }

    /** Closes once the current call is over, as a caller that writes may be in the middle of a change of its state. */
    private void closeAndNotifyLater() {
        loop.thread().execute(() -> runGuarded(this::closeAndNotify));
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
