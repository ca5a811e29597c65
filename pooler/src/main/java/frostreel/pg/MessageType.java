package frostreel.pg;

/**
 * Message types of version 3 of the PostgreSQL protocol, named as in its specification. A byte may denote one message
 * from a server and another from a client.
 */
public final class MessageType {
    // ---- From servers. ----

    /** An authentication message; AuthenticationOk if its code is {@link #AUTHENTICATION_OK}. */
    public static final byte AUTHENTICATION = 'R';

    public static final byte BACKEND_KEY_DATA = 'K';
    public static final byte PARAMETER_STATUS = 'S';
    public static final byte READY_FOR_QUERY = 'Z';
    public static final byte ROW_DESCRIPTION = 'T';
    public static final byte DATA_ROW = 'D';
    public static final byte COMMAND_COMPLETE = 'C';
    public static final byte EMPTY_QUERY_RESPONSE = 'I';
    public static final byte ERROR_RESPONSE = 'E';
    public static final byte NOTICE_RESPONSE = 'N';
    public static final byte NOTIFICATION_RESPONSE = 'A';

    // ---- From clients. ----

    public static final byte QUERY = 'Q';
    public static final byte FLUSH = 'H';
    public static final byte SYNC = 'S';
    public static final byte TERMINATE = 'X';

    // ---- Codes in the bodies of messages. ----

    /** Code of the {@link #AUTHENTICATION} message that completes authentication. */
    static final int AUTHENTICATION_OK = 0;
    /** Transaction status in {@link #READY_FOR_QUERY} outside a transaction block. */
    static final byte NOT_IN_TRANSACTION = 'I';

    private MessageType() {}
}
