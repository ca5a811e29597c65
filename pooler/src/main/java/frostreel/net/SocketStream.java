package frostreel.net;

import frostreel.util.BufferMemory;
import java.io.ByteArrayOutputStream;
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
 * Byte stream of one connection, in both directions. Buffers the output that the socket has not accepted yet. An
 * exception of its handler closes this connection only. Used on the I/O thread.
 */
public final class SocketStream {
    /** Receives the input and the events of a connection. */
    public interface Handler {
        /** Called with bytes that have arrived; the handler has to consume all of them. */
        void received(ByteBuffer in);

        /**
         * The most bytes that the next call of {@link #received} may pass on; 0 or less ends the turn. What exceeds
         * them stays in the socket for a later read.
         */
        default int maxReadBytes() {
            return Integer.MAX_VALUE;
        }

        /**
         * Called after one or more calls of {@link #received}, when the socket has no more input, reading has been
         * suspended or the limit of reads per turn is reached. The end of the peer's output has not been read by then.
         */
        default void readCompleted() {}

        /** Called when the socket has accepted output that had to wait, and none is pending. */
        default void outputFlushed() {}

        /** Called once when the peer has ended its output or the connection broke; not called after {@link #close}. */
        void ended();
    }

    /** Reads of one connection in one turn; limited so that a busy connection does not delay the others. */
    private static final int MAX_READS_PER_TURN = 4;

    /** A batch that would become longer is written before its end. */
    private static final int MAX_BATCH_BYTES = 1 << 14;

    private static final int END_OF_STREAM = -1;
    private static final Logger LOG = Logger.getLogger(SocketStream.class.getName());
    private final EventLoop loop;
    private final StreamConnection connection;
    private final ConduitStreamSourceChannel source;
    private final ConduitStreamSinkChannel sink;
    private final Handler handler;
    private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();
    /** The memory of {@link #output}, which includes what has been written of its first buffer. */
    private final BufferMemory.Account outputMemory;

    /** What is to be written together, null outside a batch. */
    private ByteArrayOutputStream batch;

    private int outputBytes;
    private int pendingBytes;
    /** Number of reads that have returned bytes. */
    private long successfulReads;
    /** Whether to shut down the output once no output is pending. */
    private boolean endsOutputWhenFlushed;

    private boolean mayHaveUnreadInput;
    private boolean reset;
    private boolean closed;
    /** Whether the connection was closed before the socket had accepted all output. */
    private boolean hasUnsentOutput;

    /** Takes ownership of the connection; nothing is read until {@link #resumeReads}. */
    public SocketStream(EventLoop loop, StreamConnection connection, Handler handler) {
        this.loop = loop;
        this.connection = connection;
        this.handler = handler;
        outputMemory = loop.buffers().account();
        source = connection.getSourceChannel();
        sink = connection.getSinkChannel();
        source.setReadListener(channel -> runGuarded(this::onReadable));
        sink.setWriteListener(channel -> runGuarded(this::onWritable));
    }

    /** Runs a task of this connection; an exception is logged and closes the connection. */
    private void runGuarded(Runnable task) {
        loop.pollWatchEventsIfDue(); // May close this connection.
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

    /** Starts or resumes reading; separate from the constructor so that the handler can store the stream first. */
    public void resumeReads() {
        if (!closed) {
            source.resumeReads();
        }
    }

    /** Suspends reading. */
    public void suspendReads() {
        if (!closed) {
            source.suspendReads();
        }
    }

    /**
     * Reads input that has arrived, for one turn and even if reading is suspended.
     *
     * @return whether any input was read, or the connection is closed
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

    /** Reads for one turn, and passes the input to the handler until it suspends reading or closes the stream. */
    private void read(boolean evenIfSuspended) {
        long previousReads = successfulReads;
        boolean more = true;
        for (int i = 0; i < MAX_READS_PER_TURN && more; i++) {
            if (closed || !(evenIfSuspended || source.isReadResumed())) {
                break;
            }
            int maxBytes = handler.maxReadBytes();
            if (maxBytes <= 0) {
                break;
            }
            ByteBuffer in = loop.readBuffer();
            in.limit(Math.min(in.limit(), maxBytes));
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
        mayHaveUnreadInput = more;
        if (!closed && successfulReads != previousReads) {
            handler.readCompleted();
        }
    }

    /**
     * Whether the last turn of reads ended before the socket had no more input, so that the end of the peer's output
     * may lie behind what is unread.
     */
    public boolean mayHaveUnreadInput() {
        return mayHaveUnreadInput;
    }

    /** Returns the number of bytes read, {@link #END_OF_STREAM} if the connection has ended or is broken. */
    private int readInto(ByteBuffer in) {
        try {
            return source.read(in);
        } catch (IOException e) {
            reset = true;
            return END_OF_STREAM;
        }
    }

    /** Whether no input is unread and the peer has not ended its output; input that it reads is discarded. */
    public boolean isOpenWithoutInput() {
        try {
            return !closed && source.read(loop.readBuffer()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    // ---- Output. ----

    /**
     * Writes what the socket accepts now; the rest is buffered and written when the socket is writable. Within a batch,
     * writes at its end.
     */
    public void write(byte[] bytes) {
        if (batch == null) {
            writeNow(bytes);
            return;
        }
        if (batch.size() + bytes.length > MAX_BATCH_BYTES) {
            writeBatch();
        }
        batch.writeBytes(bytes);
    }

    /** Begins a batch: what is written until its end is handed to the socket together. */
    public void beginBatch() {
        batch = new ByteArrayOutputStream();
    }

    /** Ends the batch, if there is one, and writes it. */
    public void endBatch() {
        if (batch != null) {
            writeBatch();
            batch = null;
        }
    }

    private void writeBatch() {
        if (batch.size() > 0) {
            writeNow(batch.toByteArray());
            batch.reset();
        }
    }

    private void writeNow(byte[] bytes) {
        if (closed) {
            return;
        }
        output.add(ByteBuffer.wrap(bytes));
        pendingBytes += bytes.length;
        addOutputBytes(bytes.length);
        boolean isFirst = output.size() == 1;
        if (isFirst && !flush() && !closed) {
            sink.resumeWrites();
        }
    }

    /** Number of output bytes that the socket has not accepted yet. */
    public int pendingBytes() {
        return pendingBytes;
    }

    /** Whether the socket has accepted all output but that of the batch; after the close, whether it had before. */
    public boolean flushed() {
        return output.isEmpty() && !hasUnsentOutput;
    }

    /** Shuts down the output once the socket has accepted all of it; the peer may still send. */
    public void end() {
        endBatch();
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

    /** Writes as much pending output as the socket accepts; returns whether none is left. */
    private boolean flush() {
        try {
            while (!output.isEmpty()) {
                ByteBuffer head = output.peek();
                pendingBytes -= sink.write(head);
                if (head.hasRemaining()) {
                    return false;
                }
                output.poll();
                addOutputBytes(-head.capacity());
            }
            return true;
        } catch (IOException e) {
            reset = true;
            closeAndNotifyLater();
            return false;
        }
    }

    private void addOutputBytes(int change) {
        outputBytes += change;
        outputMemory.set(outputBytes);
    }

    // ---- End of the connection. ----

    /** Whether the connection broke, so that its last bytes may be missing; set before {@link Handler#ended} runs. */
    public boolean wasReset() {
        return reset;
    }

    private void closeAndNotify() {
        if (!closed) {
            close();
            handler.ended();
        }
    }

    /** Closes after the current call has returned, as a caller of write may be in the middle of a state change. */
    private void closeAndNotifyLater() {
        loop.thread().execute(() -> runGuarded(this::closeAndNotify));
    }

    /** Closes the connection; the handler is not called afterwards. */
    public void close() {
        endBatch();
        if (!closed) {
            closed = true;
            hasUnsentOutput = !output.isEmpty();
            output.clear(); // Other objects may refer to this one for longer.
            pendingBytes = 0;
            addOutputBytes(-outputBytes);
            IoUtils.safeClose(connection);
        }
    }
}
