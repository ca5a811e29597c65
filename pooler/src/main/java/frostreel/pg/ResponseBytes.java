package frostreel.pg;

import java.util.Arrays;

/**
 * The buffered messages of one response. Unlike a {@link java.io.ByteArrayOutputStream}, which doubles, it grows to the
 * size that is needed, as many connections may hold a long response at the same time. Used on the I/O thread.
 */
final class ResponseBytes {
    /** Room for the messages that follow a row, so that they do not cause another copy of it. */
    private static final int TAIL_BYTES = 64;

    private static final byte[] NONE = {};

    private byte[] bytes = NONE;
    private int length;

    void append(byte[] source, int from, int count) {
        if (length + count > bytes.length) {
            bytes = Arrays.copyOf(bytes, length + count + TAIL_BYTES);
        }
        System.arraycopy(source, from, bytes, length, count);
        length += count;
    }

    /** Number of bytes appended since the start or the last {@link #takeAll}. */
    int length() {
        return length;
    }

    /** Memory in use, in bytes. */
    int memoryBytes() {
        return bytes.length;
    }

    /** Copies a part of the bytes. */
    byte[] copyOfRange(int from, int to) {
        return Arrays.copyOfRange(bytes, from, to);
    }

    /** Returns all bytes and forgets them. */
    byte[] takeAll() {
        byte[] all = Arrays.copyOf(bytes, length);
        bytes = NONE;
        length = 0;
        return all;
    }
}
