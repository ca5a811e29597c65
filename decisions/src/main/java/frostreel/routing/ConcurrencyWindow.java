package frostreel.routing;

/**
 * Limits how many attempts this router has in flight to one member at a time. The window grows while answers
 * come in time and shrinks on signs of a queue (additive increase, multiplicative decrease), so that one bound
 * covers overload, hanging or slow members, and the burst after a failover. A member that rejects attempts or
 * cannot be connected to is also paused, with exponential backoff.
 */
final class ConcurrencyWindow {
    /** Attempts in flight to a member that is new, or that has just become primary. */
    private static final double INITIAL_SIZE = 4;
    /** No window falls below one attempt: without any, a member's recovery would never be noticed. */
    private static final double MIN_SIZE = 1;
    /** What is left of a window after a timeout, a rejection or a late answer. */
    private static final double DECREASE_FACTOR = 0.7;
    /** A window grows only while at least this part of it is in use, since else nothing was learned. */
    private static final double MIN_USE_TO_GROW = 0.5;
    /** The first pause is the class's mean latency over this. */
    private static final int INITIAL_PAUSE_DIVISOR = 4;
    /** How often the pause may double. */
    private static final int MAX_DOUBLINGS = 8;
    /** Longest pause in microseconds, so that a recovered member is used again within half a second. */
    private static final long MAX_PAUSE_US = 500_000;

    private double size = INITIAL_SIZE;
    /** Until the first sign of a queue, the window grows by one with every answer. */
    private boolean growingFast = true;

    private long shrunkAtUs;
    private long pausedUntilUs;
    /** Rejections and failed connections since the last answer in time. */
    private int rejectionsSinceSuccess;

    /** Whether one more attempt may be sent when only {@code share} of the window may be used. */
    boolean hasRoom(long nowUs, int inFlight, double share) {
        return !isPaused(nowUs) && inFlight < Math.max(MIN_SIZE, size * share);
    }

    boolean isPaused(long nowUs) {
        return nowUs < pausedUntilUs;
    }

    /** Whether only one attempt at a time is allowed. */
    boolean isAtMinimum() {
        return size <= MIN_SIZE;
    }

    /** Whether it is smaller than that of a new member: there were recent signs of a queue. */
    boolean isBelowInitial() {
        return size < INITIAL_SIZE;
    }

    /** Starts over for a member that has just become primary, so that waiting writes do not flood it. */
    void restart() {
        size = Math.min(size, INITIAL_SIZE);
        growingFast = true;
    }

    /** An answer came in time; {@code inFlight} no longer counts its attempt. */
    void grow(int inFlight) {
        rejectionsSinceSuccess = 0;
        if (inFlight + 1 >= size * MIN_USE_TO_GROW) {
            size += growingFast ? 1 : 1 / size;
        }
    }

    /** A sign of a queue; counts at most once in {@code latencyUs}, as several attempts see the same queue. */
    void shrink(long nowUs, int inFlight, double latencyUs) {
        growingFast = false;
        if (nowUs - shrunkAtUs > latencyUs) {
            size = Math.max(MIN_SIZE, Math.min(size, inFlight + 1) * DECREASE_FACTOR);
            shrunkAtUs = nowUs;
        }
    }

    /**
     * The member rejected an attempt or could not be connected to. It does so at once, and without a pause
     * would attract a storm of attempts.
     */
    void pause(long nowUs, double latencyUs) {
        long pauseUs = ((long) latencyUs / INITIAL_PAUSE_DIVISOR) << Math.min(rejectionsSinceSuccess++, MAX_DOUBLINGS);
        pausedUntilUs = nowUs + Math.min(MAX_PAUSE_US, pauseUs);
    }
}
