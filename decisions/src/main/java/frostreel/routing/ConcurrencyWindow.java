package frostreel.routing;

/**
 * Limits the attempts that this router has in flight to one member. The window grows while responses arrive in time and
 * shrinks on signs of a queue (additive increase, multiplicative decrease). This one limit covers overload, hanging or
 * slow members, and the burst after a failover. A member that rejects attempts or cannot be connected to is also
 * paused, with exponential backoff.
 */
final class ConcurrencyWindow {
    /** Initial size for a new member, and upper limit for one that has just become primary. */
    private static final double INITIAL_SIZE = 4;
    /** Minimum size: without any attempt, the recovery of a member would never be noticed. */
    private static final double MIN_SIZE = 1;
    /** Factor by which a timeout, a rejection or a late response reduces the window. */
    private static final double DECREASE_FACTOR = 0.7;
    /**
     * Share of the window that must be in use for it to grow, since a response at lower use shows nothing about a
     * larger window.
     */
    private static final double MIN_USE_TO_GROW = 0.5;
    /** The first pause is the mean latency of the request class divided by this. */
    private static final int INITIAL_PAUSE_DIVISOR = 4;
    /** Maximum number of times that the pause doubles. */
    private static final int MAX_DOUBLINGS = 8;
    /** Maximum pause in microseconds: a recovered member is used again within half a second. */
    private static final long MAX_PAUSE_US = 500_000;

    private double size = INITIAL_SIZE;
    /**
     * Whether each response in time enlarges the window by one: until the first sign of a queue, and again after a
     * restart.
     */
    private boolean growingFast = true;

    private long shrunkAtUs;
    private long pausedUntilUs;
    /** Rejections and failed connections since the last response in time. */
    private int rejectionsSinceSuccess;

    /** Whether one more attempt may be sent if it may use only {@code share} of the window. */
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

    /** Whether the window is smaller than that of a new member, which indicates recent signs of a queue. */
    boolean isBelowInitial() {
        return size < INITIAL_SIZE;
    }

    /**
     * Restarts the fast growth from at most the initial size, for a member that has just become primary: writes that
     * are queued must not flood it.
     */
    void restart() {
        size = Math.min(size, INITIAL_SIZE);
        growingFast = true;
    }

    /** Records a response in time; {@code inFlight} no longer counts its attempt. */
    void grow(int inFlight) {
        rejectionsSinceSuccess = 0;
        if (inFlight + 1 >= size * MIN_USE_TO_GROW) {
            size += growingFast ? 1 : 1 / size;
        }
    }

    /**
     * Records a sign of a queue. Counts at most once in {@code latencyUs}, since several attempts see the same queue.
     */
    void shrink(long nowUs, int inFlight, double latencyUs) {
        growingFast = false;
        if (nowUs - shrunkAtUs > latencyUs) {
            size = Math.max(MIN_SIZE, Math.min(size, inFlight + 1) * DECREASE_FACTOR);
            shrunkAtUs = nowUs;
        }
    }

    /**
     * Pauses a member that rejected an attempt or could not be connected to. Such attempts end at once, so that the
     * member would attract a storm of attempts without a pause.
     */
    void pause(long nowUs, double latencyUs) {
        long pauseUs = ((long) latencyUs / INITIAL_PAUSE_DIVISOR) << Math.min(rejectionsSinceSuccess++, MAX_DOUBLINGS);
        pausedUntilUs = nowUs + Math.min(MAX_PAUSE_US, pauseUs);
    }
}
