package frostreel.config;

import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * The platform's configuration of this process, checked as a whole. A limit that the file leaves out has the
 * lowest value that the platform grants.
 *
 * @param name of this pooler
 * @param listenAddress for clients
 * @param adminAddress of the admin endpoint, empty for none
 * @param inheritsListener whether the clients' listening socket is inherited as descriptor 0
 * @param commandFolder where operators' commands outlast the process, empty where they do not
 * @param discoveryAddress of the discovery agent
 * @param maxClients limit on client connections
 * @param expectedClients how many client connections the platform expects at most
 * @param maxServerConnections limit on connections to servers
 * @param maxOpenRequests limit on requests being processed
 * @param initialEndpoints the servers known from the start, possibly none
 * @param zones names of the zones, in the order of their numbers
 * @param machineTypes names of the machine types, in the order of their numbers
 * @param settings of the routing decisions
 * @param source the file as it was read
 */
public record Config(
        String name,
        InetSocketAddress listenAddress,
        Optional<InetSocketAddress> adminAddress,
        boolean inheritsListener,
        Optional<Path> commandFolder,
        InetSocketAddress discoveryAddress,
        int maxClients,
        int expectedClients,
        int maxServerConnections,
        int maxOpenRequests,
        EndpointList initialEndpoints,
        List<String> zones,
        List<String> machineTypes,
        Router.Settings settings,
        JSONObject source) {

    /**
     * Reads the file that {@code GW_CONFIG} names. {@code GW_NAME}, {@code GW_LISTEN}, {@code GW_DISCOVERY}
     * and {@code GW_CONTROL} take precedence over it where they are set; {@code GW_FD} says that the listener
     * is inherited. Blocks.
     *
     * @throws ConfigException naming the key that is missing or wrong
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

    /** As {@link #load}, from the text of the file. */
    public static Config parse(String text, Map<String, String> environment) throws ConfigException {
        try {
            return new ConfigReader(new JSONObject(text), environment).read();
        } catch (JSONException e) {
            throw new ConfigException("GW_CONFIG: not a JSON object: " + e.getMessage());
        } catch (MalformedMessageException e) {
            throw new ConfigException("GW_CONFIG: " + e.getMessage());
        }
    }

    /**
     * Reads the file again, which must have every key of the configuration in force. {@code GW_DISCOVERY} is
     * ignored: it is as old as the process, and would name the agent that is being replaced.
     *
     * @throws ConfigException naming the key that is missing or wrong
     */
    public static Config reload(Map<String, String> environment, Config inForce) throws ConfigException {
        Map<String, String> current = new HashMap<>(environment);
        current.remove("GW_DISCOVERY");
        return load(current).requireKeysOf(inForce);
    }

    /**
     * This configuration, if it may replace the one in force.
     *
     * @throws ConfigException naming the first key that it lacks
     */
    public Config requireKeysOf(Config inForce) throws ConfigException {
        Optional<String> missing = ReloadCompatibility.firstMissingKey(inForce.source, source);
        if (missing.isPresent()) {
            throw new ConfigException(
                    "GW_CONFIG: field '" + missing.get() + "' is missing, which the file in force has");
        }
        return this;
    }

    /** This configuration with other settings of the routing decisions. */
    public Config withSettings(Router.Settings replacement) {
        return new Config(
                name,
                listenAddress,
                adminAddress,
                inheritsListener,
                commandFolder,
                discoveryAddress,
                maxClients,
                expectedClients,
                maxServerConnections,
                maxOpenRequests,
                initialEndpoints,
                zones,
                machineTypes,
                replacement,
                source);
    }

    /** Whether endpoint lists come from the same agent and are read the same way. */
    public boolean hasSameDiscovery(Config other) {
        return discoveryAddress.equals(other.discoveryAddress)
                && zones.equals(other.zones)
                && machineTypes.equals(other.machineTypes);
    }
}
