package frostreel.settings;

import frostreel.log.Logging;
import frostreel.zones.ZoneSettings;
import java.net.URL;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;

/**
 * The operators' file, read and checked whole: it is taken with all that it says, or not at all.
 *
 * @param zones tiers by the names of zones, null where none are stated
 */
public record OperatorSettings(Logging.Format logFormat, Level logLevel, Zones zones) {
    /** Zones of equal preference, by name; empty for all that no tier names. */
    public record Tier(List<String> zones, double spill) {}

    public record Zones(List<Tier> tiers, int poolers) {}

    /** What holds where there is no file. */
    public static final OperatorSettings DEFAULT = new OperatorSettings(Logging.Format.TEXT, Level.INFO,
            null);
    /** The schema, for whoever writes such a file. */
    public static final URL SCHEMA = OperatorSettings.class.getResource("frostreel.xsd");

    public static OperatorSettings read(Path file) throws FaultyFileException {
        XmlElement root = XmlFile.read(file, SCHEMA);
        List<Fault> faults = new ArrayList<>();
        XmlElement zones = root.child("zones");
        XmlElement log = root.child("log");
        OperatorSettings read = new OperatorSettings(
                log == null ? DEFAULT.logFormat
                        : Logging.Format.valueOf(log.text("format").toUpperCase(Locale.ROOT)),
                log == null ? DEFAULT.logLevel : Level.parse(log.text("level").toUpperCase(Locale.ROOT)),
                zones == null ? null : zones(file.toString(), zones, faults));
        if (!faults.isEmpty()) {
            throw new FaultyFileException(faults);
        }
        return read;
    }

    private static Zones zones(String file, XmlElement zones, List<Fault> faults) {
        List<Tier> tiers = new ArrayList<>();
        Map<String, Integer> named = new HashMap<>();
        List<XmlElement> all = zones.all("tier").toList();
        for (int i = 0; i < all.size(); i++) {
            XmlElement tier = all.get(i);
            List<String> names = tier.has("zones") ? Arrays.asList(tier.text("zones").split("\\s+"))
                    : List.of();
            if (names.isEmpty() && i < all.size() - 1) {
                faults.add(tier.fault(file, "zones", "only the last tier may stand for all other zones"));
            }
            for (String name : names) {
                Integer before = named.putIfAbsent(name, i + 1);
                if (before != null) {
                    faults.add(tier.fault(file, "zones", "zone '" + name + "' stands in tier " + before
                            + " too"));
                }
            }
            tiers.add(new Tier(names, tier.number("spill")));
        }
        return new Zones(tiers, (int) zones.whole("poolers"));
    }

    /** Tiers as the decisions know them, by each zone's place among the platform's names. */
    public Optional<ZoneSettings> zonesFor(int own, List<Object> names) {
        return Optional.ofNullable(zones).map(z -> new ZoneSettings(own, z.tiers.stream().map(t ->
                new ZoneSettings.Tier(t.zones.stream().map(names::indexOf).filter(n -> n >= 0).toList(),
                        t.spill))
                .toList(), z.poolers));
    }
}
