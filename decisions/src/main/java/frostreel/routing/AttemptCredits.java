package frostreel.routing;

import java.util.Arrays;
import java.util.List;

/**
 * Attempts that may be sent to one member, earned by responses. Credits are counted by request class, so that no
 * estimate of work is needed where a response and the attempt that it permits are of the same class. A credit is lost
 * at the end of the interval after the one in which it was earned, however late it is asked for.
 */
final class AttemptCredits {
    /** Value of {@link #spend} where there was no credit. */
    static final long NO_CREDIT = Long.MIN_VALUE;

    private static final int NO_CLASS = -1;
    /** Latency objectives whose ratio is at most this count as equal. */
    private static final double SIMILAR_RATIO = 1.5;

    /** Credits earned in the current interval and in the one before, by class. */
    private int[] current = {};

    private int[] previous = {};
    private long interval;

    /** Drops the credits that have expired by this interval; intervals are numbered in the order of time. */
    void advanceTo(long newInterval) {
        if (newInterval == interval) {
            return;
        }
        int[] expired = previous;
        Arrays.fill(expired, 0);
        if (newInterval != interval + 1) {
            Arrays.fill(current, 0);
        }
        previous = current;
        current = expired;
        interval = newInterval;
    }

    /** Drops all credits. */
    void clear() {
        Arrays.fill(current, 0);
        Arrays.fill(previous, 0);
    }

    /** Adds credits of a class, earned in the current interval. */
    void earn(int classIndex, int count) {
        if (classIndex >= current.length) {
            current = Arrays.copyOf(current, classIndex + 1);
            previous = Arrays.copyOf(previous, classIndex + 1);
        }
        current[classIndex] += count;
    }

    /** Whether there are credits for a request of this class. */
    boolean suffice(int classIndex, List<Router.RequestClass> classes) {
        return sourceClass(classIndex, classes) != NO_CLASS;
    }

    /**
     * Takes the credits for a request of this class, those that expire first. Returns the number of the last interval
     * in which the credits taken are valid, or {@link #NO_CREDIT}.
     */
    long spend(int classIndex, List<Router.RequestClass> classes) {
        int source = sourceClass(classIndex, classes);
        if (source == NO_CLASS) {
            return NO_CREDIT;
        }
        int cost = cost(classIndex, source, classes);
        int fromPrevious = Math.min(cost, previous[source]);
        previous[source] -= fromPrevious;
        current[source] -= cost - fromPrevious;
        return fromPrevious > 0 ? interval : interval + 1;
    }

    /** Returns the number of credits of all classes. */
    int total() {
        return Arrays.stream(current).sum() + Arrays.stream(previous).sum();
    }

    /** The class whose credits pay for a request: its own if possible, else one with enough of them. */
    private int sourceClass(int classIndex, List<Router.RequestClass> classes) {
        if (available(classIndex) > 0) {
            return classIndex;
        }
        for (int i = 0; i < current.length; i++) {
            if (available(i) > 0 && available(i) >= cost(classIndex, i, classes)) {
                return i;
            }
        }
        return NO_CLASS;
    }

    private int available(int classIndex) {
        return classIndex < current.length ? current[classIndex] + previous[classIndex] : 0;
    }

    /**
     * Credits of another class that a request costs: the ratio of the latency objectives, which the settings fix.
     * Classes with similar objectives count as equal.
     */
    private static int cost(int classIndex, int source, List<Router.RequestClass> classes) {
        double objectiveUs = classes.get(classIndex).latencyObjectiveUs();
        double ratio = objectiveUs / Math.max(1, classes.get(source).latencyObjectiveUs());
        return ratio <= SIMILAR_RATIO ? 1 : (int) Math.ceil(ratio);
    }
}
