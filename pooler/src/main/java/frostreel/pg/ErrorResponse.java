package frostreel.pg;

/**
 * Error response of a server.
 *
 * @param sqlState its SQLSTATE code; {@link SqlState} lists those that the pooler understands
 * @param fatal whether the server closes the connection after it
 */
record ErrorResponse(String sqlState, boolean fatal) {
    /**
     * Parses the body of an ErrorResponse: fields, each a type byte and a string, and a terminating zero byte.
     *
     * @throws PgException if it is truncated, has bytes after its terminator, or has no SQLSTATE
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
            throw new PgException("ErrorResponse is truncated, too long, or has no SQLSTATE");
        }
        return new ErrorResponse(sqlState, fatal);
    }
}
