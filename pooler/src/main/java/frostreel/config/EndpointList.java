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
 * An endpoint list, or an update of one, as discovery reports it in JSON.
 *
 * @param version increases with each change; comparable only between lists of the same agent
 * @param complete whether it replaces the previous list; otherwise it contains only the servers that have changed
 * @param endpoints the servers, including those marked as gone
 */
public record EndpointList(long version, boolean complete, List<Endpoint> endpoints) {
    /** A server: the member that routing decisions refer to, and the address to connect to. */
    public record Endpoint(Router.Member member, InetSocketAddress address) {}

    /** A complete list without servers, used if the configuration has no list. */
    static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    private static final long MICROS_PER_MILLI = 1000;
    /** The latest start time in milliseconds that can be converted to microseconds without overflow. */
    private static final long MAX_STARTED_MS = Long.MAX_VALUE / MICROS_PER_MILLI;

    private static final List<NamedValue<Boolean>> ROLES = List.of(named("primary", true), named("replica", false));
    private static final List<NamedValue<Router.State>> STATES = List.of(
            named("Ready", Router.State.UP),
            named("Terminating", Router.State.DRAINING),
            named("Gone", Router.State.GONE));

    /**
     * Reads a decoded list. Zones and machine types, which the list contains by name, are converted to the index of
     * the name in the configuration. A name that is not configured is given index 0, as the first one is.
     *
     * @throws MalformedMessageException naming the field that is missing or invalid
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

    /** Returns the index of the field's value in {@code names}; 0 if the field is missing or the value is not in it. */
    private static int indexOfName(List<String> names, MessageFields host, String key) {
        return host.has(key) ? Math.max(0, names.indexOf(host.map().get(key).toString())) : 0;
    }
}
