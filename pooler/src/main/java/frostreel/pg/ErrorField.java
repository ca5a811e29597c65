package frostreel.pg;

/** Field types of an ErrorResponse that the pooler writes or reads. */
final class ErrorField {
    /** Severity, localized by the server. */
    static final byte SEVERITY = 'S';
    /** Severity, always in English. */
    static final byte SEVERITY_NONLOCALIZED = 'V';
    /** SQLSTATE code, see {@link SqlState}. */
    static final byte SQLSTATE = 'C';

    static final byte MESSAGE = 'M';
    static final byte DETAIL = 'D';

    private ErrorField() {}
}
