package frostreel.config;

import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A list of servers, whole or only what changed, in discovery's form. */
public record EndpointList(long version, boolean complete, List<Endpoint> endpoints) {
    /** A server as the decisions see it, and the address at which this machine reaches it. */
    public record Endpoint(Router.Member member, InetSocketAddress address) {}

    private static final int IPV4_BYTES = 4;

    /**
     * Zones and kinds are told by name, and known to the decisions by their place among the settings' names.
     */
    @SuppressWarnings("unchecked")
    public static EndpointList read(Map<String, Object> json, List<Object> zones, List<Object> machineTypes) throws MalformedMessageException {
        MessageFields list = new MessageFields(json);
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object element : list.list("hosts")) {
            if (!(element instanceof Map)) {
                throw new MalformedMessageException("field 'hosts' is not a list of objects");
            }
            MessageFields host = new MessageFields((Map<String, Object>) element);
            Router.State state = new Router.State[] {Router.State.UP, Router.State.DRAINING, Router.State.GONE}
                    [host.oneOf("health", "Ready", "Terminating", "Gone")];
            Router.Member member = new Router.Member(
                    host.text("host"),
                    Math.max(0, zones.indexOf(host.map().get("site"))),
                    Math.max(0, machineTypes.indexOf(host.map().get("class"))),
                    (int) host.whole("block", 0, Integer.MAX_VALUE, 0),
                    host.has("role") && host.oneOf("role", "primary", "replica") == 0,
                    state,
                    host.number("share", 1),
                    host.whole("born_ms", 0, Long.MAX_VALUE / 1000, 0) * 1000);
            endpoints.add(new Endpoint(member, address(host.text("dial"), "dial")));
        }
        return new EndpointList(list.whole("seq", 0, Long.MAX_VALUE, 0), list.flag("whole"), List.copyOf(endpoints));
    }

    /**
     * Reads {@code address:port}. The address must be a number: lists are read on the I/O thread, and a name
     * would be looked up there.
     */
    public static InetSocketAddress address(String text, String key) throws MalformedMessageException {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port < 1 << 16) {
                return new InetSocketAddress(numeric(text.substring(0, colon)), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            // Told below.
        }
        throw new MalformedMessageException("field '" + key + "' is not address:port");
    }

    /** Four decimal octets, or what the JDK takes between brackets; neither is ever looked up. */
    private static InetAddress numeric(String text) throws UnknownHostException {
        if (text.indexOf(':') >= 0) {
            return InetAddress.getByName(text.startsWith("[") ? text : "[" + text + "]");
        }
        String[] parts = text.split("\\.", -1);
        byte[] octets = new byte[IPV4_BYTES];
        if (parts.length != IPV4_BYTES) {
            throw new UnknownHostException(text);
        }
        for (int i = 0; i < IPV4_BYTES; i++) {
            int octet = Integer.parseInt(parts[i]);
            if (octet < 0 || octet > 255) {
                throw new UnknownHostException(text);
            }
            octets[i] = (byte) octet;
        }
        return InetAddress.getByAddress(octets);
    }
}
