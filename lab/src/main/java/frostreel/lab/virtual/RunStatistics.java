package frostreel.lab.virtual;

import java.util.Arrays;

/**
 * The result of a run, as priority weight offered and weight served: by the second in which a request was first
 * sent, by its class, and by the zone of its pooler.
 */
public final class RunStatistics {
    /** In place of a zone's number: all zones together. */
    public static final int ALL_ZONES = -1;

    /** The seconds before are the poolers' start, and do not count. */
    private static final int FIRST_JUDGED_SECOND = 5;

    private static final int WINDOW_S = 10;

    private final double[][] weightAsked;
    private final double[][] weightServed;
    private final double[] weightAskedOfClass;
    private final double[] weightServedOfClass;
    long requests;
    long retries;
    long served;
    long rejected;
    long failed;

    RunStatistics(int seconds, int zones, int classes) {
        weightAsked = new double[seconds + 1][zones];
        weightServed = new double[seconds + 1][zones];
        weightAskedOfClass = new double[classes];
        weightServedOfClass = new double[classes];
    }

    void recordAsked(int second, int zone, int classIndex, double weight) {
        weightAsked[second][zone] += weight;
        weightAskedOfClass[classIndex] += weight;
    }

    /** {@code second}: of the run, in which the request was first sent. */
    void recordServed(int second, int zone, int classIndex, double weight) {
        weightServed[second][zone] += weight;
        weightServedOfClass[classIndex] += weight;
    }

    /**
     * The share of the offered weight that was served, 0 to 1; 1 where none was offered.
     *
     * @param fromSecond of the run, inclusive, and {@code toSecond} exclusive
     * @param zone of the poolers to count, or {@link #ALL_ZONES}
     */
    public double weightShare(int fromSecond, int toSecond, int zone) {
        double asked = 0;
        double served = 0;
        for (int second = fromSecond; second < Math.min(toSecond, weightAsked.length); second++) {
            for (int each = 0; each < weightAsked[second].length; each++) {
                boolean counts = zone == ALL_ZONES || zone == each;
                asked += counts ? weightAsked[second][each] : 0;
                served += counts ? weightServed[second][each] : 0;
            }
        }
        return asked == 0 ? 1 : served / asked;
    }

    /**
     * The smallest share served in any ten consecutive seconds after the poolers' start, 0 to 1.
     *
     * @param zone of the poolers to count, or {@link #ALL_ZONES}
     */
    public double worstTenSeconds(int zone) {
        double worst = 1;
        for (int first = FIRST_JUDGED_SECOND; first + WINDOW_S <= weightAsked.length; first++) {
            worst = Math.min(worst, weightShare(first, first + WINDOW_S, zone));
        }
        return worst;
    }

    /** The smallest share served of any request class over the whole run, 0 to 1. */
    public double worstClass() {
        double worst = 1;
        for (int index = 0; index < weightAskedOfClass.length; index++) {
            double share = weightAskedOfClass[index] == 0 ? 1 : weightServedOfClass[index] / weightAskedOfClass[index];
            worst = Math.min(worst, share);
        }
        return worst;
    }

    /** The number of requests of clients, retries not counted. */
    public long requests() {
        return requests;
    }

    /** The number of clients' retries. */
    public long retries() {
        return retries;
    }

    /** The number of requests and retries that were served. */
    public long served() {
        return served;
    }

    /** The number of requests and retries that were rejected, so that the client may retry. */
    public long rejected() {
        return rejected;
    }

    /** The number of requests and retries that failed. */
    public long failed() {
        return failed;
    }

    @Override
    public String toString() {
        return "requests=" + requests + " retries=" + retries + " served=" + served + " refused=" + rejected
                + " failed=" + failed + " worth=" + weightShare(0, weightAsked.length, ALL_ZONES) + " by="
                + Arrays.deepToString(weightServed);
    }
}
