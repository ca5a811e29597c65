package frostreel.lab.virtual;

import java.util.Arrays;

/** What a run was worth, by second of asking, by class, and by the zone of the pooler that was asked. */
public final class RunStatistics {
    private final double[][] asked;
    private final double[][] got;
    private final double[] askedOfClass;
    private final double[] gotOfClass;
    long requests;
    long retries;
    long served;
    long refused;
    long failed;

    RunStatistics(int seconds, int zones, int classes) {
        asked = new double[seconds + 1][zones];
        got = new double[seconds + 1][zones];
        askedOfClass = new double[classes];
        gotOfClass = new double[classes];
    }

    void asked(int second, int zone, int cls, double worth) {
        asked[second][zone] += worth;
        askedOfClass[cls] += worth;
    }

    void got(int second, int zone, int cls, double worth) {
        got[second][zone] += worth;
        gotOfClass[cls] += worth;
    }

    /** Share of the worth asked for in these seconds, of poolers of a zone, or of all for -1. */
    public double worth(int fromSecond, int toSecond, int zone) {
        double a = 0;
        double g = 0;
        for (int s = fromSecond; s < Math.min(toSecond, asked.length); s++) {
            for (int z = 0; z < asked[s].length; z++) {
                a += zone < 0 || zone == z ? asked[s][z] : 0;
                g += zone < 0 || zone == z ? got[s][z] : 0;
            }
        }
        return a == 0 ? 1 : g / a;
    }

    /** The least share in any ten seconds on end, from the fifth on, as the first are the poolers' start. */
    public double worstTenSeconds(int zone) {
        double worst = 1;
        for (int s = 5; s + 10 <= asked.length; s++) {
            worst = Math.min(worst, worth(s, s + 10, zone));
        }
        return worst;
    }

    /** The least share of any class. */
    public double worstClass() {
        double worst = 1;
        for (int c = 0; c < askedOfClass.length; c++) {
            worst = Math.min(worst, askedOfClass[c] == 0 ? 1 : gotOfClass[c] / askedOfClass[c]);
        }
        return worst;
    }

    /** First tries of clients. */
    public long requests() {
        return requests;
    }

    public long served() {
        return served;
    }

    public long refused() {
        return refused;
    }

    public long failed() {
        return failed;
    }

    @Override
    public String toString() {
        return "requests=" + requests + " retries=" + retries + " served=" + served + " refused=" + refused
                + " failed=" + failed + " worth=" + worth(0, asked.length, -1) + " by="
                + Arrays.deepToString(got);
    }
}
