package frostreel.pg;

/** The bytes received violate the protocol, or exceed a limit. Only the connection that they came on is affected. */
public final class PgException extends Exception {
    PgException(String text) {
        super(text);
    }
}
