package frostreel.routing;

import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.Settings;
import java.util.Arrays;
import java.util.List;

/**
 * The service time of each request class: in what time its requests are observed when nothing is queued. Mean times
 * would include queueing, and under overload made a short query seem as expensive as a long one.
 */
final class ServiceTimes {
    /** Weight of an answer that was quicker than the service time of its class so far. */
    private static final double FASTER_WEIGHT = 0.2;
    /** Weight of an answer that was slower, which is mostly queueing. */
    private static final double SLOWER_WEIGHT = 0.001;
    /** A class that nothing is known of is expected to take its latency objective divided by this. */
    private static final double OBJECTIVE_DIVISOR = 5.0;

    private List<RequestClass> classes;
    /** By class; an estimate until the class was {@link #observed}. */
    private double[] serviceUs = {};

    private boolean[] observed = {};

    ServiceTimes(Settings settings) {
        onSettings(settings);
    }

    /** New settings are in force; classes that are already known keep what was learned of them. */
    void onSettings(Settings settings) {
        classes = settings.classes();
        int knownCount = serviceUs.length;
        serviceUs = Arrays.copyOf(serviceUs, classes.size());
        observed = Arrays.copyOf(observed, serviceUs.length);
        for (int i = knownCount; i < serviceUs.length; i++) {
            serviceUs[i] = initialEstimateUs(i);
        }
    }

    /** The service time of a class in microseconds. */
    double serviceTimeUs(int classIndex) {
        return serviceUs[classIndex];
    }

    /** A request of this class was observed in {@code tookUs}. */
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

    /** Expects classes without an answer to be off from their estimate as much as the others are from theirs. */
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
