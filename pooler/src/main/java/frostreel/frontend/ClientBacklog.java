package frostreel.frontend;

import frostreel.net.EventLoop;
import frostreel.pg.MessageReader;
import frostreel.pg.PgException;
import frostreel.util.BufferMemory;
import java.nio.ByteBuffer;

/**
 * Unprocessed input of one client, such as messages behind an active request or an unread response. Limits its size,
 * accounts for its memory, and tracks when each message arrived. Used on the I/O thread.
 */
final class ClientBacklog {
    /** Fits a query with a value of 64 KiB, whose hexadecimal text is twice as long, and the text around it. */
    private static final int MAX_MESSAGE_BYTES = (1 << 17) + (1 << 12);

    /** How much is read ahead behind an active request, to find the disconnect of its client. */
    private static final int MAX_BYTES = 1 << 20;
    /** Incomplete queries up to this size are kept even while requests are rejected for lack of memory. */
    private static final int MAX_KEPT_INCOMPLETE_BYTES = 1 << 13;
    /** The size up to which the backlog may always grow. */
    private static final int MIN_BYTES = 1 << 16;

    private static final String CLIENT_MESSAGE_TYPES = "QPBEDCFSHX";
    private static final int NOT_ACCEPTED = -1;

    private final EventLoop loop;
    private final MessageReader reader = new MessageReader(ClientBacklog::maxLength);
    private final ArrivalTimes arrivals = new ArrivalTimes();
    private final BufferMemory.Account memory;
    /** The end of the previous read of the socket. */
    private long readCompletedUs;

    private long arrivedUs;

    ClientBacklog(EventLoop loop) {
        this.loop = loop;
        memory = loop.buffers().account();
    }

    private static int maxLength(byte type) {
        return CLIENT_MESSAGE_TYPES.indexOf(type) >= 0 ? MAX_MESSAGE_BYTES : NOT_ACCEPTED;
    }

    /** Adds what was read; its arrival time is never before the end of the previous read. */
    void add(ByteBuffer in) {
        arrivals.add(in.remaining(), Math.max(loop.earliestArrivalUs(), readCompletedUs));
        reader.feed(in);
    }

    /** Records the end of a read of the socket. */
    void onReadCompleted() {
        readCompletedUs = loop.clock().now();
    }

    /** Moves to the next message; returns false if none is complete. */
    boolean next(boolean startup) throws PgException {
        if (startup ? !reader.nextStartup() : !reader.next()) {
            return false;
        }
        arrivedUs = arrivals.take(reader.buffered());
        return true;
    }

    /** The current message. */
    MessageReader message() {
        return reader;
    }

    /** The earliest time at which the last byte of the current message may have arrived. */
    long arrivedUs() {
        return arrivedUs;
    }

    boolean isEmpty() {
        return reader.buffered() == 0 && !reader.isDiscarding();
    }

    /** Whether more input may be read that does not complete the client's next message. */
    boolean mayGrow() {
        return reader.buffered() <= MIN_BYTES || !loop.buffers().rejectsRequests();
    }

    /**
     * Discards the next message if it is a long query that is incomplete, because the memory for it is lacking; it is
     * rejected once all of it has arrived.
     */
    void discardLongIncompleteQuery() {
        if (reader.buffered() > MAX_KEPT_INCOMPLETE_BYTES && reader.incompleteType() == QueryHandler.QUERY) {
            reader.discardIncomplete();
            trim();
        }
    }

    /** How many bytes may be read ahead now; 0 if the rest has to stay in the socket. */
    int readAheadBytes() {
        return Math.max(0, MAX_BYTES - reader.buffered());
    }

    /** Gives back the memory of the messages that were taken, and reports the rest. */
    void trim() {
        reader.trim();
        memory.set(reader.memoryBytes() + arrivals.memoryBytes());
    }

    /** Discards the input and gives back its memory, as no further message is taken. */
    void release() {
        reader.release();
        memory.set(0);
    }
}
