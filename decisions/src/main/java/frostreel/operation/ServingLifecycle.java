package frostreel.operation;

/**
 * The timing rules of this process's life: when it accepts connections, when it closes them, and when it may
 * exit. {@link LifecycleState} holds the states and their transitions.
 *
 * <p>Callers report events with their time, and ask. The class holds no sockets and reads no clock. Times are
 * microseconds on one clock that only advances. Confined to the event loop, except where a method says
 * otherwise.
 *
 * <p>Connections are closed in three stages: first each one after a response, as its client cannot have sent
 * another request yet ({@link #closesAfterResponse}); then all idle ones at once ({@link #closeIdleAtUs}); last
 * even those that have not sent a request yet ({@link #closesUnused}).
 */
public final class ServingLifecycle {
    /** The time of an event that is not planned. */
    public static final long NEVER_US = Long.MAX_VALUE;
    /** How long clients are served as before after SIGTERM, as they keep connecting for a while. */
    public static final long SHUTDOWN_GRACE_US = 700_000;
    /**
     * How long a client whose connection was ended may take to end its side. Its bytes are read and dropped
     * meanwhile: closing with bytes unread would reset the connection, and could lose its last response.
     * Shorter than {@link #KILL_MARGIN_US}, so that the final close completes in order.
     */
    public static final long LINGER_US = 300_000;

    /**
     * From PAUSE until clients may be closed: a load balancer polls the readiness every 0.1 s and goes on
     * assigning new connections for 0.2 s after the first negative answer.
     */
    static final long LOAD_BALANCER_DELAY_US = 400_000;
    /** From PAUSE until idle connections are closed; a client that sent no request by then has no more to send. */
    static final long PAUSE_IDLE_CLOSE_DELAY_US = 1_400_000;
    /**
     * From SIGTERM until idle connections are closed when a successor takes over. The longer this is, the fewer
     * requests are in transit on a connection that is being closed; SIGKILL comes at 3.7 s.
     */
    static final long HANDOVER_IDLE_CLOSE_DELAY_US = 2_000_000;
    /** SIGKILL follows after the grace period and the longest deadline of a request, the latter capped at this. */
    private static final long KILL_DEADLINE_CAP_US = 3_000_000;
    /** How long before SIGKILL the last response must be sent. */
    private static final long KILL_MARGIN_US = 400_000;

    private final boolean hasSuccessor;
    private final long lingerUs;
    /** Volatile, as the thread that waits for the exit reads it too. */
    private volatile long longestDeadlineUs;

    private LifecycleState state = LifecycleState.STARTING;
    /** When operators paused the process; undefined in a state that is not paused. */
    private long pausedAtUs;
    /** When SIGTERM arrived; undefined before that. */
    private long sigtermAtUs;

    /**
     * @param hasSuccessor whether another process accepts from the same socket when this one ends, so that no
     *     client is rejected meanwhile
     * @param longestDeadlineUs the longest deadline that a request may have
     */
    public ServingLifecycle(boolean hasSuccessor, long longestDeadlineUs) {
        this(hasSuccessor, longestDeadlineUs, LINGER_US);
    }

    /**
     * As {@link #ServingLifecycle(boolean, long)}, with another linger time than {@link #LINGER_US}.
     *
     * @param lingerUs how long a client whose connection was ended may take to end its side
     */
    public ServingLifecycle(boolean hasSuccessor, long longestDeadlineUs, long lingerUs) {
        this.hasSuccessor = hasSuccessor;
        this.longestDeadlineUs = longestDeadlineUs;
        this.lingerUs = lingerUs;
    }

    /** Reports that servers are known, commands are restored and sockets are open: serving may begin. */
    public void markReady() {
        state = state.after(LifecycleEvent.READY);
    }

    /** Reports that operators ask clients to leave; repeated, it changes nothing. */
    public void pause(long nowUs) {
        if (!state.isPaused()) {
            pausedAtUs = nowUs;
        }
        state = state.after(LifecycleEvent.PAUSE);
    }

    /** Reports that operators end the pause. */
    public void resume() {
        state = state.after(LifecycleEvent.RESUME);
    }

    /** Reports SIGTERM; repeated, it changes nothing. */
    public void terminate(long nowUs) {
        if (!state.isTerminating()) {
            sigtermAtUs = nowUs;
        }
        state = state.after(hasSuccessor ? LifecycleEvent.HAND_OVER : LifecycleEvent.STOP);
    }

    /** The longest deadline that a request may have, as of new settings. */
    public void setLongestDeadlineUs(long longestDeadlineUs) {
        this.longestDeadlineUs = longestDeadlineUs;
    }

    /** The state of the process. */
    LifecycleState state() {
        return state;
    }

    /** What load balancers and operators are told about this process. */
    public ReadinessStatus status() {
        return state.status();
    }

    /** How long a client whose connection was ended may take to end its side. */
    public long lingerUs() {
        return lingerUs;
    }

    /**
     * The longest that a shutdown may take: a request that arrives at the end of the grace period has its whole
     * deadline, and its response must be sent before the process exits. May be called from any thread.
     */
    public long shutdownTimeoutUs() {
        return longestDeadlineUs + SHUTDOWN_GRACE_US + KILL_MARGIN_US;
    }

    /** Whether to accept connections; with a successor at the same socket only while ready and before SIGTERM. */
    public boolean accepts(long nowUs) {
        if (hasSuccessor) {
            return state == LifecycleState.SERVING || state == LifecycleState.DRAINING;
        }
        return nowUs < lastResponseUs();
    }

    /** Whether to close a connection as soon as it has its response. */
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

    /** Whether to close even connections that have not sent a request yet. */
    public boolean closesUnused(long nowUs) {
        return nowUs >= lastResponseUs();
    }

    /** When the last response must be sent, shortly before SIGKILL; {@link #NEVER_US} before SIGTERM. */
    public long lastResponseUs() {
        if (!state.isTerminating()) {
            return NEVER_US;
        }
        long killDelayUs = Math.min(longestDeadlineUs, KILL_DEADLINE_CAP_US) + SHUTDOWN_GRACE_US;
        return sigtermAtUs + killDelayUs - KILL_MARGIN_US;
    }

    /** By when a request that arrives now must be answered; {@link #NEVER_US} if its own deadline is all. */
    public long responseDueUs(long nowUs) {
        return isGracePeriodOver(nowUs) ? lastResponseUs() : NEVER_US;
    }

    /** Whether nothing keeps the process from exiting. */
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
