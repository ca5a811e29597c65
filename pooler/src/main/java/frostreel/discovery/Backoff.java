package frostreel.discovery;

/** Exponential backoff between connection attempts: doubled with each failure up to a bound, reset by an answer. */
final class Backoff {
    static final long MIN_US = 50_000;
    static final long MAX_US = 1_000_000;

    private long nextUs = MIN_US;

    /** The pause before the next attempt, in microseconds. */
    long nextUs() {
        long pauseUs = nextUs;
        nextUs = Math.min(2 * nextUs, MAX_US);
        return pauseUs;
    }

    void reset() {
        nextUs = MIN_US;
    }
}
