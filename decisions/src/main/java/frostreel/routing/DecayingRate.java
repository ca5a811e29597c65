package frostreel.routing;

import java.util.function.LongSupplier;

/** An amount per microsecond, averaged over the recent past with exponentially decaying weights. */
public final class DecayingRate {
    private final LongSupplier timeConstantUs;
    private double perUs;
    private double updatedAtUs;

    /** {@code timeConstantUs}: over which it decays to 1/e; read anew each time, as settings may change it. */
    public DecayingRate(LongSupplier timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    /** The amount per microsecond as of now. */
    public double at(long nowUs) {
        return perUs * Math.exp(-(nowUs - updatedAtUs) / timeConstantUs.getAsLong());
    }

    /** Counts an amount as of now. */
    public void add(long nowUs, double amount) {
        perUs = at(nowUs) + amount / timeConstantUs.getAsLong();
        updatedAtUs = nowUs;
    }

    /** Changes the rate by a difference, to no less than 0. */
    public void shift(long nowUs, double difference) {
        perUs = Math.max(0, at(nowUs) + difference);
        updatedAtUs = nowUs;
    }

    /** Multiplies all that was counted so far. */
    void scale(double factor) {
        perUs *= factor;
    }
}
