package frostreel.zones;

/** Delays the recovery of replicas that fail repeatedly: each recent failure at least doubles the delay. */
final class FlapDamping {
    /** Time in which the weight of a failure decays to 1/e. */
    private static final double DECAY_TIME_US = 60e6;
    /** Failure weight that causes no delay: one failure, plus the remainder of an earlier one. */
    private static final double UNDELAYED_WEIGHT = 1.2;
    /** Delay for a weight of {@link #UNDELAYED_WEIGHT} + 1; each additional failure more than doubles it. */
    private static final double BASE_DELAY_US = 2e6;

    private static final double MAX_DELAY_US = 60e6;

    /** Number of failures, weighted with an exponential decay over time. */
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
     * How long replicas that respond to health checks from {@code nowUs} on must keep responding before they get
     * requests.
     */
    double delayUs(long nowUs) {
        double excessWeight = Math.max(0, decayedWeight(nowUs) - UNDELAYED_WEIGHT);
        return Math.min(MAX_DELAY_US, BASE_DELAY_US * (Math.pow(2, excessWeight) - 1));
    }
}
