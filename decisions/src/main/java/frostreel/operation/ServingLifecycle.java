package frostreel.operation;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The life of this process as one state machine: starting, serving, draining, handing over, stopping.
 *
 * <p>Callers report events with their time and ask whether to accept a connection, when to close one, and when
 * the process may exit. The class holds no sockets and reads no clock. Times are microseconds on one clock that
 * only advances; {@link #NEVER_US} is the instant that does not come. Confined to the event loop, except where
 * a method says otherwise.
 *
 * <p>Closing connections escalates: first after a response, when the client cannot have asked again yet
 * ({@link #closesAfterResponse}); then all idle ones at once ({@link #closeIdleAtUs}); last even those that
 * have not sent a request yet ({@link #closesUnused}).
 */
public final class ServingLifecycle {
    /** The instant that does not come. */
    public static final long NEVER_US = Long.MAX_VALUE;
    /** How long an exit is delayed after SIGTERM, as clients keep connecting for a while: served as before. */
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
    /** From PAUSE until idle connections are closed; a client that has not asked by then is done asking. */
    static final long PAUSE_IDLE_CLOSE_DELAY_US = 1_400_000;
    /**
     * The same from SIGTERM when a successor takes over. The longer, the fewer closes cross a request on its
     * way; SIGKILL comes at 3.7 s.
     */
    static final long HANDOVER_IDLE_CLOSE_DELAY_US = 2_000_000;
    /** SIGKILL follows after the grace period and the longest deadline of a request, the latter capped at this. */
    private static final long KILL_DEADLINE_CAP_US = 3_000_000;
    /** How long before SIGKILL every request must be answered that came after the grace period. */
    private static final long KILL_MARGIN_US = 400_000;

    /**
     * Where the process stands. Operators may pause it in any state: clients are then asked to leave. Only a
     * paused process that would otherwise be serving is called draining.
     */
    enum State {
        STARTING(ReadinessStatus.STARTING),
        STARTING_PAUSED(ReadinessStatus.STARTING),
        SERVING(ReadinessStatus.READY),
        DRAINING(ReadinessStatus.DRAINING),
        /** After SIGTERM, when a successor accepts from the same socket. */
        HANDING_OVER(ReadinessStatus.STOPPING),
        HANDING_OVER_PAUSED(ReadinessStatus.STOPPING),
        /** After SIGTERM without a successor: it goes on as it was for the grace period. */
        STOPPING(ReadinessStatus.READY),
        STOPPING_PAUSED(ReadinessStatus.DRAINING),
        STOPPING_UNREADY(ReadinessStatus.STARTING),
        STOPPING_UNREADY_PAUSED(ReadinessStatus.STARTING);

        private final ReadinessStatus status;

        State(ReadinessStatus status) {
            this.status = status;
        }
    }

    /** The states in which clients are asked to leave. */
    private static final Set<State> PAUSED = EnumSet.of(
            State.STARTING_PAUSED,
            State.DRAINING,
            State.HANDING_OVER_PAUSED,
            State.STOPPING_PAUSED,
            State.STOPPING_UNREADY_PAUSED);
    /** The states after SIGTERM. */
    private static final Set<State> TERMINATED = EnumSet.range(State.HANDING_OVER, State.STOPPING_UNREADY_PAUSED);

    /** What can happen to the process. */
    enum Event {
        /** Servers, commands and sockets are there: serving may begin. */
        READY,
        /** Operators ask clients to leave. */
        PAUSE,
        RESUME,
        /** SIGTERM without a successor. */
        STOP,
        /** SIGTERM while a successor accepts from the same socket. */
        HAND_OVER
    }

    private record Transition(State from, Event event, State to) {}

    /** The state machine, whole: an event that is not listed for a state leaves it as it is. */
    private static final List<Transition> TRANSITIONS = List.of(
            new Transition(State.STARTING, Event.READY, State.SERVING),
            new Transition(State.STARTING, Event.PAUSE, State.STARTING_PAUSED),
            new Transition(State.STARTING, Event.STOP, State.STOPPING_UNREADY),
            new Transition(State.STARTING, Event.HAND_OVER, State.HANDING_OVER),
            new Transition(State.STARTING_PAUSED, Event.READY, State.DRAINING),
            new Transition(State.STARTING_PAUSED, Event.RESUME, State.STARTING),
            new Transition(State.STARTING_PAUSED, Event.STOP, State.STOPPING_UNREADY_PAUSED),
            new Transition(State.STARTING_PAUSED, Event.HAND_OVER, State.HANDING_OVER_PAUSED),
            new Transition(State.SERVING, Event.PAUSE, State.DRAINING),
            new Transition(State.SERVING, Event.STOP, State.STOPPING),
            new Transition(State.SERVING, Event.HAND_OVER, State.HANDING_OVER),
            new Transition(State.DRAINING, Event.RESUME, State.SERVING),
            new Transition(State.DRAINING, Event.STOP, State.STOPPING_PAUSED),
            new Transition(State.DRAINING, Event.HAND_OVER, State.HANDING_OVER_PAUSED),
            new Transition(State.HANDING_OVER, Event.PAUSE, State.HANDING_OVER_PAUSED),
            new Transition(State.HANDING_OVER_PAUSED, Event.RESUME, State.HANDING_OVER),
            new Transition(State.STOPPING, Event.PAUSE, State.STOPPING_PAUSED),
            new Transition(State.STOPPING_PAUSED, Event.RESUME, State.STOPPING),
            new Transition(State.STOPPING_UNREADY, Event.READY, State.STOPPING),
            new Transition(State.STOPPING_UNREADY, Event.PAUSE, State.STOPPING_UNREADY_PAUSED),
            new Transition(State.STOPPING_UNREADY_PAUSED, Event.READY, State.STOPPING_PAUSED),
            new Transition(State.STOPPING_UNREADY_PAUSED, Event.RESUME, State.STOPPING_UNREADY));

    private static final Map<State, Map<Event, State>> NEXT_STATE = byStateAndEvent();

    private static Map<State, Map<Event, State>> byStateAndEvent() {
        Map<State, Map<Event, State>> nextState = new EnumMap<>(State.class);
        for (State state : State.values()) {
            nextState.put(state, new EnumMap<>(Event.class));
        }
        for (Transition transition : TRANSITIONS) {
            nextState.get(transition.from()).put(transition.event(), transition.to());
        }
        return nextState;
    }

    private final boolean hasSuccessor;
    private final long lingerUs;
    /** Also read by the thread that waits for the exit. */
    private volatile long longestDeadlineUs;

    private State state = State.STARTING;
    /** When operators paused the process; meaningless in a state that is not paused. */
    private long pausedAtUs;
    /** When SIGTERM came; meaningless before that. */
    private long terminatedAtUs;

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

    private void handle(Event event) {
        state = NEXT_STATE.get(state).getOrDefault(event, state);
    }

    /** Reports that servers, commands and sockets are there: serving may begin. */
    public void markReady() {
        handle(Event.READY);
    }

    /** Reports that operators ask clients to leave; repeated, it changes nothing. */
    public void pause(long nowUs) {
        if (!isPaused()) {
            pausedAtUs = nowUs;
        }
        handle(Event.PAUSE);
    }

    /** Reports that operators take clients again. */
    public void resume() {
        handle(Event.RESUME);
    }

    /** Reports SIGTERM; repeated, it changes nothing. */
    public void terminate(long nowUs) {
        if (!isTerminated()) {
            terminatedAtUs = nowUs;
        }
        handle(hasSuccessor ? Event.HAND_OVER : Event.STOP);
    }

    /** The longest deadline that a request may have, as of new settings. */
    public void setLongestDeadlineUs(long longestDeadlineUs) {
        this.longestDeadlineUs = longestDeadlineUs;
    }

    /** The state of the process. */
    State state() {
        return state;
    }

    /** What load balancers and operators are told about this process. */
    public ReadinessStatus status() {
        return state.status;
    }

    /** How long a client whose connection was ended may take to end its side. */
    public long lingerUs() {
        return lingerUs;
    }

    /**
     * How long a shutdown may take at most: a request that came at the end of the grace period has its whole
     * deadline, and its response must be on its way before the process exits. May be called from any thread.
     */
    public long shutdownTimeoutUs() {
        return longestDeadlineUs + SHUTDOWN_GRACE_US + KILL_MARGIN_US;
    }

    /** Whether to accept connections; from a shared socket only while the other process would not serve better. */
    public boolean accepts(long nowUs) {
        return hasSuccessor ? state == State.SERVING || state == State.DRAINING : nowUs < lastResponseUs();
    }

    /** Whether to close a connection as soon as it has its response. */
    public boolean closesAfterResponse(long nowUs) {
        boolean pausedLongEnough = isPaused() && nowUs - pausedAtUs >= LOAD_BALANCER_DELAY_US;
        return pausedLongEnough || isHandingOver() || nowUs >= lastResponseUs();
    }

    /** When to close all idle connections, {@link #NEVER_US} if that is not planned. */
    public long closeIdleAtUs() {
        long pauseUs = isPaused() ? pausedAtUs + PAUSE_IDLE_CLOSE_DELAY_US : NEVER_US;
        long handoverUs = isHandingOver() ? terminatedAtUs + HANDOVER_IDLE_CLOSE_DELAY_US : NEVER_US;
        return Math.min(lastResponseUs(), Math.min(pauseUs, handoverUs));
    }

    /** Whether to close even connections that have not sent a request yet. */
    public boolean closesUnused(long nowUs) {
        return nowUs >= lastResponseUs();
    }

    /** By when all requests that came after the grace period must be answered; {@link #NEVER_US} before SIGTERM. */
    public long lastResponseUs() {
        if (!isTerminated()) {
            return NEVER_US;
        }
        long killDelayUs = Math.min(longestDeadlineUs, KILL_DEADLINE_CAP_US) + SHUTDOWN_GRACE_US;
        return terminatedAtUs + killDelayUs - KILL_MARGIN_US;
    }

    /** By when a request that comes now must be answered, {@link #NEVER_US} if the process sets no bound. */
    public long responseDueUs(long nowUs) {
        return isTerminated() && nowUs >= terminatedAtUs + SHUTDOWN_GRACE_US ? lastResponseUs() : NEVER_US;
    }

    /** Whether nothing keeps the process from exiting. */
    public boolean mayExit(long nowUs, int openClients, int openRequests) {
        if (!isTerminated() || openClients > 0 || openRequests > 0) {
            return false;
        }
        return isHandingOver() || nowUs >= terminatedAtUs + SHUTDOWN_GRACE_US;
    }

    private boolean isPaused() {
        return PAUSED.contains(state);
    }

    private boolean isTerminated() {
        return TERMINATED.contains(state);
    }

    private boolean isHandingOver() {
        return state == State.HANDING_OVER || state == State.HANDING_OVER_PAUSED;
    }
}
