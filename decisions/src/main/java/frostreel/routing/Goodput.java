package frostreel.routing;

import java.util.function.LongSupplier;

/**
 * The recent requests that ended, and how many of them were useful. Tells what share of new requests to shed.
 */
final class Goodput {
    /** How many requests are admitted for each one that ends in time. */
    private static final double ADMITTED_PER_USEFUL = 2;
    /** The largest share of requests that is shed. */
    private static final double MAX_SHED_SHARE = 0.9;

    private final LongSupplier timeConstantUs;
    private final DecayingRate ended;
    private final DecayingRate useful;

    /** {@code timeConstantUs}: over which requests fade to 1/e; read anew each time, as settings may change it. */
    Goodput(LongSupplier timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
        ended = new DecayingRate(timeConstantUs);
        useful = new DecayingRate(timeConstantUs);
    }

    /** A request ended; {@code value} is that of its answer, from 0 for none to 1 for one in time. */
    void add(long nowUs, double value) {
        ended.add(nowUs, 1);
        useful.add(nowUs, value);
    }

    /** The rate of requests beyond what is admitted for the useful ones. */
    private double excessRate(long nowUs) {
        return Math.max(0, ended.at(nowUs) - ADMITTED_PER_USEFUL * useful.at(nowUs));
    }

    /**
     * The share of requests to shed at once, from 0 to {@value #MAX_SHED_SHARE}. No concurrency window falls below
     * one attempt, so hundreds of routers overload a member even at their least. As long as one request in
     * {@link #ADMITTED_PER_USEFUL} is useful, all are admitted. The share of all groups counts as one request
     * more, so that it decides for a group with few requests of its own.
     */
    double shedShare(long nowUs, Goodput allGroups) {
        double oneRequestRate = 1.0 / timeConstantUs.getAsLong();
        double overallExcessShare = allGroups.excessRate(nowUs) / (allGroups.ended.at(nowUs) + oneRequestRate);
        double share = (excessRate(nowUs) + overallExcessShare * oneRequestRate) / (ended.at(nowUs) + oneRequestRate);
        return Math.min(MAX_SHED_SHARE, share);
    }
}
