package frostreel.config;

import static frostreel.wire.NamedValue.named;

import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import frostreel.wire.NamedValue;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A list of servers in discovery's JSON form.
 *
 * @param version grows with each change; comparable only among lists of the same agent
 * @param complete whether it replaces the list held; otherwise it holds only the servers that have changed
 * @param endpoints the servers, including those marked as gone
 */
public record EndpointList(long version, boolean complete, List<Endpoint> endpoints) {
    /** A server as the routing decisions know it, and the address at which this machine reaches it. */
    public record Endpoint(Router.Member member, InetSocketAddress address) {}

    /** Complete and without servers, for a configuration that has no list. */
    static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    private static final long MICROS_PER_MILLI = 1000;
    /** A start time in milliseconds may not exceed what fits in microseconds. */
    private static final long MAX_STARTED_MS = Long.MAX_VALUE / MICROS_PER_MILLI;

    private static final List<NamedValue<Boolean>> ROLES = List.of(named("primary", true), named("replica", false));
    private static final List<NamedValue<Router.State>> STATES = List.of(
            named("Ready", Router.State.UP),
            named("Terminating", Router.State.DRAINING),
            named("Gone", Router.State.GONE));

    /**
     * Reads a decoded list. It states zones and machine types by name; the routing decisions know them by the
     * index among the configured names. A name that is not configured has the index of the first one.
     *
     * @throws MalformedMessageException naming the field that is missing or out of range
     */
    public static EndpointList read(Map<String, Object> json, List<String> zones, List<String> machineTypes)
            throws MalformedMessageException {
        MessageFields list = new MessageFields(json);
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object host : list.list("hosts")) {
            endpoints.add(endpoint(host, zones, machineTypes));
        }
        return new EndpointList(
                list.integer("seq", 0, Long.MAX_VALUE, 0), list.isTrue("whole"), List.copyOf(endpoints));
    }

    @SuppressWarnings("unchecked") // The keys of a decoded JSON object are strings.
    private static Endpoint endpoint(Object json, List<String> zones, List<String> machineTypes)
            throws MalformedMessageException {
        if (!(json instanceof Map)) {
            throw new MalformedMessageException("field 'hosts' is not a list of objects");
        }
        MessageFields host = new MessageFields((Map<String, Object>) json);
        Router.State state = host.oneOf("health", STATES);
        Router.Member member = new Router.Member(
                host.text("host"),
                indexOfName(zones, host, "site"),
                indexOfName(machineTypes, host, "class"),
                (int) host.integer("block", 0, Integer.MAX_VALUE, 0),
                host.oneOf("role", ROLES, false),
                state,
                host.number("share", 1),
                host.integer("born_ms", 0, MAX_STARTED_MS, 0) * MICROS_PER_MILLI);
        return new Endpoint(member, NumericAddress.parse(host.text("dial"), "dial"));
    }

    /** The index among {@code names} of the field's value, 0 where it is missing or not configured. */
    private static int indexOfName(List<String> names, MessageFields host, String key) {
        return host.has(key) ? Math.max(0, names.indexOf(host.map().get(key).toString())) : 0;
    }
}
