package frostreel.zones;

import java.util.Arrays;

/** The budget of each tier for requests that nearer tiers cannot serve, and the counts of reads sent and denied. */
final class SpillBudgets {
    /** Cost factor of a tier relative to the next nearer one. */
    private static final double COST_PER_TIER = 2;
    /** Time in which a budget fills to its capacity. */
    private static final double CAPACITY_US = 500_000;

    private final ZoneSettings settings;
    private final TokenBucket[] buckets;
    private final double[] costFactors;
    private final long[] sent;
    private final long[] denied;

    SpillBudgets(ZoneSettings settings) {
        this.settings = settings;
        int count = settings.tiers().size() + 1;
        buckets = new TokenBucket[count];
        costFactors = new double[count];
        sent = new long[count];
        denied = new long[count];
        for (int tier = 0; tier < count; tier++) {
            buckets[tier] = new TokenBucket();
            costFactors[tier] = Math.pow(COST_PER_TIER, tier);
        }
    }

    double costFactor(int tier) {
        return costFactors[tier];
    }

    void countSent(int tier) {
        sent[tier]++;
    }

    void spend(int tier, double workUs) {
        buckets[tier].take(workUs);
    }

    /**
     * Whether the budget of a tier admits one more request.
     *
     * @param nearestRate usual load of the nearest tiers, in microseconds of work per microsecond
     * @param minCapacityUs lower bound on the capacity of the budget, in microseconds of work
     * @param reservedShare share of the capacity that must be left to classes of higher rank
     */
    boolean admits(long nowUs, int tier, double nearestRate, double minCapacityUs, double reservedShare) {
        double rate = settings.tiers().get(tier - 1).spill() * nearestRate;
        double capacityUs = Math.max(rate * CAPACITY_US, minCapacityUs);
        boolean admitted = buckets[tier].fill(nowUs, rate, capacityUs) > reservedShare * capacityUs;
        if (!admitted) {
            denied[tier]++;
        }
        return admitted;
    }

    @Override
    public String toString() {
        return "sent_by_tier=" + Arrays.toString(sent) + " denied_by_tier=" + Arrays.toString(denied);
    }
}
