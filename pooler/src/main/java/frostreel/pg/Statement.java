package frostreel.pg;

import frostreel.request.Payload;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A statement in one of the two supported forms, a read and a write, with a comment of {@code name=value} fields. It is
 * forwarded unchanged except for the field {@code d}, the client's timeout, which is replaced in each attempt by the
 * remaining time. No other statement is forwarded: a server may close its connection on a statement that it cannot
 * parse, and the failure would be attributed to the server.
 */
public final class Statement implements Payload {
    /** Limits session numbers to 53 bits, which a JSON number represents exactly. */
    private static final long SESSION_MASK = (1L << 53) - 1;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int MAX_KEY_BYTES = 256;
    private static final int MAX_ID_CHARS = 64;
    private static final int UNSET = -1;
    private static final int HEXADECIMAL = 16;
    private static final int US_PER_MS = 1000;
    private static final long MIN_TIMEOUT_MS = 1;
    private static final String INVALID_COMMENT_TEXT = "a comment of more than names and values";
    private static final byte[] READ_PREFIX = ascii("SELECT v FROM records WHERE k = '");
    private static final byte[] READ_COMMENT_START = ascii("' /* ");
    private static final byte[] WRITE_PREFIX = ascii("INSERT INTO records (k, v) VALUES ('");
    private static final byte[] WRITE_VALUE_START = ascii("', '\\x");
    private static final byte[] WRITE_COMMENT_START = ascii("') RETURNING v /* ");
    private static final byte[] COMMENT_END = ascii(" */\0");
    /** Text of the statement with its terminating zero byte. */
    private final byte[] sql;

    private final boolean write;
    private int position;
    private long sessionHash = FNV_OFFSET_BASIS;
    /** Start index of the timeout's value in {@link #sql}, or {@link #UNSET}; {@link #timeoutTo} is the end. */
    private int timeoutFrom = UNSET;

    private int timeoutTo;
    private String id;
    private boolean keyed;
    private String requestClass;
    private long timeoutMs;
    private int group;
    private long requiredPositionMs;
    private boolean repeated;

    private Statement(byte[] sql) throws PgException {
        this.sql = sql;
        write = startsWith(WRITE_PREFIX);
        expect(write ? WRITE_PREFIX : READ_PREFIX);
        readKey();
        if (write) {
            expect(WRITE_VALUE_START);
            skipValue();
        }
        expect(write ? WRITE_COMMENT_START : READ_COMMENT_START);
        readComment(position, sql.length - COMMENT_END.length);
        position = sql.length - COMMENT_END.length;
        expect(COMMENT_END);
        if (requestClass == null || timeoutFrom == UNSET || id == null) {
            throw new PgException("a comment without id, c or d");
        }
    }

    /**
     * Parses the body of a Query message: a statement and its terminating zero byte.
     *
     * @throws PgException if it has neither of the two forms
     */
    public static Statement parse(byte[] body) throws PgException {
        return new Statement(body);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private boolean startsWith(byte[] text) {
        return sql.length - position >= text.length
                && Arrays.equals(sql, position, position + text.length, text, 0, text.length);
    }

    private void expect(byte[] text) throws PgException {
        if (position < 0 || !startsWith(text)) {
            throw new PgException("a statement in neither of the two forms served here");
        }
        position += text.length;
    }

    /** Parses the quoted key and computes its FNV-1a hash, which identifies the session. */
    private void readKey() throws PgException {
        int from = position;
        for (; position < sql.length && sql[position] != '\''; position++) {
            if (sql[position] < ' ' || sql[position] == '\\' || position - from >= MAX_KEY_BYTES) {
                throw new PgException("a key that is not plain text");
            }
            sessionHash = (sessionHash ^ sql[position]) * FNV_PRIME;
        }
    }

    /** Skips the value of a write, which is hexadecimal. */
    private void skipValue() throws PgException {
        int from = position;
        while (position < sql.length && Character.digit(sql[position], HEXADECIMAL) >= 0) {
            position++;
        }
        if ((position - from) % 2 != 0) {
            throw new PgException("a value that is not hexadecimal");
        }
    }

    /** Whether the body of a Query message contains only spaces, semicolons and newlines. */
    public static boolean isEmpty(byte[] body) throws PgException {
        if (body.length == 0 || body[body.length - 1] != 0) {
            throw new PgException("a query without its end mark");
        }
        for (int i = 0; i < body.length - 1; i++) {
            if (body[i] != ' ' && body[i] != ';' && body[i] != '\n') {
                return false;
            }
        }
        return true;
    }

    /** Parses the fields of the comment, {@code name=value} separated by commas. */
    private void readComment(int from, int to) throws PgException {
        int start = from;
        while (start < to) {
            int end = fieldEnd(start, to);
            int equals = indexOf('=', start, end);
            if (equals <= start) {
                throw new PgException(INVALID_COMMENT_TEXT);
            }
            readField(new String(sql, start, equals - start, StandardCharsets.US_ASCII), equals + 1, end);
            start = end + 1;
        }
    }

    private int fieldEnd(int start, int to) throws PgException {
        int end = start;
        while (end < to && sql[end] != ',') {
            if (sql[end] <= ' ' || sql[end] == '*') {
                throw new PgException(INVALID_COMMENT_TEXT);
            }
            end++;
        }
        return end;
    }

    /** First index of the character in this range, or {@link #UNSET}. */
    private int indexOf(char character, int from, int to) {
        for (int i = from; i < to; i++) {
            if (sql[i] == character) {
                return i;
            }
        }
        return UNSET;
    }

    private void readField(String name, int from, int to) throws PgException {
        String value = new String(sql, from, to - from, StandardCharsets.US_ASCII);
        switch (name) {
            case "id" -> {
                if (value.isEmpty() || value.length() > MAX_ID_CHARS || id != null) {
                    throw new PgException("a comment whose id is none");
                }
                id = value;
            }
            case "c" -> requestClass = value;
            case "d" -> {
                timeoutMs = parseNumber(name, value, Integer.MAX_VALUE);
                timeoutFrom = from;
                timeoutTo = to;
            }
            case "cluster" -> group = (int) parseNumber(name, value, Integer.MAX_VALUE);
            case "after" -> requiredPositionMs = parseNumber(name, value, Long.MAX_VALUE / US_PER_MS);
            case "k" -> keyed = !value.isEmpty();
            case "r" -> repeated = value.equals("1");
            default -> {}
        }
    }

    private static long parseNumber(String name, String value, long max) throws PgException {
        try {
            long number = Long.parseLong(value);
            if (number >= 0 && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number outside the range.
        }
        throw new PgException("a comment whose " + name + " is no number in range");
    }

    /** Unique id of the request, chosen by the client. */
    public String id() {
        return id;
    }

    /** Whether it is a write; otherwise it is a read. */
    public boolean write() {
        return write;
    }

    /** Whether it has an idempotency key. */
    public boolean keyed() {
        return keyed;
    }

    /** Name of its request class. */
    public String requestClass() {
        return requestClass;
    }

    /** The client's timeout for the response. */
    public long timeoutMs() {
        return timeoutMs;
    }

    /** Number of its replica group. */
    public int group() {
        return group;
    }

    /** Minimum commit position that a read must reflect, in Unix milliseconds; 0 for none. */
    public long requiredPositionMs() {
        return requiredPositionMs;
    }

    /** Whether the client marked it as a retry. */
    public boolean repeated() {
        return repeated;
    }

    /** Number of its session, a hash of the key. */
    public long session() {
        return (sessionHash ^ sessionHash >>> 32) & SESSION_MASK;
    }

    @Override
    public int memoryBytes() {
        return sql.length;
    }

    @Override
    public byte[] forServer(long timeoutUs) {
        byte[] digits =
                Long.toString(Math.max(MIN_TIMEOUT_MS, timeoutUs / US_PER_MS)).getBytes(StandardCharsets.US_ASCII);
        byte[] out = new byte[sql.length - (timeoutTo - timeoutFrom) + digits.length];
        System.arraycopy(sql, 0, out, 0, timeoutFrom);
        System.arraycopy(digits, 0, out, timeoutFrom, digits.length);
        System.arraycopy(sql, timeoutTo, out, timeoutFrom + digits.length, sql.length - timeoutTo);
        return Messages.query(out);
    }
}
