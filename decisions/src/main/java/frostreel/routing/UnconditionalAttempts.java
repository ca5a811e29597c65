package frostreel.routing;

/**
 * What one process may send to one starting member without any response: an equal part of some work, and trials. Owned
 * by {@link SlowStart}, which draws the random numbers.
 */
final class UnconditionalAttempts {
    /** Trials that all processes together send within an overload window, if each has requests for one. */
    private static final int TRIALS_PER_WINDOW = 2;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** When the slots for trials begin, relative to their cycles, from 0 to 1. */
    private final double trialPhase;
    /** Time from which trials may be sent. */
    private final long trialsFromUs;

    private long lastTrialUs = NEVER;
    /** The interval for which {@link #workUs} was drawn. */
    private long interval;
    /** Work that may still be sent in this interval, in microseconds. */
    private double workUs;
    /** Share of a request's work that must be left of that before the request is sent. */
    private double sendThreshold;

    /**
     * Nothing may be sent in the present interval, since this may be one of several processes that started in it.
     *
     * @param nextIntervalUs a time at least one interval away
     */
    UnconditionalAttempts(double trialPhase, long interval, long nextIntervalUs) {
        this.trialPhase = trialPhase;
        this.interval = interval;
        trialsFromUs = nextIntervalUs;
    }

    /** Drops what is left of the present interval, since the member has started in it. */
    void skipInterval(long present) {
        interval = present;
        workUs = 0;
    }

    /** Whether the work of this interval has been drawn. */
    boolean isDrawn(long present) {
        return interval == present;
    }

    /** Sets the work of a new interval, and the random threshold from 0 to 1, as it is mostly less than one request. */
    void draw(long present, double newWorkUs, double threshold) {
        interval = present;
        workUs = newWorkUs;
        sendThreshold = threshold;
    }

    /** Whether the work that is left covers a request of this mean response time. */
    boolean covers(double requestUs) {
        return workUs > sendThreshold * requestUs;
    }

    /**
     * Whether one request may be sent as a trial, so that a small fleet need not wait for the first response. Two
     * processes may send one in each window; of more, each may in a part of the time that is shorter in proportion, at
     * times of its own.
     */
    boolean isTrialDue(long nowUs, long windowUs, int processes) {
        if (nowUs < trialsFromUs || nowUs - lastTrialUs < windowUs) {
            return false;
        }
        if (processes <= TRIALS_PER_WINDOW) {
            return true;
        }
        double cycleUs = (double) windowUs * processes / TRIALS_PER_WINDOW;
        double position = nowUs / cycleUs + trialPhase;
        return (position - Math.floor(position)) * cycleUs < windowUs / 2.0;
    }

    /**
     * Charges a request of this mean response time, as a trial if the work that is left does not cover it. Returns the
     * last interval in which the charge is valid.
     */
    long spend(long nowUs, double requestUs) {
        if (covers(requestUs)) {
            workUs -= requestUs;
        } else {
            lastTrialUs = nowUs;
        }
        return interval;
    }

    /** Returns the work that may still be sent in this interval, in microseconds. */
    double workUs() {
        return workUs;
    }
}
