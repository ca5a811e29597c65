package frostreel.lab.processes;

import org.HdrHistogram.Histogram;

/** The outcomes of all requests of a run. Used on the event loop's thread alone. */
final class LoadStatistics {
    private static final long MAX_LATENCY_US = 60_000_000L;
    private static final int LATENCY_DIGITS = 3;

    /** The outcomes of the requests that were first sent in one second. */
    static final class Second {
        long asked;
        long served;
        double weightAsked;
        double weightServed;
    }

    /** Latencies of the requests that were served, in microseconds. */
    final Histogram latencies = new Histogram(MAX_LATENCY_US, LATENCY_DIGITS);

    long asked;
    long rejected;
    long failed;
    long retries;
    /** Requests whose connection ended, or whose client gave up, without an answer. */
    long unanswered;
    /** Requests for which no pooler was ready. */
    long unplaced;
    /** Answers whose value no server gave for the request. */
    long foreign;
    /** Requests that crossed the end of an idle connection, and were resent on a new one. */
    long resent;

    private final Second[] seconds;

    LoadStatistics(int durationS) {
        seconds = new Second[durationS];
        for (int i = 0; i < durationS; i++) {
            seconds[i] = new Second();
        }
    }

    int durationS() {
        return seconds.length;
    }

    Second second(int number) {
        return seconds[number];
    }

    long served() {
        return latencies.getTotalCount();
    }

    void recordAsked(int second, double weight) {
        asked++;
        seconds[second].asked++;
        seconds[second].weightAsked += weight;
    }

    /** {@code second}: the one in which the request was first sent. */
    void recordServed(int second, long latencyUs, double weight) {
        latencies.recordValue(Math.min(latencyUs, latencies.getHighestTrackableValue()));
        seconds[second].served++;
        seconds[second].weightServed += weight;
    }

    /** The served share of the weight of the requests of some seconds; 1 if there were none. */
    double weightShare(int fromSecond, int toSecond) {
        double served = 0;
        double all = 0;
        for (int i = fromSecond; i < toSecond; i++) {
            served += seconds[i].weightServed;
            all += seconds[i].weightAsked;
        }
        return all == 0 ? 1 : served / all;
    }
}
