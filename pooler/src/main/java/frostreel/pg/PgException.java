package frostreel.pg;

/** What came is not version 3 of the protocol, or beyond a bound; the connection ends, and nothing else. */
public final class PgException extends Exception {
    PgException(String text) {
        super(text);
    }
}
