package frostreel.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits a byte stream, which may arrive in pieces of any size, into messages; owns the bytes not yet consumed. Used by
 * one connection, on the I/O thread.
 */
public final class MessageReader {
    /** Limits the length of messages. */
    public interface LengthLimit {
        /** The limit of a type of which no message is accepted. */
        int NOT_ACCEPTED = -1;

        /** The longest body accepted of a message of this type, or {@link #NOT_ACCEPTED}. */
        int maxLength(byte type);
    }

    private static final int INITIAL_BUFFER_BYTES = 2048;
    /** The type and the length, before the body of a message. */
    public static final int HEADER_BYTES = 5;
    /** The number of columns and the length of the first, at the beginning of a row. */
    static final int ROW_HEADER_BYTES = 6;

    private static final int MAX_STARTUP_BYTES = 10_000;
    private final LengthLimit limit;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int from;
    private int to;
    private byte type;
    private int bodyFrom;
    private int bodyTo;

    /** A reader that accepts messages within the limits alone. */
    public MessageReader(LengthLimit limit) {
        this.limit = limit;
    }

    /** Adds all bytes of the buffer. */
    public void feed(ByteBuffer in) {
        if (from == to) {
            from = 0;
            to = 0;
            if (buffer.length > INITIAL_BUFFER_BYTES && in.remaining() <= INITIAL_BUFFER_BYTES) {
                // A long message must not leave a long buffer behind on every connection.
                buffer = new byte[INITIAL_BUFFER_BYTES];
            }
        }
        int added = in.remaining();
        if (to + added > buffer.length) {
            int buffered = to - from;
            byte[] target = buffered + added <= buffer.length
                    ? buffer
                    : new byte[Math.max(2 * buffer.length, buffered + added)];
            System.arraycopy(buffer, from, target, 0, buffered);
            buffer = target;
            from = 0;
            to = buffered;
        }
        in.get(buffer, to, added);
        to += added;
    }

    /** How many bytes are not yet consumed. */
    public int buffered() {
        return to - from;
    }

    /** The size of its buffer, which may be twice what is buffered. */
    public int memoryBytes() {
        return buffer.length;
    }

    /**
     * Moves to the next message; false where more bytes are needed for it.
     *
     * @throws PgException where no such message is accepted
     */
    public boolean next() throws PgException {
        if (buffered() < HEADER_BYTES) {
            return false;
        }
        // Checked as soon as the type has arrived: corrupt bytes must not make the reader wait for a message's rest.
        int maxLength = limit.maxLength(buffer[from]);
        if (maxLength == LengthLimit.NOT_ACCEPTED) {
            throw new PgException("a message of unknown type");
        }
        return take(1, maxLength);
    }

    /**
     * The length of the next message's body if that is a row longer than {@code maxBuffered} whose header is buffered,
     * else 0. The bytes of such a row are to be taken as they come, by {@link #takeBuffered}.
     */
    public int longRowLength(int maxBuffered) {
        int headers = HEADER_BYTES + ROW_HEADER_BYTES;
        int length = buffered() < headers || buffer[from] != MessageType.DATA_ROW ? 0 : intAt(from + 1) - Integer.BYTES;
        return length > maxBuffered ? length : 0;
    }

    /** Whether the next message, a row, has one column, whose length agrees with that of the row. */
    public boolean rowHoldsOneValue() {
        return buffer[from + HEADER_BYTES] == 0
                && buffer[from + HEADER_BYTES + 1] == 1
                && intAt(from + HEADER_BYTES + 2) == intAt(from + 1) - Integer.BYTES - ROW_HEADER_BYTES;
    }

    /** Consumes and returns what is buffered, up to {@code maxBytes}. */
    public byte[] takeBuffered(int maxBytes) {
        byte[] taken = Arrays.copyOfRange(buffer, from, Math.min(to, from + maxBytes));
        from += taken.length;
        return taken;
    }

    /** Moves to a startup message, which has no type; false where more bytes are needed for it. */
    public boolean nextStartup() throws PgException {
        return buffered() >= Integer.BYTES && take(0, MAX_STARTUP_BYTES);
    }

    private boolean take(int typeBytes, int maxLength) throws PgException {
        int length = intAt(from + typeBytes);
        // Checked before the body is waited for, so that no message makes the buffer grow beyond the limit.
        if (length < Integer.BYTES || length - Integer.BYTES > maxLength) {
            throw new PgException("a message of length " + length);
        }
        if (buffered() < typeBytes + length) {
            return false;
        }
        type = typeBytes == 0 ? 0 : buffer[from];
        bodyFrom = from + typeBytes + Integer.BYTES;
        bodyTo = from + typeBytes + length;
        from = bodyTo;
        return true;
    }

    /** The type of the current message; 0 for a startup message. */
    public byte type() {
        return type;
    }

    /** The length of its body. */
    public int length() {
        return bodyTo - bodyFrom;
    }

    /** The four bytes of its body at {@code 4 * index}, as a number. */
    public int bodyInt(int index) throws PgException {
        if (length() < (index + 1) * Integer.BYTES) {
            throw new PgException("a body of " + length() + " bytes");
        }
        return intAt(bodyFrom + index * Integer.BYTES);
    }

    /** The byte of its body at this index, which must be less than its length. */
    byte bodyByte(int index) {
        return buffer[bodyFrom + index];
    }

    private int intAt(int at) {
        return buffer[at] << 24 | (buffer[at + 1] & 255) << 16 | (buffer[at + 2] & 255) << 8 | (buffer[at + 3] & 255);
    }

    /** A copy of its body. */
    public byte[] body() {
        return Arrays.copyOfRange(buffer, bodyFrom, bodyTo);
    }

    /** Appends the message, as it came, to {@code out}. */
    void copyTo(ByteArrayOutputStream out) {
        out.write(buffer, bodyFrom - HEADER_BYTES, bodyTo - bodyFrom + HEADER_BYTES);
    }
}
