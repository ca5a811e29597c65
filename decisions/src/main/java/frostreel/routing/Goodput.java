package frostreel.routing;

import java.util.function.LongSupplier;

/** Of the requests that ended of late, how many there were, and what their answers were worth. */
final class Goodput {
    /** So many requests are let in for each that ends in time, and at most so many are refused for it. */
    private static final double OVERRUN = 2;

    private static final double MOST_SHED = 0.9;
    private final LongSupplier spanUs;
    private final DecayingRate asked;
    private final DecayingRate useful;

    Goodput(LongSupplier spanUs) {
        this.spanUs = spanUs;
        asked = new DecayingRate(spanUs);
        useful = new DecayingRate(spanUs);
    }

    /** {@code worth}: of its answer, from 0 to 1. */
    void add(long nowUs, double worth) {
        asked.add(nowUs, 1);
        useful.add(nowUs, worth);
    }

    private double over(long nowUs) {
        return Math.max(0, asked.at(nowUs) - OVERRUN * useful.at(nowUs));
    }

    /**
     * The share of requests to refuse at once: no window falls below one attempt, so hundreds of routers jam
     * a member each at its least. Down to one useful in {@link #OVERRUN} all are let in. One request more
     * weighs as much as all groups, so that a group's few weigh with all.
     */
    double excess(long nowUs, Goodput all) {
        double one = 1.0 / spanUs.getAsLong();
        double share = all.over(nowUs) / (all.asked.at(nowUs) + one);
        return Math.min(MOST_SHED, (over(nowUs) + share * one) / (asked.at(nowUs) + one));
    }
}
