package frostreel.routing;

import java.util.function.LongSupplier;

/** Work, or a number, per microsecond of the last while; what is older fades. */
final class DecayingRate {
    private final LongSupplier spanUs;
    private double rate;
    private double sinceUs;

    /** {@code spanUs}: over which it fades to 1/e; asked anew each time, as settings may change it. */
    DecayingRate(LongSupplier spanUs) {
        this.spanUs = spanUs;
    }

    double at(long nowUs) {
        return rate * Math.exp(-(nowUs - sinceUs) / spanUs.getAsLong());
    }

    void add(long nowUs, double amount) {
        rate = at(nowUs) + amount / spanUs.getAsLong();
        sinceUs = nowUs;
    }

    /** Takes what was counted so far for so much of it. */
    void scale(double by) {
        rate *= by;
    }
}
