package frostreel.pg;

/** What came is not version 3 of the protocol, or exceeds a limit; this ends its connection, and nothing else. */
public final class PgException extends Exception {
    PgException(String text) {
        super(text);
    }
}
