package frostreel.lab.virtual;

import java.util.Arrays;

/** The rate of requests at each pooler, as a multiple of the mean of all. */
final class PoolerDemand {
    private final double[] multiples;

    /** The same rate at all poolers. */
    PoolerDemand(int poolers) {
        multiples = new double[poolers];
        Arrays.fill(multiples, 1);
    }

    /** Gives the first pooler so many times the rate of the last one; the others fall geometrically between. */
    void skew(double times) {
        double sum = 0;
        for (int i = 0; i < multiples.length; i++) {
            multiples[i] = Math.pow(times, -(double) i / Math.max(1, multiples.length - 1));
            sum += multiples[i];
        }
        for (int i = 0; i < multiples.length; i++) {
            multiples[i] *= multiples.length / sum;
        }
    }

    double multiple(int pooler) {
        return multiples[pooler];
    }
}
