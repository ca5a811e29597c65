package frostreel.simulator;

import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import frostreel.wire.SettingsReader;
import java.util.List;
import java.util.function.BiFunction;

/** One router of a simulation, and the conversion of its events from messages. */
final class SimulatedInstance {
    /** Creates routers; replaced in tests. */
    interface RouterFactory extends BiFunction<Router.Settings, Router.Actions, Router> {}

    private final Router router;
    /** Time to which positions in messages are relative. */
    private final long baseTimeUs;
    /** Whether load reports include the role of the member. */
    private final boolean reportsRole;

    private final int classCount;

    private SimulatedInstance(Router router, long baseTimeUs, boolean reportsRole, int classCount) {
        this.router = router;
        this.baseTimeUs = baseTimeUs;
        this.reportsRole = reportsRole;
        this.classCount = classCount;
    }

    /** Creates the router that a {@code Create} message describes. */
    static SimulatedInstance create(MessageFields message, Router.Actions actions, RouterFactory factory)
            throws MalformedMessageException {
        MessageFields options = message.object("options");
        MessageFields family = options.object("familyInfo");
        long baseTimeUs = family.microsFromSeconds("baseTimeS", 0);
        boolean reportsRole = reportsRole(options);
        long seed = message.integer("initSeed", -MessageFields.MAX_EXACT_INTEGER, Long.MAX_VALUE);
        Router.Settings settings = SettingsReader.read(seed, options);
        Router router = factory.apply(settings, actions);
        return new SimulatedInstance(
                router, baseTimeUs, reportsRole, settings.classes().size());
    }

    private static boolean reportsRole(MessageFields options) throws MalformedMessageException {
        if (!options.has("stats")) {
            return false;
        }
        MessageFields reports = options.object("stats");
        return reports.has("names") && reports.list("names").contains("x1");
    }

    void updateMembers(long nowUs, Router.ListKind kind, List<Router.Member> members) {
        router.onMembers(nowUs, kind, members);
    }

    /** Passes an event of any type other than an endpoint list to the router. */
    void event(String type, long nowUs, MessageFields message) throws MalformedMessageException {
        switch (type) {
            case "Ingress" -> router.onRequest(nowUs, MessageDecoder.request(message, classCount));
            case "Answer" -> endAttempt(nowUs, message);
            case "StatusBack" -> endHealthCheck(nowUs, message);
            case "Fired" -> router.onTimer(nowUs, message.text("ctx"));
            case "ClientGone" -> router.onClientDisconnected(nowUs, message.text("xid"));
            case "Accepted", "Datagram" -> {} // Not relevant to routing.
            default -> throw new MalformedMessageException("field 't': unknown message " + type);
        }
    }

    private void endAttempt(long nowUs, MessageFields message) throws MalformedMessageException {
        long mark = MessageDecoder.mark(message);
        router.onOutcome(
                nowUs,
                message.text("xid"),
                MessageDecoder.attempt(message),
                message.text("member"),
                MessageDecoder.outcome(message),
                message.isTrue("finished"),
                message.microsFromSeconds("waitTimeS", 0),
                MessageDecoder.markedRole(mark),
                MessageDecoder.markedPositionUs(mark, baseTimeUs),
                MessageDecoder.report(message, baseTimeUs, reportsRole));
    }

    private void endHealthCheck(long nowUs, MessageFields message) throws MalformedMessageException {
        router.onHealthCheck(
                nowUs,
                message.text("member"),
                MessageDecoder.outcome(message) == Router.Outcome.OK,
                message.microsFromSeconds("waitTimeS", 0),
                MessageDecoder.report(message, baseTimeUs, reportsRole));
    }
}
