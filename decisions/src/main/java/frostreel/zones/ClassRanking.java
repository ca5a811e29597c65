package frostreel.zones;

import frostreel.routing.Router;
import java.util.Arrays;
import java.util.List;

/** Estimates the work of a request of each class, and ranks the classes by priority weight per unit of work. */
final class ClassRanking {
    /** Weight of the latest request in the moving averages. */
    private static final double SMOOTHING = 0.05;
    /** Until its first request, the work of a class is estimated as its latency objective divided by this. */
    private static final double OBJECTIVE_DIVISOR = 5.0;
    /** Classes are ranked again after this many requests. */
    private static final int REQUESTS_BETWEEN_RANKINGS = 500;
    /** Share of a spill budget that the class of the lowest rank must leave to the others. */
    private static final double MAX_RESERVED_SHARE = 0.7;

    private List<Router.RequestClass> classes = List.of();
    private double[] workUs = {};
    private double[] reservedShares = {};
    private double meanWorkUs;
    private int requestsUntilRanking = REQUESTS_BETWEEN_RANKINGS;

    /** Sets the classes, which begin with the current ones. The estimates for the current classes are kept. */
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

    /** Records a request that was sent, with the usual work of its class. */
    void recordSent(int classIndex, double requestWorkUs) {
        workUs[classIndex] += SMOOTHING * (requestWorkUs - workUs[classIndex]);
        meanWorkUs += SMOOTHING * (requestWorkUs - meanWorkUs);
        if (--requestsUntilRanking <= 0) {
            requestsUntilRanking = REQUESTS_BETWEEN_RANKINGS;
            rank();
        }
    }

    /** Mean work of a request, over all classes. */
    double meanWorkUs() {
        return meanWorkUs;
    }

    /** Share of a spill budget's capacity that requests of the class must leave to classes of higher rank. */
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
