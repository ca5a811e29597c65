package frostreel.pg;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits the byte stream of a connection, which arrives in pieces of any size, into messages. It buffers the bytes that
 * are not yet consumed; the owner calls {@link #trim} once it has consumed messages, so that an idle connection does
 * not keep the buffer of a long one. Each connection has its own; used only on the I/O thread.
 */
public final class MessageReader {
    /** Maximum message length by type. */
    public interface LengthLimit {
        /** Value for a type that is not accepted at all. */
        int NOT_ACCEPTED = -1;

        /** Returns the maximum body length of a message of this type, in bytes, or {@link #NOT_ACCEPTED}. */
        int maxLength(byte type);
    }

    private static final int INITIAL_BUFFER_BYTES = 2048;
    /**
     * A buffer grows by at least a quarter of its size, which bounds both the bytes copied and the bytes unused while a
     * long message arrives in small pieces.
     */
    private static final int GROWTH_DIVISOR = 4;

    private static final byte[] NO_BUFFER = {};
    /** Size of the type and the length that precede the body of a message. */
    public static final int HEADER_BYTES = 5;
    /** Size of the column count and the first column's length at the beginning of a row. */
    static final int ROW_HEADER_BYTES = 6;

    private static final int MAX_STARTUP_BYTES = 10_000;
    private final LengthLimit limit;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int from;
    private int to;
    /** Size of the next message if the buffer was made large enough for it by {@link #reserve}, else 0. */
    private int reservedBytes;
    /** Whether the next message is discarded; its last {@link #bytesToDiscard} bytes have not arrived yet. */
    private boolean discarding;

    private int bytesToDiscard;
    /** Whether the current message was discarded. */
    private boolean discarded;

    private byte type;
    private int bodyFrom;
    private int bodyTo;

    /** Creates a reader that accepts only messages within the limits. */
    public MessageReader(LengthLimit limit) {
        this.limit = limit;
    }

    /** Appends all remaining bytes of {@code in} to the buffer. */
    public void feed(ByteBuffer in) {
        int dropped = Math.min(bytesToDiscard, in.remaining());
        in.position(in.position() + dropped);
        bytesToDiscard -= dropped;
        int added = in.remaining();
        if (from == to) {
            from = 0;
            to = 0;
        }
        if (to + added > buffer.length) {
            makeRoom(added);
        }
        in.get(buffer, to, added);
        to += added;
    }

    private void makeRoom(int added) {
        int needed = buffered() + added;
        boolean fits = needed <= buffer.length;
        moveTo(fits ? buffer : new byte[Math.max(needed, buffer.length + buffer.length / GROWTH_DIVISOR)]);
    }

    /** Moves the buffered bytes to the beginning of an array, which may be the present one, and uses that. */
    private void moveTo(byte[] target) {
        int buffered = buffered();
        System.arraycopy(buffer, from, target, 0, buffered);
        buffer = target;
        from = 0;
        to = buffered;
    }

    /**
     * Gives back memory of consumed messages if that is at least half of the buffer; keeps what is reserved for the
     * next message. Ends the current message.
     */
    public void trim() {
        int kept = Math.max(buffered(), reservedBytes);
        if (buffer.length > INITIAL_BUFFER_BYTES && kept <= buffer.length / 2) {
            moveTo(new byte[Math.max(INITIAL_BUFFER_BYTES, kept)]);
        }
    }

    /** Makes the buffer large enough for the next message, of which this many bytes with its header are expected. */
    public void reserve(int messageBytes) {
        reservedBytes = messageBytes;
        if (messageBytes > buffer.length) {
            moveTo(new byte[messageBytes]);
        }
    }

    /** Number of bytes that can be fed before the buffer has to grow. */
    public int freeBytes() {
        return buffer.length - buffered();
    }

    /** Discards all buffered bytes and gives back the whole buffer, as its connection needs no further message. */
    public void release() {
        buffer = NO_BUFFER;
        reservedBytes = 0;
        from = 0;
        to = 0;
    }

    /** Number of bytes that are not yet consumed. */
    public int buffered() {
        return to - from;
    }

    /** Size of the buffer in bytes. */
    public int memoryBytes() {
        return buffer.length;
    }

    /**
     * Advances to the next message. Returns false if that is not yet complete.
     *
     * @throws PgException if its type is not accepted or its length is outside the limits
     */
    public boolean next() throws PgException {
        discarded = discarding && bytesToDiscard == 0;
        if (discarding) {
            discarding = !discarded;
            bodyFrom = from;
            bodyTo = from;
            return discarded;
        }
        if (buffered() < HEADER_BYTES) {
            return false;
        }
        // Checked before the body arrives: corrupt bytes must not make the reader wait for the rest of a message.
        int maxLength = limit.maxLength(buffer[from]);
        if (maxLength == LengthLimit.NOT_ACCEPTED) {
            throw new PgException("a message of unknown type");
        }
        return take(1, maxLength);
    }

    /** Type of the next message if its header has arrived and the rest has not, else 0. */
    public byte incompleteType() {
        return isIncomplete() ? buffer[from] : 0;
    }

    /** Size with its header of the next message if that has arrived and the rest has not, else 0. */
    public int incompleteBytes() {
        return isIncomplete() ? 1 + intAt(from + 1) : 0;
    }

    private boolean isIncomplete() {
        return !discarding && buffered() >= HEADER_BYTES && buffered() <= intAt(from + 1);
    }

    /**
     * Discards the next message, which must be incomplete: gives back its memory, and drops the rest of it when that
     * arrives. Once it has, {@link #next} advances to it as usual, but its body is empty and {@link #isDiscarded} true.
     */
    public void discardIncomplete() {
        type = buffer[from];
        bytesToDiscard = 1 + intAt(from + 1) - buffered();
        discarding = true;
        from = to;
        trim();
    }

    /** Whether a message is being discarded that {@link #next} has not advanced to yet. */
    public boolean isDiscarding() {
        return discarding;
    }

    /** Whether the body of the current message was discarded. */
    public boolean isDiscarded() {
        return discarded;
    }

    /**
     * Body length of the next message if it is a row longer than {@code maxBuffered} whose headers have arrived, else
     * 0. The caller consumes the bytes of such a row as they arrive, with {@link #takeBuffered}.
     */
    public int longRowLength(int maxBuffered) {
        int headers = HEADER_BYTES + ROW_HEADER_BYTES;
        int length = buffered() < headers || buffer[from] != MessageType.DATA_ROW ? 0 : intAt(from + 1) - Integer.BYTES;
        return length > maxBuffered ? length : 0;
    }

    /** Whether the next message, which must be a row, has exactly one column that fills the row. */
    public boolean rowHoldsOneValue() {
        return holdsOneValue(from + HEADER_BYTES, intAt(from + 1) - Integer.BYTES);
    }

    /** Consumes and returns up to {@code maxBytes} buffered bytes. */
    public byte[] takeBuffered(int maxBytes) {
        byte[] taken = Arrays.copyOfRange(buffer, from, Math.min(to, from + maxBytes));
        from += taken.length;
        return taken;
    }

    /** Advances to a startup message, which has no type. Returns false if that is not yet complete. */
    public boolean nextStartup() throws PgException {
        return buffered() >= Integer.BYTES && take(0, MAX_STARTUP_BYTES);
    }

    private boolean take(int typeBytes, int maxLength) throws PgException {
        int length = intAt(from + typeBytes);
        // Checked before the body arrives, so that no message makes the buffer grow beyond the limit.
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
        reservedBytes = 0;
        return true;
    }

    /** Type of the current message; 0 for a startup message. */
    public byte type() {
        return type;
    }

    /** Body length of the current message. */
    public int length() {
        return bodyTo - bodyFrom;
    }

    /** Big-endian 32-bit integer at byte offset {@code 4 * index} of the current body. */
    public int bodyInt(int index) throws PgException {
        if (length() < (index + 1) * Integer.BYTES) {
            throw new PgException("a body of " + length() + " bytes");
        }
        return intAt(bodyFrom + index * Integer.BYTES);
    }

    /** Byte of the current body at this index, which must be less than {@link #length}. */
    byte bodyByte(int index) {
        return buffer[bodyFrom + index];
    }

    private int intAt(int at) {
        return buffer[at] << 24 | (buffer[at + 1] & 255) << 16 | (buffer[at + 2] & 255) << 8 | (buffer[at + 3] & 255);
    }

    /** Copy of the current body. */
    public byte[] body() {
        return Arrays.copyOfRange(buffer, bodyFrom, bodyTo);
    }

    /** Appends the current message with its header, unchanged, to {@code out}. */
    void copyTo(ResponseBytes out) {
        out.append(buffer, bodyFrom - HEADER_BYTES, bodyTo - bodyFrom + HEADER_BYTES);
    }

    /** Whether the current message, which must be a row, has exactly one column that fills the row. */
    boolean holdsOneValue() {
        return length() >= ROW_HEADER_BYTES && holdsOneValue(bodyFrom, length());
    }

    private boolean holdsOneValue(int rowFrom, int rowBytes) {
        return buffer[rowFrom] == 0 && buffer[rowFrom + 1] == 1 && intAt(rowFrom + 2) == rowBytes - ROW_HEADER_BYTES;
    }
}
