package frostreel.discovery;

/**
 * Exponential backoff between connection attempts: doubles with each failure up to a maximum, and is reset by a
 * response.
 */
final class Backoff {
    static final long MIN_US = 50_000;
    static final long MAX_US = 1_000_000;

    private long nextUs = MIN_US;

    /** Returns the delay before the next attempt, and doubles the one after it. */
    long nextUs() {
        long pauseUs = nextUs;
        nextUs = Math.min(2 * nextUs, MAX_US);
        return pauseUs;
    }

    void reset() {
        nextUs = MIN_US;
    }
}
