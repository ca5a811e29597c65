package frostreel.pg;

/**
 * An error that a server responded with.
 *
 * @param sqlState its code, which may be one of {@link SqlState}
 * @param fatal whether the server ends the connection with it
 */
record ErrorResponse(String sqlState, boolean fatal) {
    /**
     * Parses the body of the message: fields of a type and a string each, and a zero byte.
     *
     * @throws PgException where it is truncated, goes on behind its end, or has no code
     */
    static ErrorResponse parse(byte[] body) throws PgException {
        String sqlState = null;
        boolean fatal = false;
        int at = 0;
        while (at < body.length && body[at] != 0) {
            int end = CStrings.terminatorIndex(body, at);
            String value = CStrings.decode(body, at + 1, end);
            switch (body[at]) {
                case ErrorField.SQLSTATE -> sqlState = value;
                case ErrorField.SEVERITY, ErrorField.SEVERITY_NONLOCALIZED ->
                    fatal |= value.equals("FATAL") || value.equals("PANIC");
                default -> {}
            }
            at = end + 1;
        }
        if (sqlState == null || at != body.length - 1) {
            throw new PgException("an error that is not whole");
        }
        return new ErrorResponse(sqlState, fatal);
    }
}
