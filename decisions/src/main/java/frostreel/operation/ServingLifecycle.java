package frostreel.operation;

/**
 * Who may come in, and when those who are in have to leave: one state for a start, serving, emptying by the
 * operators, handing over to a successor, and an end. It is told events and the time, and answers questions.
 * Times are microseconds on one clock that only advances.
 *
 * <p>A connection is closed in one of three ways, each later one stricter: after its answer in hand, where
 * its client cannot have asked again yet; in a sweep of those that rest; and even before its first request.
 */
public final class ServingLifecycle {
    /** A front asks every 0.1 s, and deals out new connections for 0.2 s after the first no. */
    static final long LOAD_BALANCER_DELAY_US = 400_000;
    /** Emptying, whoever has not asked again for so long after the call is between requests for good. */
    static final long PAUSE_IDLE_CLOSE_DELAY_US = 1_400_000;
    /** Handing over, the same: the longer, the fewer closes cross a request; SIGKILL comes at 3.7 s. */
    static final long HANDOVER_IDLE_CLOSE_DELAY_US = 2_000_000;
    /** After SIGTERM clients still come for a while; for so long they are served as ever. */
    public static final long SHUTDOWN_GRACE_US = 700_000;
    /** SIGKILL comes no sooner than the longest deadline, or this where that is longer, and the stay. */
    private static final long KILL_DEADLINE_CAP_US = 3_000_000;
    /** So long before SIGKILL is due, all that was taken after the stay is answered. */
    private static final long KILL_MARGIN_US = 400_000;
    /**
     * A client whose connection was ended is waited for so long to end it too. What it had sent before it
     * knew is read and dropped meanwhile: to close over it would reset the connection, and its last answer
     * might be lost. Less than the margin before SIGKILL, so that a sweep ends in order.
     */
    public static final long LINGER_US = 300_000;

    private static final long NEVER_US = Long.MAX_VALUE;
    private final boolean hasSuccessor;
    private final long lingerUs;
    private volatile long longestDeadlineUs;
    private boolean ready;
    private long pausedAtUs = NEVER_US;
    private long terminatedAtUs = NEVER_US;

    /**
     * {@code hasSuccessor}: a successor accepts from the same socket, so that nobody is turned away by an end;
     * {@code longestDeadlineUs}: the longest deadline of a request.
     */
    public ServingLifecycle(boolean hasSuccessor, long longestDeadlineUs) {
        this(hasSuccessor, longestDeadlineUs, LINGER_US);
    }

    /** {@code lingerUs}: in place of {@link #LINGER_US}. */
    public ServingLifecycle(boolean hasSuccessor, long longestDeadlineUs, long lingerUs) {
        this.hasSuccessor = hasSuccessor;
        this.longestDeadlineUs = longestDeadlineUs;
        this.lingerUs = lingerUs;
    }

    /** For how long a client is waited for whose connection was ended. */
    public long lingerUs() {
        return lingerUs;
    }

    /** Other settings have another longest deadline of a request. */
    public void setLongestDeadlineUs(long deadlineUs) {
        longestDeadlineUs = deadlineUs;
    }

    /**
     * For so long at the most an end is waited for; from any thread. What came at the end of the stay has its
     * whole time, and its answer has to be on its way before the process ends.
     */
    public long shutdownTimeoutUs() {
        return longestDeadlineUs + SHUTDOWN_GRACE_US + KILL_MARGIN_US;
    }

    /** Servers are known: serving may begin. */
    public void markReady() {
        ready = true;
    }

    /** The operators empty the program; a second call changes nothing. */
    public void pause(long nowUs) {
        pausedAtUs = Math.min(pausedAtUs, nowUs);
    }

    public void resume() {
        pausedAtUs = NEVER_US;
    }

    /** SIGTERM. */
    public void terminate(long nowUs) {
        terminatedAtUs = Math.min(terminatedAtUs, nowUs);
    }

    /** What the status is: whether this process takes clients. */
    public ReadinessStatus status() {
        return terminatedAtUs != NEVER_US && hasSuccessor
                ? ReadinessStatus.STOPPING
                : !ready ? ReadinessStatus.STARTING : pausedAtUs != NEVER_US ? ReadinessStatus.DRAINING : ReadinessStatus.READY;
    }

    public boolean isPaused() {
        return pausedAtUs != NEVER_US;
    }

    /** Whether to accept: from a shared socket, only what the other process would not serve better. */
    public boolean accepts(long nowUs) {
        return hasSuccessor ? ready && terminatedAtUs == NEVER_US : nowUs < lastResponseUs();
    }

    /** Whether a connection is closed with its answer. */
    public boolean closesAfterResponse(long nowUs) {
        return pausedAtUs != NEVER_US && nowUs - pausedAtUs >= LOAD_BALANCER_DELAY_US || hasSuccessor && terminatedAtUs != NEVER_US || nowUs >= lastResponseUs();
    }

    /** From when on those that rest are closed, {@code Long.MAX_VALUE} for never. */
    public long closeIdleAtUs() {
        long emptying = pausedAtUs == NEVER_US ? NEVER_US : pausedAtUs + PAUSE_IDLE_CLOSE_DELAY_US;
        long ending = terminatedAtUs == NEVER_US ? NEVER_US : hasSuccessor ? Math.min(terminatedAtUs + HANDOVER_IDLE_CLOSE_DELAY_US, lastResponseUs()) : lastResponseUs();
        return Math.min(emptying, ending);
    }

    /** Whether even those are closed that have yet to ask for the first time. */
    public boolean closesUnused(long nowUs) {
        return nowUs >= lastResponseUs();
    }

    /** No request that comes after the stay may be in hand any more at this time. */
    public long lastResponseUs() {
        return terminatedAtUs == NEVER_US ? NEVER_US : terminatedAtUs + Math.min(longestDeadlineUs, KILL_DEADLINE_CAP_US) + SHUTDOWN_GRACE_US - KILL_MARGIN_US;
    }

    /** By when a request that comes now has to be answered; {@code Long.MAX_VALUE} for no such bound. */
    public long responseDueUs(long nowUs) {
        return terminatedAtUs != NEVER_US && nowUs >= terminatedAtUs + SHUTDOWN_GRACE_US ? lastResponseUs() : NEVER_US;
    }

    /** Whether nothing keeps the process any longer. */
    public boolean mayExit(long nowUs, int openClients, int openRequests) {
        return terminatedAtUs != NEVER_US && openClients == 0 && openRequests == 0 && (hasSuccessor || nowUs >= terminatedAtUs + SHUTDOWN_GRACE_US);
    }
}
