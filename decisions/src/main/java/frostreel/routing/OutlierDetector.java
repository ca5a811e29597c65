package frostreel.routing;

/**
 * Compares one member with its peers by the outcomes of its attempts: how much slower it answers than the mean
 * of each request class, how often attempts fail, and whether it has stopped answering. What was observed
 * fades with time, so that a member that was avoided is tried again.
 */
final class OutlierDetector {
    /** Time constant in microseconds over which observations fade, about that of a short outage. */
    private static final double DECAY_TIME_CONSTANT_US = 4e6;
    /** Weight of one more sample in the running mean. */
    private static final double SAMPLE_WEIGHT = 0.15;
    /** Failures are rarer than answers, and count twice. */
    private static final double FAILURE_WEIGHT = 2 * SAMPLE_WEIGHT;
    /** One answer counts as at most this many times slower than the mean, so that it doesn't decide alone. */
    private static final double MAX_LATENCY_RATIO = 10;
    /** Cost added, in multiples of the cost without failures, for a member all of whose attempts fail. */
    private static final double FAILURE_COST = 12;
    /** A silent member costs this many times as much as one that answers. */
    private static final double SILENCE_COST_FACTOR = 12;
    /** A member is silent after this many times the expected latency without any answer. */
    static final double SILENCE_FACTOR = 4;

    /** Its latency over the mean of the class, as a running mean: 1 for a member like its peers. */
    private double latencyRatio = 1;

    private double failureRate;
    private long observedAtUs;
    private long lastResponseUs;
    /** The longest expected latency among the attempts in flight. */
    private double slowestExpectedUs;

    OutlierDetector(long nowUs) {
        observedAtUs = nowUs;
        lastResponseUs = nowUs;
    }

    /** The member was restarted: what was observed before says nothing of it. */
    void reset() {
        failureRate = 0;
        latencyRatio = 1;
    }

    /** The latency to expect of it for a class with this mean latency among all members. */
    double expectedLatencyUs(long nowUs, double meanLatencyUs) {
        return meanLatencyUs * (1 + (latencyRatio - 1) * decayFactor(nowUs));
    }

    /** How little it should be chosen: {@code load} raised by slow answers, failures and silence. */
    double cost(long nowUs, int inFlight, double load) {
        double decayFactor = decayFactor(nowUs);
        double latencyCost = 1 + (latencyRatio - 1) * decayFactor;
        double failureCost = 1 + FAILURE_COST * failureRate * decayFactor;
        double cost = latencyCost * load * failureCost;
        return isSilent(nowUs, inFlight) ? cost * SILENCE_COST_FACTOR : cost;
    }

    /** Whether attempts are in flight and no answer has come for a multiple of the expected latency. */
    boolean isSilent(long nowUs, int inFlight) {
        return inFlight > 0 && nowUs - lastResponseUs > SILENCE_FACTOR * slowestExpectedUs;
    }

    /** An answer of any kind arrived. */
    void recordResponse(long nowUs) {
        lastResponseUs = nowUs;
    }

    /** No attempt is in flight any more. */
    void recordIdle() {
        slowestExpectedUs = 0;
    }

    /** An attempt goes out beside {@code inFlight} others, of a class with this mean latency. */
    void recordSend(long nowUs, int inFlight, double meanLatencyUs) {
        if (inFlight == 0) {
            lastResponseUs = nowUs;
        }
        double expectedUs = Math.max(meanLatencyUs, expectedLatencyUs(nowUs, meanLatencyUs));
        slowestExpectedUs = Math.max(slowestExpectedUs, expectedUs);
    }

    /** An attempt succeeded, after {@code ratio} times the mean latency of its class. */
    void recordSuccess(long nowUs, double ratio) {
        decayAndRecord(nowUs, 0);
        if (ratio > 0) {
            latencyRatio += SAMPLE_WEIGHT * (Math.min(ratio, MAX_LATENCY_RATIO) - latencyRatio);
        }
    }

    /** An attempt failed. */
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
