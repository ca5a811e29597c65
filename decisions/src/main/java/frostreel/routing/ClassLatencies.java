package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.Settings;
import java.util.Arrays;

/** Mean latency of each request class over all members, and its mean over the requests sent recently. */
final class ClassLatencies {
    /** Initial mean of a class: its latency objective divided by this. */
    private static final double OBJECTIVE_DIVISOR = 5.0;
    /** Weight of a new response in the mean of its class; small, since all members contribute to one mean. */
    private static final double RESPONSE_WEIGHT = 0.02;
    /** Weight of a new request in the mean over the requests sent. */
    private static final double REQUEST_WEIGHT = 0.15;
    /** A class is long-running if its mean latency is this many times that of the requests sent recently. */
    private static final double LONG_RUNNING_FACTOR = 4;

    private double[] meanUs = {};
    /** Mean, over the requests sent recently, of the mean latency of their classes. */
    private double meanSentUs;

    ClassLatencies(Settings settings) {
        onSettings(settings);
        meanSentUs = Arrays.stream(meanUs).min().orElse(Double.MAX_VALUE);
    }

    /** Applies new settings; existing classes keep their mean latency. */
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

    /** Records that a request of this class is sent. */
    void recordSend(int classIndex) {
        meanSentUs += REQUEST_WEIGHT * (meanUs[classIndex] - meanSentUs);
    }

    /** Records a response to a request of this class. */
    void recordResponse(int classIndex, long tookUs) {
        meanUs[classIndex] += RESPONSE_WEIGHT * (tookUs - meanUs[classIndex]);
    }

    /** Whether any member may serve the request and it is slow because of its own work rather than a queue. */
    boolean isLongRunning(PendingRequest request) {
        return request.requestClass.access() == Access.ANY
                && meanUs[request.classIndex()] > LONG_RUNNING_FACTOR * meanSentUs;
    }
}
