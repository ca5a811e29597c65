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
 * The settings in the operators' file. A file with any validation error is rejected as a whole.
 *
 * @param logFormat the format of log lines on standard error
 * @param logLevel the lowest level that is logged
 * @param zones the preferences among zones, empty if not configured
 * @param cluster the cluster of poolers, empty if not configured
 */
public record OperatorSettings(
        Logging.Format logFormat, Level logLevel, Optional<Zones> zones, Optional<Cluster> cluster) {
    /**
     * Zones of equal preference.
     *
     * @param zones names of the zones; empty for all zones that no other tier names
     * @param spill the load that may spill over to these zones, as a share of the load that the nearest tier usually
     *     serves
     */
    public record Tier(List<String> zones, double spill) {}

    /**
     * Preferences among zones.
     *
     * @param tiers the zones other than the local one, nearest tier first
     * @param poolers the number of poolers in all zones together
     */
    public record Zones(List<Tier> tiers, int poolers) {}

    /**
     * The addresses of a cluster member.
     *
     * @param advertised the address that the other members connect to
     * @param bind the address that the member listens on
     */
    public record MemberAddress(InetSocketAddress advertised, InetSocketAddress bind) {}

    /**
     * The cluster of poolers.
     *
     * @param group the name of the cluster; poolers of other groups are ignored
     * @param silentAfterMs the time without a heartbeat after which a member is suspected
     * @param members addresses by pooler name
     */
    public record Cluster(String group, long silentAfterMs, Map<String, MemberAddress> members) {}

    /** The settings of a pooler without a file. */
    public static final OperatorSettings DEFAULT =
            new OperatorSettings(Logging.Format.TEXT, Level.INFO, Optional.empty(), Optional.empty());
    /** The XML schema of the file. */
    public static final URL SCHEMA = OperatorSettings.class.getResource("frostreel.xsd");

    /**
     * Reads and validates a file on its own, without the name of a pooler. Blocks.
     *
     * @throws InvalidFileException with the validation errors; those that the schema cannot express are only found in a
     *     file that conforms to it
     */
    public static OperatorSettings read(Path file) throws InvalidFileException {
        return new OperatorSettingsReader(file).read();
    }

    /**
     * Reads a file for the pooler named {@code self}, which must be a member of the cluster if there is one. Blocks.
     *
     * @throws InvalidFileException as {@link #read(Path)} does
     */
    public static OperatorSettings read(Path file, String self) throws InvalidFileException {
        return new OperatorSettingsReader(file, self).read();
    }

    /**
     * Returns the preferences among zones with the zones' numbers in place of their names; empty if not configured.
     *
     * @param localZone the number of this pooler's zone
     * @param zoneNames names of the zones, in the order of their numbers; other names in the tiers are ignored
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
