package frostreel.zones;

import frostreel.routing.DecayingRate;

/**
 * What the replicas of the nearest tiers serve this pooler, and what those of them that are down would serve. Rates are
 * microseconds of work a microsecond.
 */
final class NearestTierLoad {
    /** What the replicas serve that are up. */
    private final DecayingRate servedRate = new DecayingRate(() -> ZoneReplicas.RATE_TIME_CONSTANT_US);
    /** What the replicas served that are down. */
    private double missingRate;

    private boolean everServed;

    /** Whether any replicas of a nearest tier have served anything: their usual load is not known before. */
    boolean everServed() {
        return everServed;
    }

    /** What the nearest tiers usually serve: without the outages, if there are any. */
    double usualRate(long nowUs) {
        return servedRate.at(nowUs) + missingRate;
    }

    void recordServed(long nowUs, double workUs) {
        servedRate.add(nowUs, workUs);
        everServed = true;
    }

    /** Replicas went down that served this rate. */
    void recordOutage(long nowUs, double rate) {
        servedRate.shift(nowUs, -rate);
        missingRate += rate;
    }

    /** Replicas serve again that served this rate before they went down. */
    void recordRecovery(long nowUs, double rate) {
        missingRate = Math.max(0, missingRate - rate);
        servedRate.shift(nowUs, rate);
    }

    /** Forgets which replicas are down, as another tier is the nearest one; {@link #addMissing} has to follow. */
    void resetMissing() {
        missingRate = 0;
    }

    /** Replicas of the nearest tier are down that served this rate. */
    void addMissing(double rate) {
        missingRate += rate;
    }
}
