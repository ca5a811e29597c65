package frostreel.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Incremental parser of one HTTP/1.1 response, with a limit on every length. A body with neither a length nor chunks
 * is delimited by the orderly end of its connection; after a reset it may be truncated.
 */
final class HttpResponseParser {
    private static final int MAX_BODY_BYTES = 1 << 22;
    private static final int MAX_LINE_BYTES = 8192;
    private static final int MAX_STATUS = 999;
    private static final int DECIMAL = 10;
    private static final int HEXADECIMAL = 16;
    /** The response has no Content-Length header. */
    private static final int UNKNOWN_LENGTH = -1;

    private enum State {
        STATUS_LINE,
        HEADERS,
        /** A known number of body bytes: the complete body, or one chunk. */
        BODY,
        /** All bytes up to the end of the connection. */
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        TRAILERS,
        COMPLETE
    }

    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private State state = State.STATUS_LINE;
    private int status;
    private int contentLength = UNKNOWN_LENGTH;
    private boolean chunked;
    private boolean keepAlive = true;
    /** Number of bytes of the body, or of its current chunk, that have not arrived yet. */
    private int remaining;

    /** Consumes bytes up to the end of the response; later bytes stay in the buffer. */
    void accept(ByteBuffer in) throws MalformedResponseException {
        while (in.hasRemaining() && state != State.COMPLETE) {
            switch (state) {
                case BODY -> acceptBody(in);
                case BODY_UNTIL_CLOSE -> append(in, in.remaining());
                default -> acceptLineByte(in.get());
            }
        }
    }

    private void acceptBody(ByteBuffer in) throws MalformedResponseException {
        int count = Math.min(remaining, in.remaining());
        append(in, count);
        remaining -= count;
        if (remaining == 0) {
            state = chunked ? State.CHUNK_SIZE : State.COMPLETE;
        }
    }

    private void append(ByteBuffer in, int count) throws MalformedResponseException {
        if (body.size() + count > MAX_BODY_BYTES) {
            throw new MalformedResponseException("a body of over " + MAX_BODY_BYTES + " bytes");
        }
        byte[] part = new byte[count];
        in.get(part);
        body.writeBytes(part);
    }

    private void acceptLineByte(byte next) throws MalformedResponseException {
        if (next != '\n') {
            line.append((char) Byte.toUnsignedInt(next));
            if (line.length() > MAX_LINE_BYTES) {
                throw new MalformedResponseException("a line of over " + MAX_LINE_BYTES + " bytes");
            }
            return;
        }
        String text = line.toString().trim();
        line.setLength(0);
        acceptLine(text);
    }

    private void acceptLine(String text) throws MalformedResponseException {
        switch (state) {
            case STATUS_LINE -> acceptStatusLine(text);
            case HEADERS -> acceptHeader(text);
            case CHUNK_SIZE -> acceptChunkSize(text);
            case TRAILERS -> state = text.isEmpty() ? State.COMPLETE : State.TRAILERS;
            default -> throw new IllegalStateException("no line is expected in " + state);
        }
    }

    @SuppressWarnings("StringSplitter") // Trailing empty words are to be dropped.
    private void acceptStatusLine(String text) throws MalformedResponseException {
        String[] words = text.split(" ");
        if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
            throw new MalformedResponseException("no status line");
        }
        status = parseNumber(words[1], DECIMAL, MAX_STATUS);
        state = State.HEADERS;
    }

    private void acceptHeader(String text) throws MalformedResponseException {
        if (text.isEmpty()) {
            beginBody();
            return;
        }
        int colon = text.indexOf(':');
        String name = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).trim().toLowerCase(Locale.ROOT);
        switch (name) {
            case "content-length" -> contentLength = parseNumber(value, DECIMAL, MAX_BODY_BYTES);
            case "transfer-encoding" -> chunked = value.equals("chunked");
            case "connection" -> keepAlive = !value.equals("close");
            default -> {}
        }
    }

    private void beginBody() {
        keepAlive &= chunked || contentLength != UNKNOWN_LENGTH;
        if (contentLength > 0) {
            remaining = contentLength;
            state = State.BODY;
        } else if (chunked) {
            state = State.CHUNK_SIZE;
        } else {
            state = contentLength == 0 ? State.COMPLETE : State.BODY_UNTIL_CLOSE;
        }
    }

    /** Parses the size of a chunk, and skips the empty line that ends the previous chunk. */
    @SuppressWarnings("StringSplitter") // Trailing empty words are to be dropped.
    private void acceptChunkSize(String text) throws MalformedResponseException {
        if (text.isEmpty()) {
            return;
        }
        String size = text.split(";")[0].trim(); // What follows the semicolon is a chunk extension.
        remaining = parseNumber(size, HEXADECIMAL, MAX_BODY_BYTES - body.size());
        state = remaining == 0 ? State.TRAILERS : State.BODY;
    }

    private static int parseNumber(String text, int radix, int max) throws MalformedResponseException {
        try {
            int number = Integer.parseInt(text, radix);
            if (number >= 0 && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, in the same way as a number out of range.
        }
        throw new MalformedResponseException("invalid status or length");
    }

    boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Whether an orderly end of the connection would complete the response. */
    boolean isDelimitedByClose() {
        return state == State.BODY_UNTIL_CLOSE;
    }

    /** Whether the connection can carry another request after this response. */
    boolean keepAlive() {
        return keepAlive;
    }

    int status() {
        return status;
    }

    /** Memory of what has been received so far, in bytes. */
    int memoryBytes() {
        return body.size() + line.length();
    }

    /** The body received so far, as UTF-8 text. */
    String body() {
        return body.toString(StandardCharsets.UTF_8);
    }
}
