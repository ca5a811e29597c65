package frostreel.lab.processes;

import org.HdrHistogram.Histogram;

/** What became of all requests of a run. Counted on the event loop's thread. */
final class LoadStatistics {
    private static final long MAX_LATENCY_US = 60_000_000L;
    private static final int LATENCY_DIGITS = 3;

    /** What became of the requests asked in one second. */
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
    /** Answers with a value that no server gave for their request. */
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

    /** {@code second}: in which the request was asked. */
    void recordServed(int second, long latencyUs, double weight) {
        latencies.recordValue(Math.min(latencyUs, latencies.getHighestTrackableValue()));
        seconds[second].served++;
        seconds[second].weightServed += weight;
    }

    /** Share of the weight asked for in some seconds that was served; 1 where nothing was asked. */
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
