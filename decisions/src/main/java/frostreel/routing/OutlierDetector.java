package frostreel.routing;

/**
 * Compares one member with its peers by the outcomes of its attempts: its latency relative to the mean of each request
 * class, its failure rate, and whether it has stopped responding. Observations decay with time, so that a member that
 * was avoided is tried again.
 */
final class OutlierDetector {
    /** Time constant of the decay of observations, in microseconds; about the duration of a short outage. */
    private static final double DECAY_TIME_CONSTANT_US = 4e6;
    /** Weight of a new sample in the moving averages. */
    private static final double SAMPLE_WEIGHT = 0.15;
    /** Weight of a failure: failures are rarer than responses and count twice. */
    private static final double FAILURE_WEIGHT = 2 * SAMPLE_WEIGHT;
    /** Upper limit of the latency ratio of one response, so that a single response does not decide. */
    private static final double MAX_LATENCY_RATIO = 10;
    /** Added to the cost factor of a member all of whose attempts fail. */
    private static final double FAILURE_COST = 12;
    /** Cost factor of a member that has stopped responding. */
    private static final double SILENCE_COST_FACTOR = 12;
    /** A member counts as silent after the expected latency times this without any response. */
    static final double SILENCE_FACTOR = 4;

    /** Moving average of the member's latency divided by the mean of the class; 1 for a member like its peers. */
    private double latencyRatio = 1;

    private double failureRate;
    private long observedAtUs;
    /** Time of the last response, or of the first attempt after the member was idle if that is later. */
    private long lastResponseUs;

    /** Longest expected latency of the attempts since the member was last idle, in microseconds. */
    private double slowestExpectedUs;

    OutlierDetector(long nowUs) {
        observedAtUs = nowUs;
        lastResponseUs = nowUs;
    }

    /** Discards the observations, which do not apply to a member that has restarted. */
    void reset() {
        failureRate = 0;
        latencyRatio = 1;
    }

    /** Returns the latency to expect of the member for a class with this mean latency over all members. */
    double expectedLatencyUs(long nowUs, double meanLatencyUs) {
        return meanLatencyUs * (1 + (latencyRatio - 1) * decayFactor(nowUs));
    }

    /** Returns the cost of choosing the member: {@code load} adjusted for latency, failures and silence. */
    double cost(long nowUs, int inFlight, double load) {
        double decayFactor = decayFactor(nowUs);
        double latencyCost = 1 + (latencyRatio - 1) * decayFactor;
        double failureCost = 1 + FAILURE_COST * failureRate * decayFactor;
        double cost = latencyCost * load * failureCost;
        return isSilent(nowUs, inFlight) ? cost * SILENCE_COST_FACTOR : cost;
    }

    /** Whether attempts are in flight and no response has arrived for a multiple of the expected latency. */
    boolean isSilent(long nowUs, int inFlight) {
        return inFlight > 0 && nowUs - lastResponseUs > SILENCE_FACTOR * slowestExpectedUs;
    }

    /** Records the arrival of a response of any kind. */
    void recordResponse(long nowUs) {
        lastResponseUs = nowUs;
    }

    /** Records that no attempt is in flight any more. */
    void recordIdle() {
        slowestExpectedUs = 0;
    }

    /**
     * Records the send of an attempt of a class with this mean latency, while {@code inFlight} others are in flight.
     */
    void recordSend(long nowUs, int inFlight, double meanLatencyUs) {
        if (inFlight == 0) {
            lastResponseUs = nowUs;
        }
        double expectedUs = Math.max(meanLatencyUs, expectedLatencyUs(nowUs, meanLatencyUs));
        slowestExpectedUs = Math.max(slowestExpectedUs, expectedUs);
    }

    /** Records a successful attempt that took {@code ratio} times the mean latency of its class. */
    void recordSuccess(long nowUs, double ratio) {
        decayAndRecord(nowUs, 0);
        if (ratio > 0) {
            latencyRatio += SAMPLE_WEIGHT * (Math.min(ratio, MAX_LATENCY_RATIO) - latencyRatio);
        }
    }

    /** Records a failed attempt. */
    void recordFailure(long nowUs) {
        decayAndRecord(nowUs, FAILURE_WEIGHT);
    }

    private void decayAndRecord(long nowUs, double failureWeight) {
        double decayFactor = decayFactor(nowUs);
        failureRate = failureRate * decayFactor * (1 - FAILURE_WEIGHT) + failureWeight;
        latencyRatio = 1 + (latencyRatio - 1) * decayFactor;
        observedAtUs = nowUs;
    }

    private double decayFactor(long nowUs) {
        return Math.exp(-(nowUs - observedAtUs) / DECAY_TIME_CONSTANT_US);
    }
}
