package frostreel.pg;

import java.nio.charset.StandardCharsets;

/** Reads null-terminated strings from message bodies. */
final class CStrings {
    private CStrings() {}

    /**
     * Returns the index of the zero byte that terminates the string at {@code from}.
     *
     * @throws PgException if the body ends before the string does
     */
    static int terminatorIndex(byte[] body, int from) throws PgException {
        for (int i = from; i < body.length; i++) {
            if (body[i] == 0) {
                return i;
            }
        }
        throw new PgException("string is not null-terminated");
    }

    /** Decodes the string from {@code from} to its terminator at {@code end}, as UTF-8. */
    static String decode(byte[] body, int from, int end) {
        return new String(body, from, end - from, StandardCharsets.UTF_8);
    }
}
