package frostreel.zones;

import java.util.List;

/**
 * What operators state of zones.
 *
 * @param own the pooler's zone; zones are numbers, as in the lists that the decisions are told
 * @param tiers what comes after the own zone, in order; a zone that none names belongs to the last
 * @param poolers how many poolers there are in all, so that each takes its part of what is not known to it
 * alone
 */
public record ZoneSettings(int own, List<Tier> tiers, int poolers) {
    /**
     * Zones of equal preference.
     *
     * @param spill what may go there beyond calm days: a share, over 0, of what this pooler's nearest tier
     *     usually serves it. With as many poolers in each zone, that is the share of what the tier serves.
     */
    public record Tier(List<Integer> zones, double spill) {
        public Tier {
            zones = List.copyOf(zones);
            if (!(spill > 0)) {
                throw new IllegalArgumentException("a tier's spill is not over 0");
            }
        }
    }

    public ZoneSettings {
        tiers = List.copyOf(tiers);
        if (tiers.isEmpty() || poolers < 1) {
            throw new IllegalArgumentException("no tier, or no pooler");
        }
    }

    /** 0 for the own zone; the last for one that no tier names. */
    int tierOf(int zone) {
        if (zone == own) {
            return 0;
        }
        for (int i = 0; i < tiers.size(); i++) {
            if (tiers.get(i).zones().contains(zone)) {
                return i + 1;
            }
        }
        return tiers.size();
    }
}
