package frostreel.frontend;

import frostreel.net.EventLoop;
import frostreel.pg.MessageReader;
import frostreel.pg.PgException;
import java.nio.ByteBuffer;

/**
 * The input of a client that waits behind an active request or an unread response. Owns the limit on its size, counts
 * its memory, and knows when each of its messages arrived. Used on the I/O thread.
 */
final class ClientBacklog {
    /** The longest query: a value of 64 KiB as hexadecimal text, which is twice as long, and the text around it. */
    private static final int MAX_MESSAGE_BYTES = (1 << 17) + (1 << 12);

    private static final int MAX_BYTES = 1 << 20;
    /** The limit while the buffers of all connections together take more than their part of the memory. */
    private static final int MAX_BYTES_WHEN_BUFFERS_ARE_FULL = 1 << 16;

    private static final String CLIENT_MESSAGE_TYPES = "QPBEDCFSHX";
    private static final int NOT_ACCEPTED = -1;

    private final EventLoop loop;
    private final MessageReader reader = new MessageReader(ClientBacklog::maxLength);
    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** How much of its memory is counted with the buffers of the loop. */
    private int countedBytes;
    /** When the socket was last read until it was empty. */
    private long caughtUpUs;

    private long arrivedUs;
    private boolean overrun;

    ClientBacklog(EventLoop loop) {
        this.loop = loop;
    }

    private static int maxLength(byte type) {
        return CLIENT_MESSAGE_TYPES.indexOf(type) >= 0 ? MAX_MESSAGE_BYTES : NOT_ACCEPTED;
    }

    /** Adds what was read; it arrived after the socket was last empty. */
    void add(ByteBuffer in) {
        arrivals.add(in.remaining(), Math.max(loop.earliestArrivalUs(), caughtUpUs));
        reader.feed(in);
    }

    /** The socket was read until it was empty. */
    void onCaughtUp() {
        caughtUpUs = loop.clock().now();
    }

    /** Moves to the next message; false where none is complete. */
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
        return reader.buffered() == 0;
    }

    /**
     * Checks the size against its limit, and remembers an overrun. Further input is then dropped, and the connection
     * ends behind its last response: leaving the input unread instead would hide that the client has disconnected.
     */
    boolean checkOverrun() {
        overrun = reader.buffered() > (loop.buffersAreFull() ? MAX_BYTES_WHEN_BUFFERS_ARE_FULL : MAX_BYTES);
        return overrun;
    }

    /** Whether the last check found an overrun. */
    boolean isOverrun() {
        return overrun;
    }

    /** Counts its memory with the buffers of the loop. */
    void countMemory() {
        count(reader.memoryBytes() + arrivals.memoryBytes());
    }

    /** The backlog is no longer needed, and its memory no longer counted. */
    void release() {
        count(0);
    }

    private void count(int bytes) {
        loop.addBufferedBytes(bytes - countedBytes);
        countedBytes = bytes;
    }
}
