package frostreel.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Takes one HTTP/1.1 response in, however its bytes are split; every length is bounded. A body without a
 * length ends with its connection, where that ends in order: after a reset it is not known to be whole.
 */
final class HttpResponse {
    private static final int MOST_BODY = 1 << 22;
    private static final int MOST_LINE = 8192;
    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean statusRead;
    private boolean headersRead;
    private boolean chunked;
    private boolean lastChunk;
    private boolean keepAlive = true;
    private int status;
    private int left = -1;
    private boolean complete;

    /** Takes bytes up to the response's end. */
    void accept(ByteBuffer in) throws HttpException {
        while (in.hasRemaining() && !complete) {
            if (headersRead && (left > 0 || endsWithConnection())) {
                int n = left > 0 ? Math.min(left, in.remaining()) : in.remaining();
                if (body.size() + n > MOST_BODY) {
                    throw new HttpException("a body of over " + MOST_BODY + " bytes");
                }
                byte[] part = new byte[n];
                in.get(part);
                body.writeBytes(part);
                left -= left > 0 ? n : 0;
                complete = left == 0 && !chunked;
                continue;
            }
            byte b = in.get();
            if (b != '\n') {
                line.append((char) (b & 255));
                if (line.length() > MOST_LINE) {
                    throw new HttpException("a line of over " + MOST_LINE + " bytes");
                }
                continue;
            }
            String text = line.toString().trim();
            line.setLength(0);
            if (headersRead) {
                chunkLine(text);
            } else {
                headerLine(text);
            }
        }
    }

    private void headerLine(String text) throws HttpException {
        if (!statusRead) {
            String[] words = text.split(" ");
            if (words.length < 2 || !words[0].startsWith("HTTP/1.")) {
                throw new HttpException("no status line");
            }
            status = length(words[1], 10, 999);
            statusRead = true;
        } else if (text.isEmpty()) {
            headersRead = true;
            keepAlive &= chunked || left >= 0;
            complete = !chunked && left == 0;
        } else {
            int colon = text.indexOf(':');
            String name = colon < 0 ? "" : text.substring(0, colon).toLowerCase(Locale.ROOT);
            String value = text.substring(colon + 1).trim().toLowerCase(Locale.ROOT);
            switch (name) {
                case "content-length" -> left = length(value, 10, MOST_BODY);
                case "transfer-encoding" -> chunked = value.equals("chunked");
                case "connection" -> keepAlive = !value.equals("close");
                default -> {}
            }
        }
    }

    private void chunkLine(String text) throws HttpException {
        if (lastChunk) {
            complete = text.isEmpty();
        } else if (!text.isEmpty()) {
            left = length(text.split(";")[0].trim(), 16, MOST_BODY - body.size());
            lastChunk = left == 0;
        }
    }

    private static int length(String text, int radix, int most) throws HttpException {
        try {
            int n = Integer.parseInt(text, radix);
            if (n >= 0 && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Told below.
        }
        throw new HttpException("a length out of range");
    }

    boolean complete() {
        return complete;
    }

    /** Whether it is whole once its connection has ended in order. */
    boolean endsWithConnection() {
        return headersRead && !chunked && left < 0;
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

    /** What came is no response that this program reads. */
    static final class HttpException extends Exception {
        HttpException(String text) {
            super(text);
        }
    }
}
