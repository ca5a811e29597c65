package frostreel.pg;

/** The types of fields in an ErrorResponse that are written or read here. */
final class ErrorField {
    /** The severity, in the server's language. */
    static final byte SEVERITY = 'S';
    /** The severity, in English. */
    static final byte SEVERITY_NONLOCALIZED = 'V';
    /** One of {@link SqlState}. */
    static final byte SQLSTATE = 'C';

    static final byte MESSAGE = 'M';
    static final byte DETAIL = 'D';

    private ErrorField() {}
}
