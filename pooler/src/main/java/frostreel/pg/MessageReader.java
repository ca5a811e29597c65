package frostreel.pg;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** Cuts a byte stream, however it was split, into messages; owns the bytes not yet taken. */
public final class MessageReader {
    /** The longest body accepted of a message, by its type; negative for a type that is not accepted. */
    public interface Bounds {
        int longest(byte type);
    }

    private static final int SMALL = 2048;
    /** The bytes of a message before its body. */
    public static final int HEADER = 5;
    /** A row begins with the number of its columns and the first one's length. */
    private static final int ROW_HEAD = 6;

    private static final int STARTUP_MOST = 10_000;
    private final Bounds bounds;
    private byte[] buffer = new byte[SMALL];
    private int from;
    private int to;
    private byte type;
    private int bodyFrom;
    private int bodyTo;

    public MessageReader(Bounds bounds) {
        this.bounds = bounds;
    }

    public void feed(ByteBuffer in) {
        if (from == to) {
            from = 0;
            to = 0;
            if (buffer.length > SMALL && in.remaining() <= SMALL) {
                // A long message must not leave a long buffer behind on every connection.
                buffer = new byte[SMALL];
            }
        }
        int n = in.remaining();
        if (to + n > buffer.length) {
            int kept = to - from;
            byte[] into = kept + n <= buffer.length ? buffer : new byte[Math.max(2 * buffer.length, kept + n)];
            System.arraycopy(buffer, from, into, 0, kept);
            buffer = into;
            from = 0;
            to = kept;
        }
        in.get(buffer, to, n);
        to += n;
    }

    public int buffered() {
        return to - from;
    }

    /** How many bytes of memory it takes up, which may be twice what is buffered. */
    public int memory() {
        return buffer.length;
    }

    /** Moves to the next whole message; false where more bytes are needed. */
    public boolean next() throws PgException {
        if (buffered() < HEADER) {
            return false;
        }
        // By the head alone: noise must not be waited on for the rest of a message that it seems to begin.
        int longest = bounds.longest(buffer[from]);
        if (longest < 0) {
            throw new PgException("a message of unknown type");
        }
        return take(1, longest);
    }

    /**
     * The length of the row that comes next, where its body is longer than that and its own head is here: its
     * bytes are to be taken as they come, by {@link #takeHeld}. Else 0.
     */
    public int longRow(int most) {
        int head = HEADER + ROW_HEAD;
        int length = buffered() < head || buffer[from] != 'D' ? 0 : intAt(from + 1) - Integer.BYTES;
        return length > most ? length : 0;
    }

    /** Whether the row that comes next is one column whose length fits the row's. */
    public boolean rowHoldsOneValue() {
        return buffer[from + HEADER] == 0
                && buffer[from + HEADER + 1] == 1
                && intAt(from + HEADER + 2) == intAt(from + 1) - Integer.BYTES - ROW_HEAD;
    }

    /** Takes what is here, up to so many bytes. */
    public byte[] takeHeld(int most) {
        byte[] taken = Arrays.copyOfRange(buffer, from, Math.min(to, from + most));
        from += taken.length;
        return taken;
    }

    /** The same for a startup message, which has no type. */
    public boolean nextStartup() throws PgException {
        return buffered() >= Integer.BYTES && take(0, STARTUP_MOST);
    }

    private boolean take(int typeBytes, int longest) throws PgException {
        int length = intAt(from + typeBytes);
        // The length is checked before any byte is waited for, so that none makes the buffer grow past it.
        if (length < Integer.BYTES || length - Integer.BYTES > longest) {
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

    public byte type() {
        return type;
    }

    public int length() {
        return bodyTo - bodyFrom;
    }

    /** The n-th four bytes of the body, from 0 on. */
    public int intOfBody(int n) throws PgException {
        if (length() < (n + 1) * Integer.BYTES) {
            throw new PgException("a body of " + length() + " bytes");
        }
        return intAt(bodyFrom + n * Integer.BYTES);
    }

    private int intAt(int at) {
        return buffer[at] << 24 | (buffer[at + 1] & 255) << 16 | (buffer[at + 2] & 255) << 8 | buffer[at + 3] & 255;
    }

    /** A copy of the body, without its length. */
    public byte[] body() {
        return Arrays.copyOfRange(buffer, bodyFrom, bodyTo);
    }

    /** The whole message, as it came, into {@code out}. */
    void copyTo(ByteArrayOutputStream out) {
        out.write(buffer, bodyFrom - HEADER, bodyTo - bodyFrom + HEADER);
    }
}
