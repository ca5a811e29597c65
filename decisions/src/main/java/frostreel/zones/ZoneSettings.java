package frostreel.zones;

import java.util.List;

/**
 * Preferences of the operators among zones. Zones are identified by number, as in endpoint lists.
 *
 * @param localZone the pooler's local zone, which is tier 0
 * @param tiers the other zones in order of preference; the last tier includes all zones that no tier names
 * @param poolers number of poolers in all zones, which share the first requests to a recovering member
 */
public record ZoneSettings(int localZone, List<Tier> tiers, int poolers) {
    private static final int LOCAL_TIER = 0;

    /**
     * Zones of equal preference.
     *
     * @param zones zone numbers; empty for all zones that no other tier names
     * @param spill load that may spill over to the tier, as a share of the load that this pooler's nearest tier
     *     usually serves; greater than 0. If every zone has the same number of poolers, it is also the share of the
     *     tier's own load.
     */
    public record Tier(List<Integer> zones, double spill) {
        /**
         * Validates the tier.
         *
         * @throws IllegalArgumentException if the spill is not greater than 0
         */
        public Tier {
            zones = List.copyOf(zones);
            if (!(spill > 0)) {
                throw new IllegalArgumentException("spill of a tier must be greater than 0");
            }
        }
    }

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if there is no tier or no pooler
     */
    public ZoneSettings {
        tiers = List.copyOf(tiers);
        if (tiers.isEmpty() || poolers < 1) {
            throw new IllegalArgumentException("at least one tier and one pooler are required");
        }
    }

    /** Tier of a zone: 0 for the local zone, the last tier for zones that no tier names. */
    int tierOf(int zone) {
        if (zone == localZone) {
            return LOCAL_TIER;
        }
        for (int i = 0; i < tiers.size(); i++) {
            if (tiers.get(i).zones().contains(zone)) {
                return i + 1;
            }
        }
        return tiers.size();
    }
}
