package frostreel.zones;

/** Delays the recovery of replicas that fail again and again: each recent failure at least doubles the delay. */
final class FlapDamping {
    /** A failure's weight fades to 1/e in this time. */
    private static final double DECAY_TIME_US = 60e6;
    /** Failures up to this weight cause no delay: one, and what is left of an older one. */
    private static final double UNDELAYED_WEIGHT = 1.2;
    /** The delay for a weight of one more than {@link #UNDELAYED_WEIGHT}; each further failure more than doubles it. */
    private static final double BASE_DELAY_US = 2e6;
    /** The longest delay. */
    private static final double MAX_DELAY_US = 60e6;

    /** The number of failures, each of which fades with time. */
    private double failureWeight;

    private long updatedUs;

    void recordFailure(long nowUs) {
        failureWeight = decayedWeight(nowUs) + 1;
        updatedUs = nowUs;
    }

    private double decayedWeight(long nowUs) {
        return failureWeight * Math.exp((updatedUs - nowUs) / DECAY_TIME_US);
    }

    /**
     * How long replicas that answer health checks from {@code nowUs} on must do so before they get requests.
     */
    double delayUs(long nowUs) {
        double excessWeight = Math.max(0, decayedWeight(nowUs) - UNDELAYED_WEIGHT);
        return Math.min(MAX_DELAY_US, BASE_DELAY_US * (Math.pow(2, excessWeight) - 1));
    }
}
