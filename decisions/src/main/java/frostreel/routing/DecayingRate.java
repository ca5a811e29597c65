package frostreel.routing;

import java.util.function.LongSupplier;

/** An amount per microsecond, averaged over the recent past with exponentially decaying weights. */
final class DecayingRate {
    private final LongSupplier timeConstantUs;
    private double perUs;
    private double updatedUs;

    /** {@code timeConstantUs}: over which it decays to 1/e; read anew each time, as settings may change it. */
    DecayingRate(LongSupplier timeConstantUs) {
        this.timeConstantUs = timeConstantUs;
    }

    /** The amount per microsecond as of now. */
    double at(long nowUs) {
        return perUs * Math.exp(-(nowUs - updatedUs) / timeConstantUs.getAsLong());
    }

    /** Counts an amount as of now. */
    void add(long nowUs, double amount) {
        perUs = at(nowUs) + amount / timeConstantUs.getAsLong();
        updatedUs = nowUs;
    }

    /** Multiplies all that was counted so far. */
    void scale(double factor) {
        perUs *= factor;
    }
}
