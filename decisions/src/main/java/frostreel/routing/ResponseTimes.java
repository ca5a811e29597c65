package frostreel.routing;

import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.Settings;
import java.util.Arrays;
import java.util.List;

/**
 * Mean response time of each request class. A request takes at least as long as its work, so the mean is never less
 * than the mean work of the class at the members that responded.
 */
final class ResponseTimes {
    /** Least weight of a response, so that the mean follows what changes. */
    private static final double MIN_WEIGHT = 0.005;
    /** Initial estimate of a class: its latency objective divided by this. */
    private static final double OBJECTIVE_DIVISOR = 5.0;

    private List<RequestClass> classes;
    /** Mean in microseconds by class; an estimate until the class has responses. */
    private double[] meanUs = {};

    /** Number of responses by class. */
    private int[] responses = {};

    ResponseTimes(Settings settings) {
        onSettings(settings);
    }

    /** Applies new settings; existing classes keep their mean. */
    void onSettings(Settings settings) {
        classes = settings.classes();
        int knownCount = meanUs.length;
        meanUs = Arrays.copyOf(meanUs, classes.size());
        responses = Arrays.copyOf(responses, meanUs.length);
        for (int i = knownCount; i < meanUs.length; i++) {
            meanUs[i] = initialEstimateUs(i);
        }
    }

    /** Returns the mean response time of a class in microseconds. */
    double meanUs(int classIndex) {
        return meanUs[classIndex];
    }

    /** Records a response to a request of this class that took {@code tookUs}. */
    void recordResponse(int classIndex, long tookUs) {
        double weight = Math.max(MIN_WEIGHT, 1.0 / ++responses[classIndex]);
        meanUs[classIndex] += weight * (tookUs - meanUs[classIndex]);
        estimateUnobserved();
    }

    /**
     * Estimates the classes without a response: their initial estimates, scaled by the ratio of the measured means of
     * the other classes to the initial estimates of those.
     */
    private void estimateUnobserved() {
        double estimatedUs = 0;
        double measuredUs = 0;
        for (int i = 0; i < meanUs.length; i++) {
            if (responses[i] > 0) {
                estimatedUs += initialEstimateUs(i);
                measuredUs += meanUs[i];
            }
        }
        for (int i = 0; i < meanUs.length; i++) {
            if (responses[i] == 0) {
                meanUs[i] = initialEstimateUs(i) * measuredUs / estimatedUs;
            }
        }
    }

    private double initialEstimateUs(int classIndex) {
        return classes.get(classIndex).latencyObjectiveUs() / OBJECTIVE_DIVISOR;
    }
}
