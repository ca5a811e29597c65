package frostreel.zones;

import frostreel.routing.Router;
import java.util.Arrays;
import java.util.List;

/** Estimates the work of each request class, and ranks classes by priority weight for their work. */
final class ClassRanking {
    /** The weight of the latest request in an average. */
    private static final double SMOOTHING = 0.05;
    /** Until its first request, a class is taken to need its latency objective divided by this. */
    private static final double OBJECTIVE_DIVISOR = 5.0;
    /** Classes are ranked anew after this many requests. */
    private static final int REQUESTS_BETWEEN_RANKINGS = 500;
    /** The share of a spill budget that must be left by the class of the lowest rank. */
    private static final double MAX_RESERVED_SHARE = 0.7;

    private List<Router.RequestClass> classes = List.of();
    private double[] workUs = {};
    private double[] reservedShares = {};
    private double meanWorkUs;
    private int requestsUntilRanking = REQUESTS_BETWEEN_RANKINGS;

    /** Takes new classes, which begin with those in force; what is known of those stays. */
    void configure(List<Router.RequestClass> newClasses) {
        classes = newClasses;
        int knownCount = workUs.length;
        workUs = Arrays.copyOf(workUs, classes.size());
        reservedShares = Arrays.copyOf(reservedShares, classes.size());
        for (int i = knownCount; i < workUs.length; i++) {
            workUs[i] = classes.get(i).latencyObjectiveUs() / OBJECTIVE_DIVISOR;
        }
        meanWorkUs = Arrays.stream(workUs).min().orElse(1);
        rank();
    }

    /** Records a request that was sent, with the work that its class usually takes. */
    void recordSent(int classIndex, double requestWorkUs) {
        workUs[classIndex] += SMOOTHING * (requestWorkUs - workUs[classIndex]);
        meanWorkUs += SMOOTHING * (requestWorkUs - meanWorkUs);
        if (--requestsUntilRanking <= 0) {
            requestsUntilRanking = REQUESTS_BETWEEN_RANKINGS;
            rank();
        }
    }

    /** The mean work of a request of any class. */
    double meanWorkUs() {
        return meanWorkUs;
    }

    /**
     * The share of a spill budget's capacity that requests of the class must leave to those of higher rank.
     */
    double reservedShare(int classIndex) {
        return reservedShares[classIndex];
    }

    private void rank() {
        int otherClasses = Math.max(1, workUs.length - 1);
        for (int i = 0; i < workUs.length; i++) {
            reservedShares[i] = MAX_RESERVED_SHARE * countOfHigherRank(i) / otherClasses;
        }
    }

    private int countOfHigherRank(int classIndex) {
        int count = 0;
        for (int other = 0; other < workUs.length; other++) {
            if (weightPerWork(other) > weightPerWork(classIndex)) {
                count++;
            }
        }
        return count;
    }

    private double weightPerWork(int classIndex) {
        return classes.get(classIndex).priorityWeight() / workUs[classIndex];
    }
}
