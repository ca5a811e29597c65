package frostreel.pg;

/** The SQLSTATE codes of errors that the pooler sends or understands. */
public final class SqlState {
    /** The request was rejected before it had any effect. */
    public static final String TOO_MANY_CONNECTIONS = "53300";

    /** The process takes no clients, as it starts or drains. */
    public static final String CANNOT_CONNECT_NOW = "57P03";

    public static final String PROTOCOL_VIOLATION = "08P01";
    public static final String FEATURE_NOT_SUPPORTED = "0A000";

    /** The statement is none that is served here. */
    public static final String INVALID_PARAMETER_VALUE = "22023";

    /** Whether the request took effect is not known. */
    public static final String TRANSACTION_RESOLUTION_UNKNOWN = "08007";

    /** The client has sent no complete message in time. */
    public static final String IDLE_SESSION_TIMEOUT = "57P05";

    public static final String QUERY_CANCELED = "57014";

    /** A write came to a server that is no primary. */
    static final String READ_ONLY_SQL_TRANSACTION = "25006";

    /** A server is not as new as the read has to see. */
    static final String SNAPSHOT_TOO_OLD = "72000";

    private SqlState() {}
}
