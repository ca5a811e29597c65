package frostreel.config;

import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import frostreel.wire.SettingsReader;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.json.JSONObject;

/** Reads a {@link Config} from the decoded file and the environment, which takes precedence over the file. */
final class ConfigReader {
    /** The default limit on open requests; higher values in a file are reduced to it. */
    private static final int MAX_OPEN_REQUESTS = 4096;

    /** The only valid value of {@code GW_FD}. */
    private static final String INHERITED_DESCRIPTOR = "0";
    /** The name of the folder for operators' commands in {@code TMPDIR}. */
    private static final String COMMAND_FOLDER = "frostreel-orders";

    private static final int HEX_RADIX = 16;

    private final JSONObject source;
    private final MessageFields file;
    private final Map<String, String> environment;

    ConfigReader(JSONObject source, Map<String, String> environment) {
        this.source = source;
        this.environment = environment;
        file = new MessageFields(source.toMap());
    }

    /** Reads the configuration, and reports only the first validation error in the order of the reads. */
    Config read() throws MalformedMessageException {
        int descriptors = descriptors();
        MessageFields options = file.object("settings");
        Router.Settings settings = SettingsReader.read(seed(), options);
        List<String> zones = names(options, "zones");
        List<String> machineTypes = names(options, "machineTypes");
        int maxOpenRequests = maxOpenRequests(options.object("caps"));
        EndpointList initialEndpoints = file.has("known")
                ? EndpointList.read(file.object("known").map(), zones, machineTypes)
                : EndpointList.EMPTY;
        boolean inheritsListener = inheritsListener();
        DescriptorBudget budget = DescriptorBudget.of(descriptors, inheritsListener);
        boolean hasAdmin = file.has("control") || isSet("GW_CONTROL");
        return new Config(
                text("name", "GW_NAME"),
                address("listen", "GW_LISTEN"),
                hasAdmin ? Optional.of(address("control", "GW_CONTROL")) : Optional.empty(),
                inheritsListener,
                hasAdmin ? commandFolder() : Optional.empty(),
                address("discovery", "GW_DISCOVERY"),
                budget.maxClients(),
                budget.expectedClients(),
                budget.maxServerConnections(),
                maxOpenRequests,
                initialEndpoints,
                zones,
                machineTypes,
                settings.withSocketLimits(budget.expectedClients()),
                source);
    }

    private int descriptors() throws MalformedMessageException {
        return (int) file.objectOrEmpty("limits")
                .integer(
                        "sockets",
                        DescriptorBudget.MIN_DESCRIPTORS,
                        DescriptorBudget.MAX_DESCRIPTORS,
                        DescriptorBudget.DEFAULT_DESCRIPTORS);
    }

    /** Returns a list of names, empty if the key is missing. A number is accepted as the name of its digits. */
    private static List<String> names(MessageFields options, String key) throws MalformedMessageException {
        return options.listOrEmpty(key).stream().map(String::valueOf).toList();
    }

    private static int maxOpenRequests(MessageFields caps) throws MalformedMessageException {
        long configured = caps.integer("maxOpen", 1, Integer.MAX_VALUE, MAX_OPEN_REQUESTS);
        return (int) Math.min(configured, MAX_OPEN_REQUESTS);
    }

    private boolean inheritsListener() throws MalformedMessageException {
        if (isSet("GW_FD") && !environment.get("GW_FD").equals(INHERITED_DESCRIPTOR)) {
            throw new MalformedMessageException("GW_FD must be 0: the listener can only be inherited as descriptor 0");
        }
        return isSet("GW_FD");
    }

    private Optional<Path> commandFolder() {
        String temporaryFolder = environment.get("TMPDIR");
        return temporaryFolder == null ? Optional.empty() : Optional.of(Path.of(temporaryFolder, COMMAND_FOLDER));
    }

    private long seed() throws MalformedMessageException {
        try {
            return file.has("seed") ? Long.parseUnsignedLong(file.text("seed"), HEX_RADIX) : 0;
        } catch (NumberFormatException e) {
            throw new MalformedMessageException("field 'seed' is not hexadecimal");
        }
    }

    private InetSocketAddress address(String key, String variable) throws MalformedMessageException {
        return NumericAddress.parse(text(key, variable), key);
    }

    private String text(String key, String variable) throws MalformedMessageException {
        return isSet(variable) ? environment.get(variable) : file.text(key);
    }

    private boolean isSet(String variable) {
        String value = environment.get(variable);
        return value != null && !value.isEmpty();
    }
}
