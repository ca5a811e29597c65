package frostreel.pg;

import frostreel.request.BackEnd;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * What a server has answered so far to one query, or to the startup message; owns the bytes of the answer until it is
 * complete. Messages are accepted in the protocol's order and in their complete inner form alone: a damaged answer may
 * look much like a good one, and what is passed on has to be what the server made for this request.
 */
public final class Reply {
    /** How far the answer has come, by its last message. */
    private enum Part {
        STARTUP_SENT,
        AUTHENTICATED,
        QUERY_SENT,
        DESCRIBED,
        ROW,
        COMPLETE,
        ERROR,
        READY
    }

    /** The longest row that is buffered until it is complete: a value of 64 KiB with its header. */
    public static final int MAX_BUFFERED_ROW = (1 << 16) + MessageReader.ROW_HEADER_BYTES;
    /** The longest row that is streamed; one that claims to be longer is noise. */
    private static final int MAX_ROW = 1 << 24;

    private static final int MAX_OTHER_MESSAGE = 1 << 13;
    /** All messages of one answer together, as notices without end are no answer either. */
    private static final int MAX_ANSWER = MAX_BUFFERED_ROW + (1 << 16);
    /** What follows the name of a described column: table, number, type, length, modifier, format. */
    private static final int COLUMN_DESCRIPTION_BYTES = 18;

    private static final int INITIAL_ANSWER_BYTES = 256;
    private final ByteArrayOutputStream answer = new ByteArrayOutputStream(INITIAL_ANSWER_BYTES);
    private Part part;
    private int receivedBytes;
    private byte[] row;
    private String errorCode;
    private boolean errorIsWholeAnswer;
    private boolean fatal;
    private Router.Role role = Router.Role.UNKNOWN;
    private long positionUs;
    private Router.Report report;
    private int unreadableReports;

    private Reply(Part first) {
        part = first;
    }

    /** The answer to the startup message, of which nothing has come. */
    public static Reply toStartup() {
        return new Reply(Part.STARTUP_SENT);
    }

    /** The answer to a query, of which nothing has come. */
    public static Reply toQuery() {
        return new Reply(Part.QUERY_SENT);
    }

    /** The longest body of a server's message of this type; negative where there is none. */
    public static int maxLength(byte type) {
        return switch (type) {
            case MessageType.DATA_ROW -> MAX_ROW;
            case MessageType.READY_FOR_QUERY -> 1;
            case MessageType.AUTHENTICATION,
                    MessageType.BACKEND_KEY_DATA,
                    MessageType.PARAMETER_STATUS,
                    MessageType.ROW_DESCRIPTION,
                    MessageType.COMMAND_COMPLETE,
                    MessageType.ERROR_RESPONSE,
                    MessageType.NOTICE_RESPONSE,
                    MessageType.NOTIFICATION_RESPONSE -> MAX_OTHER_MESSAGE;
            default -> MessageReader.LengthLimit.NOT_ACCEPTED;
        };
    }

    /**
     * Takes the current message of the reader in.
     *
     * @throws PgException where it does not fit behind what came before
     */
    public void accept(MessageReader reader) throws PgException {
        receivedBytes += reader.length();
        if (receivedBytes > MAX_ANSWER) {
            throw new PgException("an answer of over " + MAX_ANSWER + " bytes");
        }
        switch (reader.type()) {
            case MessageType.ROW_DESCRIPTION -> {
                advance(part == Part.QUERY_SENT && describesOneColumn(reader.body()), Part.DESCRIBED);
                reader.copyTo(answer);
            }
            case MessageType.DATA_ROW -> {
                row = reader.body();
                advance(part == Part.DESCRIBED && holdsOneValue(row), Part.ROW);
                reader.copyTo(answer);
            }
            case MessageType.COMMAND_COMPLETE -> {
                byte[] tag = reader.body();
                advance(part == Part.ROW && tag.length > 1 && textEnd(tag, 0) == tag.length - 1, Part.COMPLETE);
                reader.copyTo(answer);
            }
            case MessageType.ERROR_RESPONSE -> {
                errorIsWholeAnswer = part == Part.QUERY_SENT || part == Part.STARTUP_SENT || part == Part.AUTHENTICATED;
                advance(part != Part.COMPLETE && part != Part.ERROR, Part.ERROR);
                readError(reader.body());
            }
            case MessageType.READY_FOR_QUERY ->
                advance(
                        (part == Part.AUTHENTICATED || part == Part.COMPLETE || part == Part.ERROR)
                                && reader.length() == 1
                                && reader.body()[0] == MessageType.NOT_IN_TRANSACTION,
                        Part.READY);
            case MessageType.AUTHENTICATION ->
                advance(
                        part == Part.STARTUP_SENT && reader.bodyInt(0) == MessageType.AUTHENTICATION_OK,
                        Part.AUTHENTICATED);
            case MessageType.BACKEND_KEY_DATA -> advance(part == Part.AUTHENTICATED, Part.AUTHENTICATED);
            case MessageType.PARAMETER_STATUS -> readParameter(reader.body());
            default -> {} // Notices and notifications.
        }
    }

    /**
     * Begins to stream a row that is too long to be buffered.
     *
     * @param holdsOneValue whether the row has the one column that was described
     * @return what came before it; only what comes after it will be in the result
     */
    public byte[] beginLongRow(boolean holdsOneValue) throws PgException {
        advance(part == Part.DESCRIBED && holdsOneValue, Part.ROW);
        byte[] before = answer.toByteArray();
        answer.reset();
        return before;
    }

    private void advance(boolean fits, Part next) throws PgException {
        if (!fits) {
            throw new PgException("a message that does not fit after " + part);
        }
        part = next;
    }

    private static boolean describesOneColumn(byte[] body) throws PgException {
        return body.length > 2
                && body[0] == 0
                && body[1] == 1
                && textEnd(body, 2) + 1 + COLUMN_DESCRIPTION_BYTES == body.length;
    }

    private static boolean holdsOneValue(byte[] body) {
        ByteBuffer row = ByteBuffer.wrap(body);
        return row.remaining() >= MessageReader.ROW_HEADER_BYTES
                && row.getShort() == 1
                && row.getInt() == row.remaining();
    }

    /** The offset of the zero byte that ends the text at {@code from}. */
    private static int textEnd(byte[] body, int from) throws PgException {
        for (int i = from; i < body.length; i++) {
            if (body[i] == 0) {
                return i;
            }
        }
        throw new PgException("a text without its end mark");
    }

    /** What a server reports of itself beside a value; an unreadable report is skipped, and the value is valid. */
    private void readParameter(byte[] body) {
        try {
            int end = textEnd(body, 0);
            String name = new String(body, 0, end, StandardCharsets.UTF_8);
            String value = new String(body, end + 1, textEnd(body, end + 1) - end - 1, StandardCharsets.UTF_8);
            switch (name) {
                case "role" ->
                    role = value.equals("primary")
                            ? Router.Role.PRIMARY
                            : value.equals("replica") ? Router.Role.REPLICA : Router.Role.UNKNOWN;
                case "applied_ms" -> positionUs = (long) (LoadReport.parseNumber(value) * 1000);
                case "load" -> report = LoadReport.parse(value);
                default -> {}
            }
        } catch (PgException e) {
            unreadableReports++;
        }
    }

    private void readError(byte[] body) throws PgException {
        int at = 0;
        while (at < body.length && body[at] != 0) {
            int end = textEnd(body, at);
            String value = new String(body, at + 1, end - at - 1, StandardCharsets.UTF_8);
            if (body[at] == ErrorField.SQLSTATE) {
                errorCode = value;
            } else if (body[at] == ErrorField.SEVERITY || body[at] == ErrorField.SEVERITY_NONLOCALIZED) {
                fatal |= value.equals("FATAL") || value.equals("PANIC");
            }
            at = end + 1;
        }
        if (errorCode == null || at != body.length - 1) {
            throw new PgException("an error that is not whole");
        }
    }

    /** Whether ReadyForQuery has come, so that the connection may be used again. */
    public boolean ready() {
        return part == Part.READY;
    }

    /** Whether nothing more is to come of this answer. */
    public boolean ended() {
        return ready() || fatal;
    }

    /** The SQLSTATE of an error, null while none has come. */
    public String errorCode() {
        return errorCode;
    }

    /** How many of the reports in it could not be read. */
    public int unreadableReports() {
        return unreadableReports;
    }

    /** How the attempt ended; {@code broken}: whether the connection ended before the answer did. */
    public BackEnd.Result result(boolean broken) {
        Outcome outcome;
        if (errorCode != null) {
            outcome = !errorIsWholeAnswer
                    ? Outcome.ERROR
                    : switch (errorCode) {
                        case SqlState.TOO_MANY_CONNECTIONS -> Outcome.REJECTED;
                        case SqlState.READ_ONLY_SQL_TRANSACTION, SqlState.SNAPSHOT_TOO_OLD ->
                            Outcome.WRONG_ROLE_OR_STALE;
                        default -> Outcome.ERROR;
                    };
        } else {
            outcome = broken || !ready() ? Outcome.RESET : Outcome.OK;
        }
        return new BackEnd.Result(
                outcome, role, positionUs, report, outcome == Outcome.OK ? answer.toByteArray() : null);
    }

    /** The same for a health check, whose row holds the load report. */
    public BackEnd.Result healthCheckResult(boolean broken) {
        BackEnd.Result result = result(broken);
        if (result.outcome() != Outcome.OK) {
            return result;
        }
        try {
            report = LoadReport.parse(new String(
                    row,
                    MessageReader.ROW_HEADER_BYTES,
                    row.length - MessageReader.ROW_HEADER_BYTES,
                    StandardCharsets.UTF_8));
        } catch (PgException e) {
            unreadableReports++;
        }
        return new BackEnd.Result(Outcome.OK, role, positionUs, report, null);
    }
}
