package frostreel.pg;

import frostreel.broker.Payload;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A statement in one of the protocol's two forms, with its comment of names and values. Its bytes are kept
 * as they came; the fields that the decisions need are taken out, and only the value of {@code d} is written
 * anew for a server. Any other statement stays here: a server that cannot use one may close, and the fault
 * would be put down to the server.
 */
public final class Statement implements Payload {
    private static final long KEY_MASK = (1L << 53) - 1;
    private static final int MOST_KEY = 256;
    private static final int MOST_ID = 64;
    private static final byte[] READ = ascii("SELECT v FROM records WHERE k = '");
    private static final byte[] READ_COMMENT = ascii("' /* ");
    private static final byte[] WRITE = ascii("INSERT INTO records (k, v) VALUES ('");
    private static final byte[] WRITE_VALUE = ascii("', '\\x");
    private static final byte[] WRITE_COMMENT = ascii("') RETURNING v /* ");
    private static final byte[] END = ascii(" */\0");
    private final byte[] sql; // With its end mark.
    private final boolean write;
    private int at;
    private long session = 0xcbf29ce484222325L;
    private int patienceFrom = -1;
    private int patienceTo;
    private String id;
    private boolean keyed;
    private String requestClass;
    private long patienceMs;
    private int cluster;
    private long afterMs;
    private boolean repeated;

    private Statement(byte[] sql) throws PgException {
        this.sql = sql;
        write = starts(WRITE);
        take(write ? WRITE : READ);
        key();
        if (write) {
            take(WRITE_VALUE);
            value();
        }
        take(write ? WRITE_COMMENT : READ_COMMENT);
        readComment(at, sql.length - END.length);
        at = sql.length - END.length;
        take(END);
        if (requestClass == null || patienceFrom < 0 || id == null) {
            throw new PgException("a comment without id, c or d");
        }
    }

    /** Parses the body of a Query message: the statement and its end mark. */
    public static Statement parse(byte[] body) throws PgException {
        return new Statement(body);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private boolean starts(byte[] word) {
        return sql.length - at >= word.length && Arrays.equals(sql, at, at + word.length, word, 0, word.length);
    }

    private void take(byte[] word) throws PgException {
        if (at < 0 || !starts(word)) {
            throw new PgException("a statement in neither of the two forms served here");
        }
        at += word.length;
    }

    /** The quoted key, of which the session's number is made. */
    private void key() throws PgException {
        int from = at;
        for (; at < sql.length && sql[at] != '\''; at++) {
            if (sql[at] < ' ' || sql[at] == '\\' || at - from >= MOST_KEY) {
                throw new PgException("a key that is not plain text");
            }
            session = (session ^ sql[at]) * 0x100000001b3L;
        }
    }

    private void value() throws PgException {
        int from = at;
        while (at < sql.length && Character.digit(sql[at], 16) >= 0) {
            at++;
        }
        if ((at - from) % 2 != 0) {
            throw new PgException("a value that is not hexadecimal");
        }
    }

    /** Whether a query holds nothing but blanks. */
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

    private void readComment(int from, int to) throws PgException {
        for (int start = from, end; start < to; start = end + 1) {
            int equals = -1;
            for (end = start; end < to && sql[end] != ','; end++) {
                if (sql[end] <= ' ' || sql[end] == '*') {
                    throw new PgException("a comment of more than names and values");
                }
                equals = equals < 0 && sql[end] == '=' ? end : equals;
            }
            if (equals <= start) {
                throw new PgException("a comment of more than names and values");
            }
            readField(new String(sql, start, equals - start, StandardCharsets.US_ASCII), equals + 1, end);
        }
    }

    private void readField(String name, int from, int to) throws PgException {
        String value = new String(sql, from, to - from, StandardCharsets.US_ASCII);
        switch (name) {
            case "id" -> {
                if (value.isEmpty() || value.length() > MOST_ID || id != null) {
                    throw new PgException("a comment whose id is none");
                }
                id = value;
            }
            case "c" -> requestClass = value;
            case "d" -> {
                patienceMs = number(name, value, Integer.MAX_VALUE);
                patienceFrom = from;
                patienceTo = to;
            }
            case "cluster" -> cluster = (int) number(name, value, Integer.MAX_VALUE);
            case "after" -> afterMs = number(name, value, Long.MAX_VALUE / 1000);
            case "k" -> keyed = !value.isEmpty();
            case "r" -> repeated = value.equals("1");
            default -> {}
        }
    }

    private static long number(String name, String value, long most) throws PgException {
        try {
            long n = Long.parseLong(value);
            if (n >= 0 && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            // Told below, like a number out of range.
        }
        throw new PgException("a comment whose " + name + " is no number in range");
    }

    /** The request's own name, new with every request. */
    public String id() {
        return id;
    }

    public boolean write() {
        return write;
    }

    /** Whether it carries the key by which servers drop its repeats. */
    public boolean keyed() {
        return keyed;
    }

    public String requestClass() {
        return requestClass;
    }

    public long patienceMs() {
        return patienceMs;
    }

    public int cluster() {
        return cluster;
    }

    /** The position that a read has to see, in Unix milliseconds; 0 for none. */
    public long afterMs() {
        return afterMs;
    }

    public boolean repeated() {
        return repeated;
    }

    /** The session: a number made of the key. */
    public long session() {
        return (session ^ session >>> 32) & KEY_MASK;
    }

    @Override
    public byte[] forServer(long patienceUs) {
        byte[] digits = Long.toString(Math.max(1, patienceUs / 1000)).getBytes(StandardCharsets.US_ASCII);
        byte[] out = new byte[sql.length - (patienceTo - patienceFrom) + digits.length];
        System.arraycopy(sql, 0, out, 0, patienceFrom);
        System.arraycopy(digits, 0, out, patienceFrom, digits.length);
        System.arraycopy(sql, patienceTo, out, patienceFrom + digits.length, sql.length - patienceTo);
        return Messages.query(out);
    }
}
