package frostreel.settings;

import frostreel.log.Logging;
import frostreel.zones.ZoneSettings;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URL;
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

/**
 * The operators' file, read and checked whole: it is taken with all that it says, or not at all.
 *
 * @param zones tiers by the names of zones, null where none are stated
 * @param cluster the poolers that see each other, null where none do
 */
public record OperatorSettings(Logging.Format logFormat, Level logLevel, Zones zones, Cluster cluster) {
    /** Zones of equal preference, by name; empty for all that no tier names. */
    public record Tier(List<String> zones, double spill) {}

    public record Zones(List<Tier> tiers, int poolers) {}

    /** Where the others reach a pooler, and where it listens for them. */
    public record MemberAddress(InetSocketAddress advertised, InetSocketAddress bind) {}

    /** Stations by the names of poolers. */
    public record Cluster(String group, long silentAfterMs, Map<String, MemberAddress> members) {}

    private static final int MAX_PORT = 65_535;
    /** What holds where there is no file. */
    public static final OperatorSettings DEFAULT = new OperatorSettings(Logging.Format.TEXT, Level.INFO, null, null);
    /** The schema, for whoever writes such a file. */
    public static final URL SCHEMA = OperatorSettings.class.getResource("frostreel.xsd");

    public static OperatorSettings read(Path file) throws FaultyFileException {
        return read(file, null);
    }

    /** As {@code self}, the name of the pooler that is to act by it; null for a look at the file alone. */
    public static OperatorSettings read(Path file, String self) throws FaultyFileException {
        XmlElement root = XmlFile.read(file, SCHEMA);
        List<Fault> faults = new ArrayList<>();
        XmlElement zones = root.child("zones");
        XmlElement cluster = root.child("cluster");
        XmlElement log = root.child("log");
        OperatorSettings read = new OperatorSettings(
                log == null
                        ? DEFAULT.logFormat
                        : Logging.Format.valueOf(log.text("format").toUpperCase(Locale.ROOT)),
                log == null ? DEFAULT.logLevel : Level.parse(log.text("level").toUpperCase(Locale.ROOT)),
                zones == null ? null : zones(file.toString(), zones, faults),
                cluster == null ? null : cluster(file.toString(), cluster, self, faults));
        if (!faults.isEmpty()) {
            throw new FaultyFileException(faults);
        }
        return read;
    }

    private static Zones zones(String file, XmlElement zones, List<Fault> faults) {
        List<Tier> tiers = new ArrayList<>();
        Map<String, Integer> named = new HashMap<>();
        List<XmlElement> all = zones.children("tier").toList();
        for (int i = 0; i < all.size(); i++) {
            XmlElement tier = all.get(i);
            List<String> names =
                    tier.has("zones") ? Arrays.asList(tier.text("zones").split("\\s+")) : List.of();
            if (names.isEmpty() && i < all.size() - 1) {
                faults.add(tier.fault(file, "zones", "only the last tier may stand for all other zones"));
            }
            for (String name : names) {
                Integer before = named.putIfAbsent(name, i + 1);
                if (before != null) {
                    faults.add(tier.fault(file, "zones", "zone '" + name + "' stands in tier " + before + " too"));
                }
            }
            tiers.add(new Tier(names, tier.number("spill")));
        }
        return new Zones(tiers, (int) zones.whole("poolers"));
    }

    private static Cluster cluster(String file, XmlElement cluster, String self, List<Fault> faults) {
        Map<String, MemberAddress> members = new TreeMap<>();
        Set<InetSocketAddress> taken = new HashSet<>();
        for (XmlElement pooler : cluster.children("pooler").toList()) {
            InetSocketAddress advertised = address(file, pooler, "at", faults);
            InetSocketAddress bind = pooler.has("bind") ? address(file, pooler, "bind", faults) : advertised;
            if (advertised != null && !taken.add(advertised)) {
                faults.add(pooler.fault(file, "at", "another pooler is at " + pooler.text("at")));
            }
            if (members.put(pooler.text("name"), new MemberAddress(advertised, bind)) != null) {
                faults.add(pooler.fault(file, "name", "'" + pooler.text("name") + "' is named twice"));
            }
        }
        if (self != null && !members.containsKey(self)) {
            faults.add(cluster.fault(file, null, "this pooler, '" + self + "', is not among them"));
        }
        return new Cluster(cluster.text("group"), cluster.whole("silentAfterMs"), members);
    }

    /** One address of one machine; null, and a fault, for any other. */
    private static InetSocketAddress address(String file, XmlElement pooler, String key, List<Fault> faults) {
        String[] parts = pooler.text(key).split(":");
        try {
            InetAddress host = InetAddress.getByName(parts[0]); // Digits alone: no name is looked up.
            int port = Integer.parseInt(parts[1]);
            if (port > 0 && port <= MAX_PORT && !host.isAnyLocalAddress()) {
                return new InetSocketAddress(host, port);
            }
            faults.add(pooler.fault(file, key, "not the address of one machine: " + pooler.text(key)));
        } catch (UnknownHostException e) {
            faults.add(pooler.fault(file, key, e.getMessage()));
        }
        return null;
    }

    /** Tiers as the decisions know them, by each zone's place among the platform's names. */
    public Optional<ZoneSettings> zoneSettings(int own, List<Object> names) {
        return Optional.ofNullable(zones)
                .map(stated -> new ZoneSettings(
                        own,
                        stated.tiers.stream()
                                .map(tier -> new ZoneSettings.Tier(
                                        tier.zones.stream()
                                                .map(names::indexOf)
                                                .filter(number -> number >= 0)
                                                .toList(),
                                        tier.spill))
                                .toList(),
                        stated.poolers));
    }
}
