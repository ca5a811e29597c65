package frostreel.zones;

import frostreel.routing.DecayingRate;

/**
 * Load that the replicas of the nearest tiers serve for this pooler, and that those of them that are down would
 * serve. Rates are microseconds of work per microsecond.
 */
final class NearestTierLoad {
    /** Load served by the replicas that are up. */
    private final DecayingRate servedRate = new DecayingRate(() -> ZoneReplicas.RATE_TIME_CONSTANT_US);
    /** Load that the replicas that are down served before their outage. */
    private double missingRate;

    private boolean everServed;

    /** Whether replicas of a nearest tier have served any request; their usual load is unknown before. */
    boolean everServed() {
        return everServed;
    }

    /** Load that the nearest tiers serve when none of their replicas is down. */
    double usualRate(long nowUs) {
        return servedRate.at(nowUs) + missingRate;
    }

    void recordServed(long nowUs, double workUs) {
        servedRate.add(nowUs, workUs);
        everServed = true;
    }

    /** Records that replicas which served this rate went down. */
    void recordOutage(long nowUs, double rate) {
        servedRate.shift(nowUs, -rate);
        missingRate += rate;
    }

    /** Records that replicas which served this rate before their outage serve requests again. */
    void recordRecovery(long nowUs, double rate) {
        missingRate = Math.max(0, missingRate - rate);
        servedRate.shift(nowUs, rate);
    }

    /** Clears the load of replicas that are down after a change of tiers; {@link #addMissing} must follow. */
    void resetMissing() {
        missingRate = 0;
    }

    /** Adds the rate that replicas of the nearest tier served before they went down. */
    void addMissing(double rate) {
        missingRate += rate;
    }
}
