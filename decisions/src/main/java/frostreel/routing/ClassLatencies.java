package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.Settings;
import java.util.Arrays;

/** The mean latency of each request class over all members, and the mean of what is sent. */
final class ClassLatencies {
    /** Until its first answer a class is expected to take its latency objective divided by this. */
    private static final double OBJECTIVE_DIVISOR = 5.0;
    /** Weight of one more answer in a class's mean; small, as all members count into one mean. */
    private static final double RESPONSE_WEIGHT = 0.02;
    /** Weight of one more request in the mean of what is sent. */
    private static final double REQUEST_WEIGHT = 0.15;
    /** A class this many times slower than the mean request is long-running. */
    private static final double LONG_RUNNING_FACTOR = 4;

    private double[] meanUs = {};
    /** The mean latency of the requests that were sent recently. */
    private double meanSentUs;

    ClassLatencies(Settings settings) {
        onSettings(settings);
        meanSentUs = Arrays.stream(meanUs).min().orElse(Double.MAX_VALUE);
    }

    /** New settings are in force; classes that are already known keep what was learned of them. */
    void onSettings(Settings settings) {
        int knownCount = meanUs.length;
        meanUs = Arrays.copyOf(meanUs, settings.classes().size());
        for (int i = knownCount; i < meanUs.length; i++) {
            meanUs[i] = settings.classes().get(i).latencyObjectiveUs() / OBJECTIVE_DIVISOR;
        }
    }

    double meanUs(int classIndex) {
        return meanUs[classIndex];
    }

    /** A request of this class is sent. */
    void recordSend(int classIndex) {
        meanSentUs += REQUEST_WEIGHT * (meanUs[classIndex] - meanSentUs);
    }

    /** A request of this class was answered. */
    void recordResponse(int classIndex, long tookUs) {
        meanUs[classIndex] += RESPONSE_WEIGHT * (tookUs - meanUs[classIndex]);
    }

    /** Whether any member may answer this query, and its own work rather than a queue makes it slow. */
    boolean isLongRunning(PendingRequest request) {
        return request.requestClass.access() == Access.ANY
                && meanUs[request.classIndex()] > LONG_RUNNING_FACTOR * meanSentUs;
    }
}
