package frostreel.routing;

import java.util.function.LongSupplier;

/**
 * Rates of the requests that ended recently and of their useful responses, which determine the share of new requests to
 * shed.
 */
final class Goodput {
    /** Number of requests that are admitted for each one that ends in time. */
    private static final double ADMITTED_PER_USEFUL = 2;
    /** Maximum share of requests that is shed. */
    private static final double MAX_SHED_SHARE = 0.9;

    private final LongSupplier timeConstantUs;
    private final DecayingRate ended;
    private final DecayingRate useful;

    /**
     * Creates a goodput; {@code timeConstantUs} is the time over which requests decay to 1/e, read at each use since
     * settings may change it.
     */
    Goodput(LongSupplier timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
        ended = new DecayingRate(timeConstantUs);
        useful = new DecayingRate(timeConstantUs);
    }

    /** Records the end of a request; {@code value} is that of its response, from 0 for none to 1 for one in time. */
    void add(long nowUs, double value) {
        ended.add(nowUs, 1);
        useful.add(nowUs, value);
    }

    /** Returns the rate of requests beyond those admitted for the useful ones. */
    private double excessRate(long nowUs) {
        return Math.max(0, ended.at(nowUs) - ADMITTED_PER_USEFUL * useful.at(nowUs));
    }

    /**
     * Returns the share of requests to shed on arrival, from 0 to {@value #MAX_SHED_SHARE}. Shedding is needed because
     * no concurrency window falls below one attempt, so that hundreds of routers overload a member even with minimum
     * windows. While one request in {@link #ADMITTED_PER_USEFUL} is useful, all are admitted. The share over all groups
     * counts as one additional request, so that it decides for a group with few requests of its own.
     */
    double shedShare(long nowUs, Goodput allGroups) {
        double oneRequestRate = 1.0 / timeConstantUs.getAsLong();
        double overallExcessShare = allGroups.excessRate(nowUs) / (allGroups.ended.at(nowUs) + oneRequestRate);
        double share = (excessRate(nowUs) + overallExcessShare * oneRequestRate) / (ended.at(nowUs) + oneRequestRate);
        return Math.min(MAX_SHED_SHARE, share);
    }
}
