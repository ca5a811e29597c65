package frostreel.settings;

import frostreel.log.Logging;
import frostreel.zones.ZoneSettings;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Level;

/**
 * The settings in the operators' file, which is applied as a whole or not at all.
 *
 * @param logFormat of the lines on standard error
 * @param logLevel the lowest level that is logged
 * @param zones preferences among zones, if any are stated
 * @param cluster the cluster of poolers, if one is stated
 */
public record OperatorSettings(
        Logging.Format logFormat, Level logLevel, Optional<Zones> zones, Optional<Cluster> cluster) {
    /**
     * Zones of equal preference.
     *
     * @param zones their names; empty for all that no other tier names
     * @param spill the load that may spill over to them, as a share of what the nearest tier usually serves
     */
    public record Tier(List<String> zones, double spill) {}

    /**
     * Preferences among zones.
     *
     * @param tiers the zones other than the pooler's own, nearest first
     * @param poolers how many there are in all zones together
     */
    public record Zones(List<Tier> tiers, int poolers) {}

    /**
     * The addresses of a cluster member.
     *
     * @param advertised where the other members reach it
     * @param bind where it listens for them
     */
    public record MemberAddress(InetSocketAddress advertised, InetSocketAddress bind) {}

    /**
     * The cluster of poolers.
     *
     * @param group poolers of other groups are ignored
     * @param silentAfterMs a member without a heartbeat for this time is suspected
     * @param members addresses by pooler name
     */
    public record Cluster(String group, long silentAfterMs, Map<String, MemberAddress> members) {}

    /** In force where there is no file. */
    public static final OperatorSettings DEFAULT =
            new OperatorSettings(Logging.Format.TEXT, Level.INFO, Optional.empty(), Optional.empty());
    /** The schema of the file. */
    public static final URL SCHEMA = OperatorSettings.class.getResource("frostreel.xsd");

    /**
     * Reads a file without applying it to a pooler. Blocks.
     *
     * @throws InvalidFileException with all faults of the file
     */
    public static OperatorSettings read(Path file) throws InvalidFileException {
        return new OperatorSettingsReader(file).read();
    }

    /**
     * Reads a file for the pooler of a name, which must be a member of the cluster if one is stated. Blocks.
     *
     * @throws InvalidFileException with all faults of the file
     */
    public static OperatorSettings read(Path file, String self) throws InvalidFileException {
        return new OperatorSettingsReader(file, self).read();
    }

    /**
     * The preferences among zones by the zones' numbers, where any are stated.
     *
     * @param localZone number of the pooler's own zone
     * @param zoneNames names of the zones, in the order of their numbers; tiers' names that are not among
     *     them are left out
     */
    public Optional<ZoneSettings> zoneSettings(int localZone, List<String> zoneNames) {
        return zones.map(preferences -> new ZoneSettings(
                localZone,
                preferences.tiers.stream()
                        .map(tier -> tierWithZoneNumbers(tier, zoneNames))
                        .toList(),
                preferences.poolers));
    }

    private static ZoneSettings.Tier tierWithZoneNumbers(Tier tier, List<String> zoneNames) {
        List<Integer> numbers = tier.zones.stream()
                .map(zoneNames::indexOf)
                .filter(number -> number >= 0)
                .toList();
        return new ZoneSettings.Tier(numbers, tier.spill);
    }
}
