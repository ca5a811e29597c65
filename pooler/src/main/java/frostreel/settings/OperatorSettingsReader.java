package frostreel.settings;

import frostreel.log.Logging;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.logging.Level;

/** Reads {@link OperatorSettings}, and collects the validation errors that the schema cannot express. */
final class OperatorSettingsReader {
    private static final int MAX_PORT = 65_535;
    private static final String WHITESPACE = "\\s+";

    private final Path path;
    private final String file;
    private final Optional<String> self;
    private final List<ValidationError> errors = new ArrayList<>();

    OperatorSettingsReader(Path path) {
        this(path, Optional.empty());
    }

    /** {@code self}: the name of the pooler that uses the settings. */
    OperatorSettingsReader(Path path, String self) {
        this(path, Optional.of(self));
    }

    private OperatorSettingsReader(Path path, Optional<String> self) {
        this.path = path;
        this.self = self;
        file = path.toString();
    }

    OperatorSettings read() throws InvalidFileException {
        XmlElement root = XmlFile.read(path, OperatorSettings.SCHEMA);
        Optional<XmlElement> log = root.optionalChild("log");
        OperatorSettings settings = new OperatorSettings(
                log.map(element -> Logging.Format.valueOf(upperCase(element, "format")))
                        .orElse(OperatorSettings.DEFAULT.logFormat()),
                log.map(element -> Level.parse(upperCase(element, "level")))
                        .orElse(OperatorSettings.DEFAULT.logLevel()),
                root.optionalChild("zones").map(this::readZones),
                root.optionalChild("cluster").map(this::readCluster));
        if (!errors.isEmpty()) {
            throw new InvalidFileException(errors);
        }
        return settings;
    }

    private static String upperCase(XmlElement element, String attribute) {
        return element.text(attribute).toUpperCase(Locale.ROOT);
    }

    private OperatorSettings.Zones readZones(XmlElement zones) {
        List<OperatorSettings.Tier> tiers = new ArrayList<>();
        Map<String, Integer> tierByZone = new HashMap<>();
        List<XmlElement> elements = zones.children("tier").toList();
        for (XmlElement element : elements) {
            int number = tiers.size() + 1;
            List<String> names = zoneNames(element);
            boolean isLast = number == elements.size();
            if (names.isEmpty() && !isLast) {
                errors.add(element.error(file, "zones", "only the last tier may omit its zones"));
            }
            reportOverlaps(element, names, number, tierByZone);
            tiers.add(new OperatorSettings.Tier(names, element.decimal("spill")));
        }
        return new OperatorSettings.Zones(tiers, (int) zones.integer("poolers"));
    }

    /** Adds an error for each zone that is already in an earlier tier or in this one. */
    private void reportOverlaps(XmlElement tier, List<String> names, int number, Map<String, Integer> tierByZone) {
        for (String name : names) {
            Integer other = tierByZone.putIfAbsent(name, number);
            if (other != null) {
                errors.add(tier.error(file, "zones", "zone '" + name + "' is already in tier " + other));
            }
        }
    }

    private static List<String> zoneNames(XmlElement tier) {
        return tier.has("zones") ? Arrays.asList(tier.text("zones").split(WHITESPACE)) : List.of();
    }

    private OperatorSettings.Cluster readCluster(XmlElement cluster) {
        Map<String, OperatorSettings.MemberAddress> members = new TreeMap<>();
        Set<String> names = new HashSet<>();
        Set<InetSocketAddress> usedAddresses = new HashSet<>();
        for (XmlElement pooler : cluster.children("pooler").toList()) {
            String name = pooler.text("name");
            // A member without a valid address is omitted; the error rejects the settings as a whole.
            readMemberAddress(pooler, usedAddresses).ifPresent(address -> members.put(name, address));
            if (!names.add(name)) {
                errors.add(pooler.error(file, "name", "duplicate pooler name '" + name + "'"));
            }
        }
        if (self.isPresent() && !names.contains(self.get())) {
            errors.add(cluster.error(file, "this pooler, '" + self.get() + "', is not a member of the cluster"));
        }
        return new OperatorSettings.Cluster(cluster.text("group"), cluster.integer("silentAfterMs"), members);
    }

    /** Returns the addresses of a member; empty, with an error added, if one of them is invalid. */
    private Optional<OperatorSettings.MemberAddress> readMemberAddress(
            XmlElement pooler, Set<InetSocketAddress> usedAddresses) {
        Optional<InetSocketAddress> advertised = readAddress(pooler, "at");
        Optional<InetSocketAddress> bind = pooler.has("bind") ? readAddress(pooler, "bind") : advertised;
        if (advertised.isPresent() && !usedAddresses.add(advertised.get())) {
            errors.add(pooler.error(file, "at", "address of another pooler: " + pooler.text("at")));
        }
        return advertised.flatMap(at -> bind.map(listen -> new OperatorSettings.MemberAddress(at, listen)));
    }

    /** Returns the address of one machine; empty, with an error added, for any other value. */
    @SuppressWarnings("StringSplitter") // The schema admits one colon only.
    private Optional<InetSocketAddress> readAddress(XmlElement pooler, String attribute) {
        String[] hostAndPort = pooler.text(attribute).split(":");
        try {
            // The schema admits no host names. Only an address with an octet over 255 is looked up, which fails.
            InetAddress host = InetAddress.getByName(hostAndPort[0]);
            int port = Integer.parseInt(hostAndPort[1]);
            if (port > 0 && port <= MAX_PORT && !host.isAnyLocalAddress()) {
                return Optional.of(new InetSocketAddress(host, port));
            }
            errors.add(pooler.error(
                    file, attribute, "not the address and port of one machine: " + pooler.text(attribute)));
        } catch (UnknownHostException e) {
            errors.add(pooler.error(file, attribute, e.getMessage()));
        }
        return Optional.empty();
    }
}
