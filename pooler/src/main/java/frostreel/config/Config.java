package frostreel.config;

import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import frostreel.wire.SettingsReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * All that the program is told at its start, read and checked here alone. Limits left out get the platform's
 * least: what the pooler must manage with anyway.
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress control,
        boolean inherits,
        Path orders,
        InetSocketAddress discovery,
        int maxClients,
        int usualClients,
        int maxServerConnections,
        int maxOpen,
        EndpointList known,
        List<Object> zones,
        List<Object> kinds,
        Router.Settings settings,
        JSONObject source) {
    private static final int DEFAULT_SOCKETS = 1024;
    /** Descriptors for the program itself: its jar, selectors, the listener, discovery, a margin. */
    private static final int OWN_SOCKETS = 64;
    /**
     * Of the rest, so much stays for clients beyond the usual ones; servers get what is left then, and no
     * less than the same part. Where servers are many, a pooler needs an idle connection to nearly each, and
     * fewer mean a handshake for every other request.
     */
    private static final int SPARE_PART = 4;

    private static final int DEFAULT_OPEN = 4096;
    /** The platform's word: for requests, clients hold at most this part of all descriptors. */
    private static final int USUAL_PART = 3;

    /**
     * Reads {@code GW_CONFIG} and, where they are set, {@code GW_NAME}, {@code GW_LISTEN}, {@code
     * GW_DISCOVERY}, {@code GW_CONTROL}. Where operators may not call, {@code control} is null, and so is
     * {@code orders}, the folder in which their orders outlast an end; where {@code GW_FD} says so, the
     * process {@code inherits} the clients' listening socket as descriptor 0.
     */
    public static Config load(Map<String, String> environment) throws ConfigException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        try {
            return parse(Files.readString(Path.of(file)), environment);
        } catch (IOException e) {
            throw new ConfigException("GW_CONFIG: cannot read " + file);
        }
    }

    /** Reads the file's text; what the environment says goes first. */
    public static Config parse(String text, Map<String, String> environment) throws ConfigException {
        try {
            return read(new JSONObject(text), environment);
        } catch (JSONException e) {
            throw new ConfigException("GW_CONFIG: not a JSON object: " + e.getMessage());
        } catch (MalformedMessageException e) {
            throw new ConfigException("GW_CONFIG: " + e.getMessage());
        }
    }

    /**
     * Reads the file anew while the program runs by {@code inForce}, of which it must have every key. The new
     * file names the new discovery; {@code GW_DISCOVERY} is as old as the start, and would name the one that
     * is being given up.
     */
    public static Config reload(Map<String, String> environment, Config inForce) throws ConfigException {
        Map<String, String> rest = new HashMap<>(environment);
        rest.remove("GW_DISCOVERY");
        return load(rest).inPlaceOf(inForce);
    }

    /** This, where it has every key of the one in force. */
    public Config inPlaceOf(Config inForce) throws ConfigException {
        String missing = ReloadCompatibility.missing(inForce.source, source);
        if (missing != null) {
            throw new ConfigException("GW_CONFIG: field '" + missing + "' is missing, which the file in force has");
        }
        return this;
    }

    /** Whether another configuration has its lists from the same place, and reads them the same way. */
    public boolean sameLists(Config other) {
        return discovery.equals(other.discovery) && zones.equals(other.zones) && kinds.equals(other.kinds);
    }

    private static Config read(JSONObject source, Map<String, String> environment) throws MalformedMessageException {
        MessageFields f = new MessageFields(source.toMap());
        MessageFields limits = f.has("limits") ? f.object("limits") : new MessageFields(Map.of());
        int descriptors = (int) limits.whole("sockets", 2 * OWN_SOCKETS, 1 << 20, DEFAULT_SOCKETS);
        int sockets = descriptors - OWN_SOCKETS;
        int usual = descriptors / USUAL_PART;
        int maxServers = Math.max(sockets / SPARE_PART, sockets - usual - sockets / SPARE_PART);
        MessageFields options = f.object("settings");
        Router.Settings settings = SettingsReader.read(seed(f), options).onSockets(usual);
        List<Object> zones = options.has("zones") ? options.list("zones") : List.of();
        List<Object> kinds = options.has("machineTypes") ? options.list("machineTypes") : List.of();
        MessageFields caps = options.object("caps");
        int maxOpen = (int) Math.min(caps.whole("maxOpen", 1, Integer.MAX_VALUE, DEFAULT_OPEN), DEFAULT_OPEN);
        EndpointList known = f.has("known")
                ? EndpointList.read(f.object("known").map(), zones, kinds)
                : new EndpointList(0, true, List.of());
        String inherited = environment.getOrDefault("GW_FD", "");
        if (!inherited.isEmpty() && !inherited.equals("0")) {
            throw new MalformedMessageException("GW_FD is not 0, the one descriptor by which a socket is taken over");
        }
        boolean inherits = !inherited.isEmpty();
        if (inherits) {
            maxServers = Math.min(maxServers, Math.max(1, (sockets - usual - OWN_SOCKETS) / 2));
        }
        String control = environment.get("GW_CONTROL");
        boolean called = f.has("control") || control != null && !control.isEmpty();
        return new Config(
                told(f, "name", environment, "GW_NAME"),
                EndpointList.address(told(f, "listen", environment, "GW_LISTEN"), "listen"),
                called ? EndpointList.address(told(f, "control", environment, "GW_CONTROL"), "control") : null,
                inherits,
                called && environment.get("TMPDIR") != null
                        ? Path.of(environment.get("TMPDIR"), "frostreel-orders")
                        : null,
                EndpointList.address(told(f, "discovery", environment, "GW_DISCOVERY"), "discovery"),
                sockets - maxServers,
                usual,
                maxServers,
                maxOpen,
                known,
                zones,
                kinds,
                settings,
                source);
    }

    /** The environment's word goes first. */
    private static String told(MessageFields f, String key, Map<String, String> environment, String variable)
            throws MalformedMessageException {
        String value = environment.get(variable);
        return value != null && !value.isEmpty() ? value : f.text(key);
    }

    private static long seed(MessageFields f) throws MalformedMessageException {
        try {
            return f.has("seed") ? Long.parseUnsignedLong(f.text("seed"), 16) : 0;
        } catch (NumberFormatException e) {
            throw new MalformedMessageException("field 'seed' is not hexadecimal");
        }
    }
}
