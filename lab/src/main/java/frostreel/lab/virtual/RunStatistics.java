package frostreel.lab.virtual;

import java.util.Arrays;

/**
 * What a run's requests were worth, as weight asked for and weight served: by second of asking, by class, and by
 * the zone of the pooler that was asked.
 */
public final class RunStatistics {
    /** In place of a zone: all of them together. */
    public static final int ALL_ZONES = -1;

    /** The first seconds belong to the poolers' start, and are not judged. */
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

    /** {@code second}: in which the request was asked. */
    void recordServed(int second, int zone, int classIndex, double weight) {
        weightServed[second][zone] += weight;
        weightServedOfClass[classIndex] += weight;
    }

    /**
     * The share of the weight asked for that was served; 1 where nothing was asked.
     *
     * @param fromSecond the first second, and {@code toSecond} the one behind the last
     * @param zone of the poolers that were asked, or {@link #ALL_ZONES}
     */
    public double weightShare(int fromSecond, int toSecond, int zone) {
        double asked = 0;
        double got = 0;
        for (int s = fromSecond; s < Math.min(toSecond, weightAsked.length); s++) {
            for (int z = 0; z < weightAsked[s].length; z++) {
                boolean counts = zone == ALL_ZONES || zone == z;
                asked += counts ? weightAsked[s][z] : 0;
                got += counts ? weightServed[s][z] : 0;
            }
        }
        return asked == 0 ? 1 : got / asked;
    }

    /** The least share in any ten seconds on end, behind the poolers' start; {@code zone} as above. */
    public double worstTenSeconds(int zone) {
        double worst = 1;
        for (int s = FIRST_JUDGED_SECOND; s + WINDOW_S <= weightAsked.length; s++) {
            worst = Math.min(worst, weightShare(s, s + WINDOW_S, zone));
        }
        return worst;
    }

    /** The least share of any class. */
    public double worstClass() {
        double worst = 1;
        for (int c = 0; c < weightAskedOfClass.length; c++) {
            double share = weightAskedOfClass[c] == 0 ? 1 : weightServedOfClass[c] / weightAskedOfClass[c];
            worst = Math.min(worst, share);
        }
        return worst;
    }

    /** Requests of clients, retries not counted. */
    public long requests() {
        return requests;
    }

    /** Retries of clients. */
    public long retries() {
        return retries;
    }

    public long served() {
        return served;
    }

    public long rejected() {
        return rejected;
    }

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
