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
 * The platform's configuration of this process, validated as a whole.
 *
 * @param name the name of this pooler
 * @param listenAddress the address on which clients are accepted
 * @param adminAddress the address of the admin endpoint, empty if there is none
 * @param inheritsListener whether the listening socket for clients is inherited as descriptor 0
 * @param commandFolder the folder in which operators' commands are stored across restarts, empty if they are not
 * @param discoveryAddress the address of the discovery agent
 * @param maxClients the limit on client connections
 * @param expectedClients the highest number of client connections that the platform expects
 * @param maxServerConnections the limit on connections to servers
 * @param maxOpenRequests the limit on requests without a final response
 * @param initialEndpoints the servers known at the start, possibly none
 * @param zones names of the zones, in the order of their numbers
 * @param machineTypes names of the machine types, in the order of their numbers
 * @param settings the settings of the routing decisions
 * @param source the JSON object in the file
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
     * Reads the file that {@code GW_CONFIG} names. If set, {@code GW_NAME}, {@code GW_LISTEN}, {@code GW_DISCOVERY}
     * and {@code GW_CONTROL} take precedence over the file. If {@code GW_FD} is set, the listener is inherited. Blocks.
     *
     * @throws ConfigException naming the key that is missing or invalid
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

    /** As {@link #load}, from the content of the file. */
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
     * ignored, as the environment does not change after the start and would name the previous agent.
     *
     * @throws ConfigException naming the key that is missing or invalid
     */
    public static Config reload(Map<String, String> environment, Config inForce) throws ConfigException {
        Map<String, String> current = new HashMap<>(environment);
        current.remove("GW_DISCOVERY");
        return load(current).requireKeysOf(inForce);
    }

    /**
     * Returns this configuration if it has every key of the one in force, which it may then replace.
     *
     * @throws ConfigException naming the first missing key
     */
    public Config requireKeysOf(Config inForce) throws ConfigException {
        Optional<String> missing = ReloadCompatibility.firstMissingKey(inForce.source, source);
        if (missing.isPresent()) {
            throw new ConfigException(
                    "GW_CONFIG: field '" + missing.get() + "' is missing, but the configuration in force has it");
        }
        return this;
    }

    /** Returns a copy with other settings of the routing decisions. */
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

    /** Returns whether endpoint lists come from the same agent and are decoded with the same names. */
    public boolean hasSameDiscovery(Config other) {
        return discoveryAddress.equals(other.discoveryAddress)
                && zones.equals(other.zones)
                && machineTypes.equals(other.machineTypes);
    }
}
