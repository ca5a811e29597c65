package frostreel.pg;

/** Signals bytes that violate the protocol or exceed a limit. Affects at most the connection that received them. */
public final class PgException extends Exception {
    PgException(String text) {
        super(text);
    }
}
