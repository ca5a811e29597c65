package frostreel.pg;

/** SQLSTATE codes of errors that the pooler sends or understands. */
public final class SqlState {
    /** The request was rejected before it had any effect. */
    public static final String TOO_MANY_CONNECTIONS = "53300";

    /** The process accepts no clients because it is starting or draining. */
    public static final String CANNOT_CONNECT_NOW = "57P03";

    public static final String PROTOCOL_VIOLATION = "08P01";
    public static final String FEATURE_NOT_SUPPORTED = "0A000";

    /** The pooler does not serve the statement. */
    public static final String INVALID_PARAMETER_VALUE = "22023";

    /** It is unknown whether the request took effect. */
    public static final String TRANSACTION_RESOLUTION_UNKNOWN = "08007";

    /** The client did not send a complete message in time. */
    public static final String IDLE_SESSION_TIMEOUT = "57P05";

    public static final String QUERY_CANCELED = "57014";

    /** A write was sent to a server that is not the primary. */
    static final String READ_ONLY_SQL_TRANSACTION = "25006";

    /** The server has not yet replayed the commit that the read must reflect. */
    static final String SNAPSHOT_TOO_OLD = "72000";

    private SqlState() {}
}
