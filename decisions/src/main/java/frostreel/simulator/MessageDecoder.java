package frostreel.simulator;

import static frostreel.wire.NamedValue.named;

import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import frostreel.wire.NamedValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Decodes fields of the simulator's messages into {@link Router} values. */
final class MessageDecoder {
    private static final long NO_SESSION = -1;
    private static final int MAX_COUNT = 1 << 20;
    private static final int MAX_OUTCOME_CODE = 1000;
    /** Bit of a request's attributes by which the client marks a retry. */
    private static final long RETRY_FLAG = 2;
    /** A mark contains a role in its lowest two bits, and a position in milliseconds above them. */
    private static final int MARK_ROLE_BITS = 2;

    private static final long MARK_ROLE_MASK = (1 << MARK_ROLE_BITS) - 1;
    private static final long MARK_ROLE_PRIMARY = 1;
    private static final long MARK_ROLE_REPLICA = 2;
    private static final long MICROS_PER_MILLI = 1000;
    private static final double MICROS_PER_SECOND = 1e6;

    private static final List<NamedValue<Router.ListKind>> LIST_KIND = List.of(
            named("incr", Router.ListKind.CHANGES),
            named("total", Router.ListKind.FULL),
            named("warm_copy", Router.ListKind.CACHED),
            named("lost", Router.ListKind.FAILED));
    private static final List<NamedValue<Router.State>> MEMBER_STATE =
            List.of(named("U", Router.State.UP), named("L", Router.State.DRAINING), named("D", Router.State.GONE));

    private MessageDecoder() {}

    static Router.ListKind listKind(MessageFields message) throws MalformedMessageException {
        return message.oneOf("scope", LIST_KIND);
    }

    static List<Router.Member> members(MessageFields message) throws MalformedMessageException {
        List<Router.Member> members = new ArrayList<>();
        for (Object entry : message.list("membersList")) {
            members.add(member(entry));
        }
        return List.copyOf(members);
    }

    @SuppressWarnings("unchecked") // JSON objects have text keys only.
    private static Router.Member member(Object entry) throws MalformedMessageException {
        if (!(entry instanceof Map)) {
            throw new MalformedMessageException("field 'membersList' is not a list of objects");
        }
        MessageFields fields = new MessageFields((Map<String, Object>) entry);
        Router.State state = fields.oneOf("status", MEMBER_STATE, Router.State.UP);
        return new Router.Member(
                fields.text("member"),
                (int) fields.integer("site", 0, MAX_COUNT, 0),
                (int) fields.integer("hw", 0, MAX_COUNT, 0),
                (int) fields.integer("set", 0, Integer.MAX_VALUE, 0),
                fields.number("leads", 0) == 1,
                state,
                fields.number("scale", 1),
                fields.microsFromSeconds("cameUpS", Router.Member.NO_START_TIME));
    }

    static Router.Request request(MessageFields message, int classCount) throws MalformedMessageException {
        return new Router.Request(
                message.text("xid"),
                (int) message.integer("category", 0, classCount - 1, 0),
                message.integer("sess", 0, MessageFields.MAX_EXACT_INTEGER, NO_SESSION),
                (int) message.integer("clusterNo", 0, Integer.MAX_VALUE, 0),
                message.microsFromSeconds("expiresS"),
                Math.round(message.number("tokenAgeMs", 0) * MICROS_PER_MILLI),
                (message.integer("attrs", 0, MessageFields.MAX_EXACT_INTEGER, 0) & RETRY_FLAG) != 0);
    }

    static int attempt(MessageFields message) throws MalformedMessageException {
        return (int) message.integer("leg", 0, MAX_COUNT, 0);
    }

    static Outcome outcome(MessageFields message) throws MalformedMessageException {
        return switch ((int) message.integer("outcome", 0, MAX_OUTCOME_CODE, 0)) {
            case 0 -> Outcome.OK;
            case 1 -> Outcome.CANCELLED;
            case 4 -> Outcome.TIMEOUT;
            case 5 -> Outcome.WRONG_ROLE_OR_STALE;
            case 8 -> Outcome.REJECTED;
            case 9 -> Outcome.NOT_SENT;
            case 10 -> Outcome.RESET;
            case 13 -> Outcome.ERROR;
            case 14 -> Outcome.CONNECT_FAILED;
            default -> throw new MalformedMessageException("field 'outcome' is not a known outcome");
        };
    }

    /** The mark, which contains role and position, in a response; 0 if there is none. */
    static long mark(MessageFields message) throws MalformedMessageException {
        return message.integer("mark", 0, MessageFields.MAX_EXACT_INTEGER, 0);
    }

    static Router.Role markedRole(long mark) {
        long role = mark & MARK_ROLE_MASK;
        if (role == MARK_ROLE_PRIMARY) {
            return Router.Role.PRIMARY;
        }
        return role == MARK_ROLE_REPLICA ? Router.Role.REPLICA : Router.Role.UNKNOWN;
    }

    /** The position in a mark, or {@link Router#NO_POSITION}. */
    static long markedPositionUs(long mark, long baseTimeUs) {
        long positionMs = mark >> MARK_ROLE_BITS;
        return positionMs == 0 ? Router.NO_POSITION : baseTimeUs + positionMs * MICROS_PER_MILLI;
    }

    /** The load report in a message; null if there is none. */
    static Router.Report report(MessageFields message, long baseTimeUs, boolean reportsRole)
            throws MalformedMessageException {
        if (!message.has("healthInfo")) {
            return null;
        }
        MessageFields report = message.object("healthInfo");
        if (report.map().isEmpty()) {
            return null;
        }
        return new Router.Report(
                reportedPositionUs(report, baseTimeUs),
                reportsRole ? reportedRole(report) : Router.Role.UNKNOWN,
                report.number("load_share", Double.NaN),
                report.number("depth", Double.NaN),
                report.number("concurrent", Double.NaN));
    }

    private static long reportedPositionUs(MessageFields report, long baseTimeUs) throws MalformedMessageException {
        if (!report.has("x0")) {
            return Router.NO_POSITION;
        }
        return baseTimeUs + (long) Math.floor(report.number("x0") * MICROS_PER_SECOND);
    }

    private static Router.Role reportedRole(MessageFields report) throws MalformedMessageException {
        return report.number("x1", 0) == 1 ? Router.Role.PRIMARY : Router.Role.REPLICA;
    }
}
