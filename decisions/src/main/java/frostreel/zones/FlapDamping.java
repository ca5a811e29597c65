package frostreel.zones;

/** Delays the return of replicas that fail again and again: the delay doubles with each failure of late. */
final class FlapDamping {
    /** A failure's weight fades to 1/e in this time. */
    private static final double FADE_US = 60e6;
    /** Failures of this weight in all, one and the rest of an older one, cause no delay. */
    private static final double FREE_FAILURES = 1.2;

    private static final double BASE_DELAY_US = 2e6;
    private static final double MAX_DELAY_US = 60e6;

    private double weight;
    private long updatedUs;

    void recordFailure(long nowUs) {
        weight = weight(nowUs) + 1;
        updatedUs = nowUs;
    }

    private double weight(long nowUs) {
        return weight * Math.exp((updatedUs - nowUs) / FADE_US);
    }

    /**
     * How long replicas that answer health checks from {@code nowUs} on must do so before they get requests.
     */
    double delayUs(long nowUs) {
        double counted = Math.max(0, weight(nowUs) - FREE_FAILURES);
        return Math.min(MAX_DELAY_US, BASE_DELAY_US * (Math.pow(2, counted) - 1));
    }
}
