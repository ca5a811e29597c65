package frostreel.pg;

import frostreel.broker.BackEnd;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * What a server has answered so far to one query, or to the startup message; owns the row's bytes until
 * whole. Messages are taken in the protocol's order and whole inner form alone: a spoilt answer may look much
 * like a good one, and what is passed on has to be what the server made for this request.
 */
public final class Reply {
    private enum Part {
        CALLED,
        WELCOMED,
        ASKED,
        DESCRIBED,
        ROW,
        COMPLETE,
        ERROR,
        READY
    }

    /** The longest row that is held until it is whole: a value of 64 KiB with its head. */
    public static final int HELD_ROW = (1 << 16) + 6;
    /** The longest row that is passed on; what claims to be longer is noise. */
    private static final int MOST_ROW = 1 << 24;

    private static final int MOST_OTHER = 1 << 13;
    /** All messages of one answer together; notices without end are no answer either. */
    private static final int MOST_BYTES = HELD_ROW + (1 << 16);
    /** After its name, a described column has six numbers: table, place, type, length, modifier, format. */
    private static final int COLUMN_NUMBERS = 18;

    private final ByteArrayOutputStream rows = new ByteArrayOutputStream(256);
    private Part part;
    private int bytes;
    private byte[] row;
    private String errorCode;
    private boolean errorAlone;
    private boolean fatal;
    private Router.Role role = Router.Role.UNKNOWN;
    private long positionUs;
    private Router.Report report;
    private int unread;

    private Reply(Part first) {
        part = first;
    }

    public static Reply toStartup() {
        return new Reply(Part.CALLED);
    }

    public static Reply toQuery() {
        return new Reply(Part.ASKED);
    }

    /** The longest body of a server's message, by its type; negative where none has that type. */
    public static int longest(byte type) {
        return switch (type) {
            case 'D' -> MOST_ROW;
            case 'Z' -> 1;
            case 'T', 'C', 'S', 'E', 'R', 'N', 'K', 'A' -> MOST_OTHER;
            default -> -1;
        };
    }

    /** Takes one message in. */
    public void accept(MessageReader in) throws PgException {
        bytes += in.length();
        if (bytes > MOST_BYTES) {
            throw new PgException("an answer of over " + MOST_BYTES + " bytes");
        }
        switch (in.type()) {
            case 'T' -> {
                advance(part == Part.ASKED && describesOneColumn(in.body()), Part.DESCRIBED);
                in.copyTo(rows);
            }
            case 'D' -> {
                row = in.body();
                advance(part == Part.DESCRIBED && holdsOneValue(row), Part.ROW);
                in.copyTo(rows);
            }
            case 'C' -> {
                byte[] tag = in.body();
                advance(part == Part.ROW && tag.length > 1 && textEnd(tag, 0) == tag.length - 1, Part.COMPLETE);
                in.copyTo(rows);
            }
            case 'E' -> {
                errorAlone = part == Part.ASKED || part == Part.CALLED || part == Part.WELCOMED;
                advance(part != Part.COMPLETE && part != Part.ERROR, Part.ERROR);
                error(in.body());
            }
            case 'Z' ->
                advance(
                        (part == Part.WELCOMED || part == Part.COMPLETE || part == Part.ERROR)
                                && in.length() == 1
                                && in.body()[0] == 'I',
                        Part.READY);
            case 'R' -> advance(part == Part.CALLED && in.intOfBody(0) == 0, Part.WELCOMED);
            case 'K' -> advance(part == Part.WELCOMED, Part.WELCOMED);
            case 'S' -> parameter(in.body());
            default -> {} // Notices and notifications.
        }
    }

    /**
     * A row too long to be held comes next, and is passed on from here; what came before it is handed over,
     * and only what comes after it is kept.
     */
    public byte[] passRow(boolean holdsOneValue) throws PgException {
        advance(part == Part.DESCRIBED && holdsOneValue, Part.ROW);
        byte[] before = rows.toByteArray();
        rows.reset();
        return before;
    }

    private void advance(boolean proper, Part next) throws PgException {
        if (!proper) {
            throw new PgException("a message that does not fit after " + part);
        }
        part = next;
    }

    private static boolean describesOneColumn(byte[] body) throws PgException {
        return body.length > 2 && body[0] == 0 && body[1] == 1 && textEnd(body, 2) + 1 + COLUMN_NUMBERS == body.length;
    }

    private static boolean holdsOneValue(byte[] body) {
        ByteBuffer in = ByteBuffer.wrap(body);
        return in.remaining() >= 6 && in.getShort() == 1 && in.getInt() == in.remaining();
    }

    /** Text by text, each ended by a zero byte; the offset of the one that ends the text at {@code from}. */
    private static int textEnd(byte[] body, int from) throws PgException {
        for (int i = from; i < body.length; i++) {
            if (body[i] == 0) {
                return i;
            }
        }
        throw new PgException("a text without its end mark");
    }

    /** What a server tells of itself beside a value: unreadable, it is dropped, and the value stays good. */
    private void parameter(byte[] body) {
        try {
            int end = textEnd(body, 0);
            String name = new String(body, 0, end, StandardCharsets.UTF_8);
            String value = new String(body, end + 1, textEnd(body, end + 1) - end - 1, StandardCharsets.UTF_8);
            switch (name) {
                case "role" ->
                    role = value.equals("primary")
                            ? Router.Role.PRIMARY
                            : value.equals("replica") ? Router.Role.REPLICA : Router.Role.UNKNOWN;
                case "applied_ms" -> positionUs = (long) (LoadReport.number(value) * 1000);
                case "load" -> report = LoadReport.parse(value);
                default -> {}
            }
        } catch (PgException e) {
            unread++;
        }
    }

    private void error(byte[] body) throws PgException {
        int at = 0;
        while (at < body.length && body[at] != 0) {
            int end = textEnd(body, at);
            String value = new String(body, at + 1, end - at - 1, StandardCharsets.UTF_8);
            if (body[at] == 'C') {
                errorCode = value;
            } else if (body[at] == 'S' || body[at] == 'V') {
                fatal |= value.equals("FATAL") || value.equals("PANIC");
            }
            at = end + 1;
        }
        if (errorCode == null || at != body.length - 1) {
            throw new PgException("an error that is not whole");
        }
    }

    /** Whether the server has said ReadyForQuery: the connection is clean. */
    public boolean ready() {
        return part == Part.READY;
    }

    /** Whether nothing more is to come. */
    public boolean ended() {
        return ready() || fatal;
    }

    public String errorCode() {
        return errorCode;
    }

    /** How many words of the server on itself could not be read. */
    public int unread() {
        return unread;
    }

    /** What the answer means, by the protocol's table; {@code broken} where the connection ended first. */
    public BackEnd.Result result(boolean broken) {
        Outcome outcome;
        if (errorCode != null) {
            outcome = !errorAlone
                    ? Outcome.ERROR
                    : switch (errorCode) {
                        case "53300" -> Outcome.REJECTED;
                        case "25006", "72000" -> Outcome.WRONG_ROLE_OR_STALE;
                        default -> Outcome.ERROR;
                    };
        } else {
            outcome = broken || !ready() ? Outcome.RESET : Outcome.OK;
        }
        return new BackEnd.Result(outcome, role, positionUs, report, outcome == Outcome.OK ? rows.toByteArray() : null);
    }

    /** The same for a probe: the report stands in the row. */
    public BackEnd.Result probeResult(boolean broken) {
        BackEnd.Result r = result(broken);
        if (r.outcome() != Outcome.OK) {
            return r;
        }
        try {
            report = LoadReport.parse(new String(row, 6, row.length - 6, StandardCharsets.UTF_8));
        } catch (PgException e) {
            unread++;
        }
        return new BackEnd.Result(Outcome.OK, role, positionUs, report, null);
    }
}
