package frostreel.pg;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Encodes the messages that the pooler itself sends to clients and servers. */
public final class Messages {
    /** Names and values of the ParameterStatus messages sent to a client. */
    private static final String[][] PARAMETERS = {
        {"server_version", "15.0"},
        {"server_encoding", "UTF8"},
        {"client_encoding", "UTF8"},
        {"standard_conforming_strings", "on"}
    };
    /** Names and values of the parameters in the startup message to a server. */
    private static final String[] STARTUP_PARAMETERS = {
        "user", "svc", "database", "main", "application_name", "frostreel"
    };

    private static final byte[] ONE_COLUMN = {0, 1};
    /** What follows a column's name: no table (6 bytes), type 25 (text), variable length, no modifier, text format. */
    private static final byte[] TEXT_COLUMN = {0, 0, 0, 0, 0, 0, 0, 0, 0, 25, -1, -1, -1, -1, -1, -1, 0, 0};

    private static final byte[] EMPTY = {};

    private Messages() {}

    private static byte[] message(byte type, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(body.length + MessageReader.HEADER_BYTES);
        out.write(type);
        writeInt(out, body.length + Integer.BYTES);
        out.writeBytes(body);
        return out.toByteArray();
    }

    private static void writeInt(ByteArrayOutputStream out, int number) {
        out.write(number >> 24);
        out.write(number >> 16);
        out.write(number >> 8);
        out.write(number);
    }

    private static void writeText(ByteArrayOutputStream out, String text) {
        out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
        out.write(0);
    }

    /**
     * Response to a client's startup message: AuthenticationOk, the parameters, BackendKeyData with the key for
     * cancelling requests, and ReadyForQuery.
     */
    public static byte[] startupResponse(int process, int secret) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(authenticationOk());
        for (String[] parameter : PARAMETERS) {
            out.writeBytes(parameterStatus(parameter[0], parameter[1]));
        }
        out.writeBytes(backendKeyData(process, secret));
        out.writeBytes(readyForQuery());
        return out.toByteArray();
    }

    private static byte[] authenticationOk() {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        writeInt(body, MessageType.AUTHENTICATION_OK);
        return message(MessageType.AUTHENTICATION, body.toByteArray());
    }

    /**
     * A ParameterStatus that repeats a value of the startup response. Clients accept it at any time between messages,
     * and it changes nothing for them.
     */
    public static byte[] unchangedParameter() {
        return parameterStatus(PARAMETERS[0][0], PARAMETERS[0][1]);
    }

    private static byte[] parameterStatus(String name, String value) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        writeText(body, name);
        writeText(body, value);
        return message(MessageType.PARAMETER_STATUS, body.toByteArray());
    }

    private static byte[] backendKeyData(int process, int secret) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        writeInt(body, process);
        writeInt(body, secret);
        return message(MessageType.BACKEND_KEY_DATA, body.toByteArray());
    }

    /** ReadyForQuery outside a transaction block. */
    public static byte[] readyForQuery() {
        return message(MessageType.READY_FOR_QUERY, new byte[] {MessageType.NOT_IN_TRANSACTION});
    }

    /** EmptyQueryResponse, without the ReadyForQuery that follows it. */
    public static byte[] emptyQueryResponse() {
        return message(MessageType.EMPTY_QUERY_RESPONSE, EMPTY);
    }

    /**
     * An ErrorResponse.
     *
     * @param fatal whether the sender closes the connection after it
     * @param code SQLSTATE, usually one of {@link SqlState}
     * @param detail the detail field, or null for none
     */
    public static byte[] error(boolean fatal, String code, String text, String detail) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String severity = fatal ? "FATAL" : "ERROR";
        writeErrorField(body, ErrorField.SEVERITY, severity);
        writeErrorField(body, ErrorField.SEVERITY_NONLOCALIZED, severity);
        writeErrorField(body, ErrorField.SQLSTATE, code);
        writeErrorField(body, ErrorField.MESSAGE, text);
        if (detail != null) {
            writeErrorField(body, ErrorField.DETAIL, detail);
        }
        body.write(0);
        return message(MessageType.ERROR_RESPONSE, body.toByteArray());
    }

    private static void writeErrorField(ByteArrayOutputStream out, byte field, String value) {
        out.write(field);
        writeText(out, value);
    }

    /** Startup message to a server. */
    public static byte[] startup() {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        writeInt(body, StartupCode.PROTOCOL_3_0);
        for (String text : STARTUP_PARAMETERS) {
            writeText(body, text);
        }
        body.write(0);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeInt(out, body.size() + Integer.BYTES);
        out.writeBytes(body.toByteArray());
        return out.toByteArray();
    }

    /** Query message of the simple protocol; {@code sql} is the statement with its terminating zero byte. */
    public static byte[] query(byte[] sql) {
        return message(MessageType.QUERY, sql);
    }

    /** Result with one row of one text column: RowDescription, DataRow and CommandComplete. */
    public static byte[] row(String column, String value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(rowDescription(column));
        out.writeBytes(dataRow(value));
        out.writeBytes(commandComplete("SHOW"));
        return out.toByteArray();
    }

    private static byte[] rowDescription(String column) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ONE_COLUMN);
        writeText(body, column);
        body.writeBytes(TEXT_COLUMN);
        return message(MessageType.ROW_DESCRIPTION, body.toByteArray());
    }

    private static byte[] dataRow(String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ONE_COLUMN);
        writeInt(body, text.length);
        body.writeBytes(text);
        return message(MessageType.DATA_ROW, body.toByteArray());
    }

    private static byte[] commandComplete(String tag) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        writeText(body, tag);
        return message(MessageType.COMMAND_COMPLETE, body.toByteArray());
    }
}
