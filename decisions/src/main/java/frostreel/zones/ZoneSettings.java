package frostreel.zones;

import java.util.List;

/**
 * The operators' preferences among zones. Zones are numbers, as in endpoint lists.
 *
 * @param localZone the pooler's own zone, which is tier 0
 * @param tiers the other zones in order of preference; the last one includes those that none names
 * @param poolers how many poolers there are in all zones, among which a recovering member's first requests
 *     are divided
 */
public record ZoneSettings(int localZone, List<Tier> tiers, int poolers) {
    private static final int LOCAL_TIER = 0;

    /**
     * Zones of equal preference.
     *
     * @param zones their numbers; empty for all that no other tier names
     * @param spill what may go there, as a share of what this pooler's nearest tier usually serves it; over
     *     0. With as many poolers in each zone, that is the share of what this tier serves.
     */
    public record Tier(List<Integer> zones, double spill) {
        /**
         * Checks the tier.
         *
         * @throws IllegalArgumentException where the spill is not over 0
         */
        public Tier {
            zones = List.copyOf(zones);
            if (!(spill > 0)) {
                throw new IllegalArgumentException("a tier's spill is not over 0");
            }
        }
    }

    /**
     * Checks the settings.
     *
     * @throws IllegalArgumentException without a tier or without a pooler
     */
    public ZoneSettings {
        tiers = List.copyOf(tiers);
        if (tiers.isEmpty() || poolers < 1) {
            throw new IllegalArgumentException("no tier, or no pooler");
        }
    }

    /** The tier of a zone: 0 for the pooler's own zone, the last tier for zones that no tier names. */
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
