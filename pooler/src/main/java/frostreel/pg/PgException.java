package frostreel.pg;

/** Signals bytes that violate the protocol or exceed a limit. Only the connection that received them is affected. */
public final class PgException extends Exception {
    PgException(String text) {
        super(text);
    }
}
