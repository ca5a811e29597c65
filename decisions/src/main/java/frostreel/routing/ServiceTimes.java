package frostreel.routing;

import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.Settings;
import java.util.Arrays;
import java.util.List;

/**
 * Service time of each request class: the time to serve a request when nothing is queued. Mean latencies would include
 * queueing, which under overload makes a short query seem as expensive as a long one.
 */
final class ServiceTimes {
    /** Weight of a response that was faster than the service time of its class so far. */
    private static final double FASTER_WEIGHT = 0.2;
    /** Weight of a response that was slower, which is mostly queueing. */
    private static final double SLOWER_WEIGHT = 0.001;
    /** Initial estimate of a class: its latency objective divided by this. */
    private static final double OBJECTIVE_DIVISOR = 5.0;

    private List<RequestClass> classes;
    /** Service time in microseconds by class; an estimate until the class is {@link #observed}. */
    private double[] serviceUs = {};

    /** Whether a request was served, by class. */
    private boolean[] observed = {};

    ServiceTimes(Settings settings) {
        onSettings(settings);
    }

    /** Applies new settings; existing classes keep their service times. */
    void onSettings(Settings settings) {
        classes = settings.classes();
        int knownCount = serviceUs.length;
        serviceUs = Arrays.copyOf(serviceUs, classes.size());
        observed = Arrays.copyOf(observed, serviceUs.length);
        for (int i = knownCount; i < serviceUs.length; i++) {
            serviceUs[i] = initialEstimateUs(i);
        }
    }

    /** Returns the service time of a class in microseconds. */
    double serviceTimeUs(int classIndex) {
        return serviceUs[classIndex];
    }

    /** Records a response to a request of this class that took {@code tookUs}. */
    void recordResponse(int classIndex, long tookUs) {
        double weight = weight(classIndex, tookUs);
        serviceUs[classIndex] += weight * (tookUs - serviceUs[classIndex]);
        observed[classIndex] = true;
        estimateUnobserved();
    }

    private double weight(int classIndex, long tookUs) {
        if (!observed[classIndex]) {
            return 1;
        }
        return tookUs < serviceUs[classIndex] ? FASTER_WEIGHT : SLOWER_WEIGHT;
    }

    /**
     * Estimates the classes without a response: their initial estimates, scaled by the ratio of the measured service
     * times of the other classes to the initial estimates of those.
     */
    private void estimateUnobserved() {
        double estimatedUs = 0;
        double measuredUs = 0;
        for (int i = 0; i < serviceUs.length; i++) {
            if (observed[i]) {
                estimatedUs += initialEstimateUs(i);
                measuredUs += serviceUs[i];
            }
        }
        for (int i = 0; i < serviceUs.length; i++) {
            if (!observed[i]) {
                serviceUs[i] = initialEstimateUs(i) * measuredUs / estimatedUs;
            }
        }
    }

    private double initialEstimateUs(int classIndex) {
        return classes.get(classIndex).latencyObjectiveUs() / OBJECTIVE_DIVISOR;
    }
}
