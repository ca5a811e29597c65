package frostreel.pg;

import frostreel.request.BackEnd;
import frostreel.routing.Router.Outcome;
import java.nio.charset.StandardCharsets;

/**
 * A server's response to one query or to the startup message, as far as it has arrived. It buffers the bytes until the
 * response is complete. Messages are accepted only in the protocol's order and in their exact form: a corrupt response
 * may closely resemble a valid one, and only what the server sent for this request may be forwarded.
 */
public final class ServerResponse {
    /** Progress of the response, named after the last message. */
    private enum State {
        STARTUP_SENT,
        AUTHENTICATED,
        QUERY_SENT,
        ROW_DESCRIBED,
        ROW_RECEIVED,
        COMMAND_COMPLETE,
        ERROR_RECEIVED,
        READY
    }

    /** Longest row that is buffered until it is complete: a 64 KiB value with its header. */
    public static final int MAX_BUFFERED_ROW_BYTES = (1 << 16) + MessageReader.ROW_HEADER_BYTES;
    /** Longest row that is streamed; a greater length is treated as corrupt. */
    private static final int MAX_ROW_BYTES = 1 << 24;

    private static final int MAX_OTHER_MESSAGE_BYTES = 1 << 13;
    private static final int READY_FOR_QUERY_BYTES = 1;
    /** Limit for all messages of a response together except a streamed row: notices alone could go on without end. */
    private static final int MAX_RESPONSE_BYTES = MAX_BUFFERED_ROW_BYTES + (1 << 16);
    /** Size of what follows a column's name in RowDescription: table, number, type, length, modifier, format. */
    private static final int COLUMN_DESCRIPTION_BYTES = 18;

    private final ResponseBytes buffer = new ResponseBytes();
    private final ServerStatus status = new ServerStatus();
    private State state;
    private int receivedBytes;
    /** Where the body of the buffered row begins and ends in {@link #buffer}; 0 without a buffered row. */
    private int rowFrom;

    private int rowTo;
    /** The error, or null if none has arrived. */
    private ErrorResponse error;
    /** Whether the error arrived in place of a result, not within one. */
    private boolean errorIsWholeResponse;

    private ServerResponse(State first) {
        state = first;
    }

    /** Creates the response to a startup message, before its first byte. */
    public static ServerResponse toStartup() {
        return new ServerResponse(State.STARTUP_SENT);
    }

    /** Creates the response to a query, before its first byte. */
    public static ServerResponse toQuery() {
        return new ServerResponse(State.QUERY_SENT);
    }

    /** Implements {@link MessageReader.LengthLimit} for messages from servers. */
    public static int maxLength(byte type) {
        return switch (type) {
            case MessageType.DATA_ROW -> MAX_ROW_BYTES;
            case MessageType.READY_FOR_QUERY -> READY_FOR_QUERY_BYTES;
            case MessageType.AUTHENTICATION,
                    MessageType.BACKEND_KEY_DATA,
                    MessageType.PARAMETER_STATUS,
                    MessageType.ROW_DESCRIPTION,
                    MessageType.COMMAND_COMPLETE,
                    MessageType.ERROR_RESPONSE,
                    MessageType.NOTICE_RESPONSE,
                    MessageType.NOTIFICATION_RESPONSE -> MAX_OTHER_MESSAGE_BYTES;
            default -> MessageReader.LengthLimit.NOT_ACCEPTED;
        };
    }

    // ---- Messages. ----

    /**
     * Accepts the current message of the reader.
     *
     * @throws PgException if it is malformed, or is not allowed after the messages before it
     */
    public void accept(MessageReader message) throws PgException {
        receivedBytes += message.length();
        if (receivedBytes > MAX_RESPONSE_BYTES) {
            throw new PgException("response exceeds " + MAX_RESPONSE_BYTES + " bytes");
        }
        switch (message.type()) {
            case MessageType.AUTHENTICATION -> onAuthentication(message);
            case MessageType.BACKEND_KEY_DATA -> advance(state == State.AUTHENTICATED, State.AUTHENTICATED);
            case MessageType.ROW_DESCRIPTION -> onRowDescription(message);
            case MessageType.DATA_ROW -> onDataRow(message);
            case MessageType.COMMAND_COMPLETE -> onCommandComplete(message);
            case MessageType.ERROR_RESPONSE -> onError(message);
            case MessageType.READY_FOR_QUERY -> onReadyForQuery(message);
            case MessageType.PARAMETER_STATUS -> status.acceptParameter(message.body());
            default -> {} // Notices and notifications may arrive at any time.
        }
    }

    private void onAuthentication(MessageReader message) throws PgException {
        advance(
                state == State.STARTUP_SENT && message.bodyInt(0) == MessageType.AUTHENTICATION_OK,
                State.AUTHENTICATED);
    }

    private void onRowDescription(MessageReader message) throws PgException {
        advance(state == State.QUERY_SENT && describesOneColumn(message.body()), State.ROW_DESCRIBED);
        message.copyTo(buffer);
    }

    private void onDataRow(MessageReader message) throws PgException {
        advance(state == State.ROW_DESCRIBED && message.holdsOneValue(), State.ROW_RECEIVED);
        rowFrom = buffer.length() + MessageReader.HEADER_BYTES;
        message.copyTo(buffer);
        rowTo = buffer.length();
    }

    private void onCommandComplete(MessageReader message) throws PgException {
        advance(state == State.ROW_RECEIVED && isOneText(message.body()), State.COMMAND_COMPLETE);
        message.copyTo(buffer);
    }

    private void onError(MessageReader message) throws PgException {
        errorIsWholeResponse = state == State.QUERY_SENT || state == State.STARTUP_SENT || state == State.AUTHENTICATED;
        advance(state != State.COMMAND_COMPLETE && state != State.ERROR_RECEIVED, State.ERROR_RECEIVED);
        error = ErrorResponse.parse(message.body());
    }

    private void onReadyForQuery(MessageReader message) throws PgException {
        boolean expected =
                state == State.AUTHENTICATED || state == State.COMMAND_COMPLETE || state == State.ERROR_RECEIVED;
        boolean idle =
                message.length() == READY_FOR_QUERY_BYTES && message.bodyByte(0) == MessageType.NOT_IN_TRANSACTION;
        advance(expected && idle, State.READY);
    }

    /**
     * Begins to stream a row that is too long to be buffered.
     *
     * @param holdsOneValue whether the row has the one column that was described
     * @return the buffered bytes before the row; the result will contain only the bytes after the row
     */
    public byte[] beginLongRow(boolean holdsOneValue) throws PgException {
        advance(state == State.ROW_DESCRIBED && holdsOneValue, State.ROW_RECEIVED);
        return buffer.takeAll();
    }

    private void advance(boolean valid, State next) throws PgException {
        if (!valid) {
            throw new PgException("malformed or unexpected message after " + state);
        }
        state = next;
    }

    private static boolean describesOneColumn(byte[] body) throws PgException {
        return body.length > 2
                && body[0] == 0
                && body[1] == 1
                && CStrings.terminatorIndex(body, 2) + 1 + COLUMN_DESCRIPTION_BYTES == body.length;
    }

    /** Whether the body is a single string that is not empty. */
    private static boolean isOneText(byte[] body) throws PgException {
        return body.length > 1 && CStrings.terminatorIndex(body, 0) == body.length - 1;
    }

    // ---- The result. ----

    /** Whether ReadyForQuery has arrived, so that the connection can be reused. */
    public boolean ready() {
        return state == State.READY;
    }

    /** Whether the response is complete. */
    public boolean ended() {
        return ready() || (error != null && error.fatal());
    }

    /** SQLSTATE of the error, or null if none has arrived. */
    public String errorCode() {
        return error == null ? null : error.sqlState();
    }

    /** Memory of the buffered messages in bytes. */
    public int memoryBytes() {
        return buffer.memoryBytes();
    }

    /** Number of reports in the response that could not be parsed. */
    public int malformedReports() {
        return status.malformedReports();
    }

    /** Result of the attempt, once the response is complete or its connection has closed; called once. */
    public BackEnd.Result result() {
        Outcome outcome = outcome();
        return result(outcome, outcome == Outcome.OK ? buffer.takeAll() : null);
    }

    /** Result of a health check, whose row contains the load report; see {@link #result()}. */
    public BackEnd.Result healthCheckResult() {
        Outcome outcome = outcome();
        if (outcome == Outcome.OK) {
            status.acceptLoadReport(rowText());
        }
        return result(outcome, null);
    }

    private BackEnd.Result result(Outcome outcome, byte[] response) {
        return new BackEnd.Result(outcome, status.role(), status.positionUs(), status.loadReport(), response);
    }

    private Outcome outcome() {
        if (error != null) {
            return errorOutcome();
        }
        return ready() ? Outcome.OK : Outcome.RESET;
    }

    /** An error code proves nothing about the request's execution if the error interrupts a result. */
    private Outcome errorOutcome() {
        if (!errorIsWholeResponse) {
            return Outcome.ERROR;
        }
        return switch (error.sqlState()) {
            case SqlState.TOO_MANY_CONNECTIONS -> Outcome.REJECTED;
            case SqlState.READ_ONLY_SQL_TRANSACTION, SqlState.SNAPSHOT_TOO_OLD -> Outcome.WRONG_ROLE_OR_STALE;
            default -> Outcome.ERROR;
        };
    }

    private String rowText() {
        byte[] value = buffer.copyOfRange(rowFrom + MessageReader.ROW_HEADER_BYTES, rowTo);
        return new String(value, StandardCharsets.UTF_8);
    }
}
