package frostreel.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Takes one HTTP/1.1 response in, however its bytes are split; every length is bounded. A body without a
 * length ends with its connection, where that ends in order: after a reset it is not known to be whole.
 */
final class HttpResponseParser {
    private static final int MAX_BODY_BYTES = 1 << 22;
    private static final int MAX_LINE_BYTES = 8192;
    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean statusRead;
    private boolean headersRead;
    private boolean chunked;
    private boolean lastChunk;
    private boolean keepAlive = true;
    private int status;
    private int remaining = -1;
    private boolean complete;

    /** Takes bytes up to the response's end. */
    void accept(ByteBuffer in) throws MalformedResponseException {
        while (in.hasRemaining() && !complete) {
            if (headersRead && (remaining > 0 || isDelimitedByClose())) {
                int count = remaining > 0 ? Math.min(remaining, in.remaining()) : in.remaining();
                if (body.size() + count > MAX_BODY_BYTES) {
                    throw new MalformedResponseException("a body of over " + MAX_BODY_BYTES + " bytes");
                }
                byte[] part = new byte[count];
                in.get(part);
                body.writeBytes(part);
                remaining -= remaining > 0 ? count : 0;
                complete = remaining == 0 && !chunked;
                continue;
            }
            byte b = in.get();
            if (b != '\n') {
                line.append((char) (b & 255));
                if (line.length() > MAX_LINE_BYTES) {
                    throw new MalformedResponseException("a line of over " + MAX_LINE_BYTES + " bytes");
                }
                continue;
            }
            String text = line.toString().trim();
            line.setLength(0);
            if (headersRead) {
                acceptChunkLine(text);
            } else {
                acceptHeaderLine(text);
            }
        }
    }

    private void acceptHeaderLine(String text) throws MalformedResponseException {
        if (!statusRead) {
            String[] words = text.split(" ");
            if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
                throw new MalformedResponseException("no status line");
            }
            status = length(words[1], 10, 999);
            statusRead = true;
        } else if (text.isEmpty()) {
            headersRead = true;
            keepAlive &= chunked || remaining >= 0;
            complete = !chunked && remaining == 0;
        } else {
            int colon = text.indexOf(':');
            String name = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
            String value = text.substring(colon + 1).trim().toLowerCase(Locale.ROOT);
            switch (name) {
                case "content-length" -> remaining = length(value, 10, MAX_BODY_BYTES);
                case "transfer-encoding" -> chunked = value.equals("chunked");
                case "connection" -> keepAlive = !value.equals("close");
                default -> {}
            }
        }
    }

    private void acceptChunkLine(String text) throws MalformedResponseException {
        if (lastChunk) {
            complete = text.isEmpty();
        } else if (!text.isEmpty()) {
            remaining = length(text.split(";")[0].trim(), 16, MAX_BODY_BYTES - body.size());
            lastChunk = remaining == 0;
        }
    }

    private static int length(String text, int radix, int max) throws MalformedResponseException {
        try {
            int number = Integer.parseInt(text, radix);
            if (number >= 0 && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new MalformedResponseException("a length out of range");
    }

    boolean isComplete() {
        return complete;
    }

    /** Whether it is whole once its connection has ended in order. */
    boolean isDelimitedByClose() {
        return headersRead && !chunked && remaining < 0;
    }

    boolean keepAlive() {
        return keepAlive;
    }

    int status() {
        return status;
    }

    String body() {
        return body.toString(StandardCharsets.UTF_8);
    }
}
