package frostreel.pg;

/**
 * The types of messages in version 3 of PostgreSQL's protocol, by their names there. The same byte may stand for one
 * message from a server and for another from a client.
 */
public final class MessageType {
    // ---- From servers. ----

    /** A step of authentication; AuthenticationOk where its code is {@link #AUTHENTICATION_OK}. */
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

    /** The code in an {@link #AUTHENTICATION} message that ends authentication. */
    static final int AUTHENTICATION_OK = 0;
    /** The transaction status in {@link #READY_FOR_QUERY} outside of a transaction block. */
    static final byte NOT_IN_TRANSACTION = 'I';

    private MessageType() {}
}
