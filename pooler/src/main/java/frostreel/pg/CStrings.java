package frostreel.pg;

import java.nio.charset.StandardCharsets;

/** Reads the strings in the bodies of messages, each of which ends with a zero byte. */
final class CStrings {
    private CStrings() {}

    /**
     * Returns the offset of the zero byte that ends the string at {@code from}.
     *
     * @throws PgException where the body ends before the string does
     */
    static int terminatorIndex(byte[] body, int from) throws PgException {
        for (int i = from; i < body.length; i++) {
            if (body[i] == 0) {
                return i;
            }
        }
        throw new PgException("a text without its end mark");
    }

    /** Returns the string from an offset up to its zero byte at {@code end}. */
    static String decode(byte[] body, int from, int end) {
        return new String(body, from, end - from, StandardCharsets.UTF_8);
    }
}
