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
        InetSocketAddress listenAddress,
        InetSocketAddress adminAddress,
        boolean inheritsListener,
        Path commandFolder,
        InetSocketAddress discoveryAddress,
        int maxClients,
        int expectedClients,
        int maxServerConnections,
        int maxOpenRequests,
        EndpointList initialEndpoints,
        List<Object> zones,
        List<Object> machineTypes,
        Router.Settings settings,
        JSONObject source) {
    private static final int DEFAULT_DESCRIPTORS = 1024;
    /** Descriptors for the program itself: its jar, selectors, the listener, discovery, a margin. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /**
     * Of the rest, so much stays for clients beyond the usual ones; servers get what is left then, and no
     * less than the same part. Where servers are many, a pooler needs an idle connection to nearly each, and
     * fewer mean a handshake for every other request.
     */
    private static final int SPARE_DIVISOR = 4;

    private static final int MAX_OPEN_REQUESTS = 4096;
    /** The platform's word: for requests, clients hold at most this part of all descriptors. */
    private static final int EXPECTED_CLIENTS_DIVISOR = 3;

    /**
     * Reads {@code GW_CONFIG} and, where they are set, {@code GW_NAME}, {@code GW_LISTEN}, {@code
     * GW_DISCOVERY}, {@code GW_CONTROL}. Where operators may not call, {@code control} is null, and so is
     * {@code orders}, the folder in which their orders outlast an end; where {@code GW_FD} says so, the
     * process {@code inherits} the clients' listening socket as descriptor 0.
     */
    public static Config load(Map<String, String> environment) throws ConfigException {
        String path = environment.get("GW_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new ConfigException("GW_CONFIG is not set");
        }
        try {
            return parse(Files.readString(Path.of(path)), environment);
        } catch (IOException e) {
            throw new ConfigException("GW_CONFIG: cannot read " + path);
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
        return load(rest).replacing(inForce);
    }

    /** This, where it has every key of the one in force. */
    public Config replacing(Config inForce) throws ConfigException {
        String missing = ReloadCompatibility.firstMissingKey(inForce.source, source);
        if (missing != null) {
            throw new ConfigException("GW_CONFIG: field '" + missing + "' is missing, which the file in force has");
        }
        return this;
    }

    /** Whether another configuration has its lists from the same place, and reads them the same way. */
    public boolean hasSameDiscovery(Config other) {
        return discoveryAddress.equals(other.discoveryAddress) && zones.equals(other.zones) && machineTypes.equals(other.machineTypes);
    }

    private static Config read(JSONObject source, Map<String, String> environment) throws MalformedMessageException {
        MessageFields file = new MessageFields(source.toMap());
        MessageFields limits = file.has("limits") ? file.object("limits") : new MessageFields(Map.of());
        int descriptors = (int) limits.whole("sockets", 2 * RESERVED_DESCRIPTORS, 1 << 20, DEFAULT_DESCRIPTORS);
        int available = descriptors - RESERVED_DESCRIPTORS;
        int expectedClients = descriptors / EXPECTED_CLIENTS_DIVISOR;
        int maxServers = Math.max(available / SPARE_DIVISOR, available - expectedClients - available / SPARE_DIVISOR);
        MessageFields options = file.object("settings");
        Router.Settings settings = SettingsReader.read(seed(file), options).onSockets(expectedClients);
        List<Object> zones = options.has("zones") ? options.list("zones") : List.of();
        List<Object> machineTypes = options.has("machineTypes") ? options.list("machineTypes") : List.of();
        MessageFields caps = options.object("caps");
        int maxOpenRequests = (int) Math.min(caps.whole("maxOpen", 1, Integer.MAX_VALUE, MAX_OPEN_REQUESTS), MAX_OPEN_REQUESTS);
        EndpointList initialEndpoints = file.has("known")
                ? EndpointList.read(file.object("known").map(), zones, machineTypes)
                : new EndpointList(0, true, List.of());
        String inherited = environment.getOrDefault("GW_FD", "");
        if (!inherited.isEmpty() && !inherited.equals("0")) {
            throw new MalformedMessageException("GW_FD is not 0, the one descriptor by which a socket is taken over");
        }
        boolean inheritsListener = !inherited.isEmpty();
        if (inheritsListener) {
            maxServers = Math.min(maxServers, Math.max(1, (available - expectedClients - RESERVED_DESCRIPTORS) / 2));
        }
        String control = environment.get("GW_CONTROL");
        boolean hasAdmin = file.has("control") || control != null && !control.isEmpty();
        return new Config(
                text(file, "name", environment, "GW_NAME"),
                EndpointList.address(text(file, "listen", environment, "GW_LISTEN"), "listen"),
                hasAdmin ? EndpointList.address(text(file, "control", environment, "GW_CONTROL"), "control") : null,
                inheritsListener,
                hasAdmin && environment.get("TMPDIR") != null
                        ? Path.of(environment.get("TMPDIR"), "frostreel-orders")
                        : null,
                EndpointList.address(text(file, "discovery", environment, "GW_DISCOVERY"), "discovery"),
                available - maxServers,
                expectedClients,
                maxServers,
                maxOpenRequests,
                initialEndpoints,
                zones,
                machineTypes,
                settings,
                source);
    }

    /** The environment's word goes first. */
    private static String text(MessageFields file, String key, Map<String, String> environment, String variable)
            throws MalformedMessageException {
        String value = environment.get(variable);
        return value != null && !value.isEmpty() ? value : file.text(key);
    }

    private static long seed(MessageFields file) throws MalformedMessageException {
        try {
            return file.has("seed") ? Long.parseUnsignedLong(file.text("seed"), 16) : 0;
        } catch (NumberFormatException e) {
            throw new MalformedMessageException("field 'seed' is not hexadecimal");
        }
    }
}
