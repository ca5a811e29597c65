package frostreel.routing;

import java.util.function.LongSupplier;

/** A rate per microsecond, of work or of a number of events, with exponential decay of older amounts. */
public final class DecayingRate {
    private final LongSupplier spanUs;
    private double rate;
    private double sinceUs;

    /** {@code spanUs}: the time in which an amount decays to 1/e; read on each use, as settings may change it. */
    public DecayingRate(LongSupplier spanUs) {
        this.spanUs = spanUs;
    }

    /** The rate at a time, which is not before the last change. */
    public double at(long nowUs) {
        return rate * Math.exp(-(nowUs - sinceUs) / spanUs.getAsLong());
    }

    /** Adds an amount. */
    public void add(long nowUs, double amount) {
        rate = at(nowUs) + amount / spanUs.getAsLong();
        sinceUs = nowUs;
    }

    /** Changes the rate by a difference, to no less than 0. */
    public void shift(long nowUs, double difference) {
        rate = Math.max(0, at(nowUs) + difference);
        sinceUs = nowUs;
    }

    /** Multiplies the rate by a factor. */
    void scale(double factor) {
        rate *= factor;
    }
}
