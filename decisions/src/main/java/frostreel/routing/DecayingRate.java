package frostreel.routing;

import java.util.function.LongSupplier;

/** Rate of an amount per microsecond, averaged over the recent past with exponentially decaying weights. */
public final class DecayingRate {
    private final LongSupplier timeConstantUs;
    private double perUs;
    private double updatedAtUs;

    /**
     * Creates a rate of 0; {@code timeConstantUs} is the time over which it decays to 1/e, read at each use since
     * settings may change it.
     */
    public DecayingRate(LongSupplier timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    /** Returns the amount per microsecond as of now. */
    public double at(long nowUs) {
        return perUs * Math.exp(-(nowUs - updatedAtUs) / timeConstantUs.getAsLong());
    }

    /** Adds an amount as of now. */
    public void add(long nowUs, double amount) {
        perUs = at(nowUs) + amount / timeConstantUs.getAsLong();
        updatedAtUs = nowUs;
    }

    /** Changes the rate by a difference, to no less than 0. */
    public void shift(long nowUs, double difference) {
        perUs = Math.max(0, at(nowUs) + difference);
        updatedAtUs = nowUs;
    }
}
