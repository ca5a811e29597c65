package frostreel.operation;

/**
 * Timing rules of the process lifecycle: when the process accepts connections, when it closes them and when it may
 * exit. {@link LifecycleState} defines the states and transitions.
 *
 * <p>Callers report events together with their time, and query the resulting rules. The class uses no sockets and
 * reads no clock. Times are microseconds on one monotonic clock. Confined to the event loop, unless a method says
 * otherwise.
 *
 * <p>Connections are closed in three stages: first each one after a response, when its client cannot have sent
 * another request yet ({@link #closesAfterResponse}); then all idle ones at once ({@link #closeIdleAtUs}); finally
 * also those that have not sent a request yet ({@link #closesUnused}).
 */
public final class ServingLifecycle {
    /** The time of an event that is not scheduled. */
    public static final long NEVER_US = Long.MAX_VALUE;
    /** How long clients are served as usual after SIGTERM, because new ones keep connecting for a while. */
    public static final long SHUTDOWN_GRACE_US = 700_000;
    /**
     * How long a client may take to close its side of a connection after the process has closed its own. Data
     * received meanwhile is read and discarded, because closing a socket with unread data resets the connection and
     * may lose the last response. Shorter than {@link #KILL_MARGIN_US}, so that the final close completes before
     * SIGKILL.
     */
    public static final long LINGER_US = 300_000;

    /**
     * Delay from PAUSE until connections are closed after a response. A load balancer polls the readiness every 100
     * ms and keeps assigning new connections for 200 ms after the first negative response.
     */
    static final long LOAD_BALANCER_DELAY_US = 400_000;
    /** Delay from PAUSE to closing idle connections; a client that has sent no request by then has no more to send. */
    static final long PAUSE_IDLE_CLOSE_DELAY_US = 1_400_000;
    /**
     * Delay from SIGTERM to closing idle connections if a successor takes over. A longer delay leaves fewer requests
     * in transit on a connection that is being closed; the limit is SIGKILL after 3.7 s.
     */
    static final long HANDOVER_IDLE_CLOSE_DELAY_US = 2_000_000;
    /** SIGKILL follows the grace period by the longest request deadline, or by this time if that is shorter. */
    private static final long KILL_DEADLINE_CAP_US = 3_000_000;
    /** How long before SIGKILL the last response must be sent. */
    private static final long KILL_MARGIN_US = 400_000;

    private final boolean hasSuccessor;
    private final long lingerUs;
    private long longestDeadlineUs;

    private LifecycleState state = LifecycleState.STARTING;
    /** When operators paused the process; undefined unless {@link #state} is paused. */
    private long pausedAtUs;
    /** When SIGTERM arrived; undefined before that. */
    private long sigtermAtUs;

    /**
     * Creates a lifecycle in the starting state.
     *
     * @param hasSuccessor whether another process accepts connections on the same socket when this one ends, so that
     *     no client is rejected during the switch
     * @param longestDeadlineUs the longest deadline that a request may have
     */
    public ServingLifecycle(boolean hasSuccessor, long longestDeadlineUs) {
        this(hasSuccessor, longestDeadlineUs, LINGER_US);
    }

    /**
     * Creates a lifecycle with a linger time other than {@link #LINGER_US}.
     *
     * @param lingerUs how long a client may take to close its side of a connection after the process has closed its
     *     own
     */
    public ServingLifecycle(boolean hasSuccessor, long longestDeadlineUs, long lingerUs) {
        this.hasSuccessor = hasSuccessor;
        this.longestDeadlineUs = longestDeadlineUs;
        this.lingerUs = lingerUs;
    }

    /** Records that startup is complete: servers are known, commands are restored and sockets are open. */
    public void markReady() {
        state = state.after(LifecycleEvent.READY);
    }

    /** Records that operators ask clients to disconnect; no effect if already paused. */
    public void pause(long nowUs) {
        if (!state.isPaused()) {
            pausedAtUs = nowUs;
        }
        state = state.after(LifecycleEvent.PAUSE);
    }

    /** Records that operators end the pause. */
    public void resume() {
        state = state.after(LifecycleEvent.RESUME);
    }

    /** Records SIGTERM; no effect if it has already arrived. */
    public void terminate(long nowUs) {
        if (!state.isTerminating()) {
            sigtermAtUs = nowUs;
        }
        state = state.after(hasSuccessor ? LifecycleEvent.HAND_OVER : LifecycleEvent.STOP);
    }

    /**
     * Sets the longest deadline that a request may have after a settings change. After SIGTERM it can only shorten the
     * shutdown: the time of SIGKILL may follow the settings before the change or those after it.
     */
    public void setLongestDeadlineUs(long longestDeadlineUs) {
        this.longestDeadlineUs =
                state.isTerminating() ? Math.min(this.longestDeadlineUs, longestDeadlineUs) : longestDeadlineUs;
    }

    LifecycleState state() {
        return state;
    }

    /** The readiness that is reported to load balancers and operators. */
    public ReadinessStatus status() {
        return state.status();
    }

    /** How long a client may take to close its side of a connection after the process has closed its own. */
    public long lingerUs() {
        return lingerUs;
    }

    /**
     * Upper bound on the duration of a shutdown while no client is owed a response: a request that arrives at the end
     * of the grace period may use its whole deadline, and its response must be sent before the process exits.
     */
    public long shutdownTimeoutUs() {
        return longestDeadlineUs + SHUTDOWN_GRACE_US + KILL_MARGIN_US;
    }

    /**
     * Whether to exit although clients are still connected. Responses that are owed are not given up however long they
     * take: their requests may have come under settings with longer deadlines, or their servers or clients may be slow.
     *
     * @param owedResponses the number of clients that have not received their whole response yet
     */
    public boolean mustExit(long nowUs, int owedResponses) {
        return state.isTerminating() && owedResponses == 0 && nowUs >= sigtermAtUs + shutdownTimeoutUs();
    }

    /** Whether to accept connections. With a successor on the same socket, only after startup and before SIGTERM. */
    public boolean accepts(long nowUs) {
        if (hasSuccessor) {
            return state == LifecycleState.SERVING || state == LifecycleState.DRAINING;
        }
        return nowUs < lastResponseUs();
    }

    /** Whether to close a connection as soon as its response has been sent. */
    public boolean closesAfterResponse(long nowUs) {
        boolean pausedLongEnough = state.isPaused() && nowUs - pausedAtUs >= LOAD_BALANCER_DELAY_US;
        return pausedLongEnough || state.isHandingOver() || nowUs >= lastResponseUs();
    }

    /** When to close all idle connections; {@link #NEVER_US} in normal service. */
    public long closeIdleAtUs() {
        long afterPauseUs = state.isPaused() ? pausedAtUs + PAUSE_IDLE_CLOSE_DELAY_US : NEVER_US;
        long afterSigtermUs = state.isHandingOver() ? sigtermAtUs + HANDOVER_IDLE_CLOSE_DELAY_US : NEVER_US;
        return Math.min(lastResponseUs(), Math.min(afterPauseUs, afterSigtermUs));
    }

    /** Whether to close also connections that have not sent a request yet. */
    public boolean closesUnused(long nowUs) {
        return nowUs >= lastResponseUs();
    }

    /** The time by which the last response must be sent, shortly before SIGKILL; {@link #NEVER_US} before SIGTERM. */
    public long lastResponseUs() {
        if (!state.isTerminating()) {
            return NEVER_US;
        }
        long killDelayUs = Math.min(longestDeadlineUs, KILL_DEADLINE_CAP_US) + SHUTDOWN_GRACE_US;
        return sigtermAtUs + killDelayUs - KILL_MARGIN_US;
    }

    /**
     * The time by which a request that arrives now must be answered, in addition to its own deadline; {@link
     * #NEVER_US} if there is no such limit.
     */
    public long responseDueUs(long nowUs) {
        return isGracePeriodOver(nowUs) ? lastResponseUs() : NEVER_US;
    }

    /** Whether the process may exit: it is shutting down and has no open clients or requests. */
    public boolean mayExit(long nowUs, int openClients, int openRequests) {
        if (!state.isTerminating() || openClients > 0 || openRequests > 0) {
            return false;
        }
        return state.isHandingOver() || isGracePeriodOver(nowUs);
    }

    private boolean isGracePeriodOver(long nowUs) {
        return state.isTerminating() && nowUs >= sigtermAtUs + SHUTDOWN_GRACE_US;
    }
}
