package frostreel.operation;

import static frostreel.operation.LifecycleEvent.HAND_OVER;
import static frostreel.operation.LifecycleEvent.PAUSE;
import static frostreel.operation.LifecycleEvent.READY;
import static frostreel.operation.LifecycleEvent.RESUME;
import static frostreel.operation.LifecycleEvent.STOP;

import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Lifecycle states of this process: starting, serving, draining, handing over and stopping.
 *
 * <p>Operators may pause the process in any state; clients are then asked to disconnect. Only a paused process that
 * would otherwise be serving is in state {@code DRAINING}.
 */
enum LifecycleState {
    STARTING(ReadinessStatus.STARTING),
    STARTING_PAUSED(ReadinessStatus.STARTING),
    SERVING(ReadinessStatus.READY),
    DRAINING(ReadinessStatus.DRAINING),
    /** After SIGTERM, with a successor process that accepts connections on the same socket. */
    HANDING_OVER(ReadinessStatus.STOPPING),
    HANDING_OVER_PAUSED(ReadinessStatus.STOPPING),
    /** After SIGTERM without a successor: clients are still served during the grace period. */
    STOPPING(ReadinessStatus.READY),
    STOPPING_PAUSED(ReadinessStatus.DRAINING),
    STOPPING_UNREADY(ReadinessStatus.STARTING),
    STOPPING_UNREADY_PAUSED(ReadinessStatus.STARTING);

    /** The states in which clients are asked to disconnect. */
    private static final Set<LifecycleState> PAUSED =
            EnumSet.of(STARTING_PAUSED, DRAINING, HANDING_OVER_PAUSED, STOPPING_PAUSED, STOPPING_UNREADY_PAUSED);
    /** The states after SIGTERM. */
    private static final Set<LifecycleState> TERMINATING = EnumSet.range(HANDING_OVER, STOPPING_UNREADY_PAUSED);

    private record Transition(LifecycleState from, LifecycleEvent event, LifecycleState to) {}

    /** All transitions. An event without a transition from the current state leaves it unchanged. */
    private static final List<Transition> TRANSITIONS = List.of(
            new Transition(STARTING, READY, SERVING),
            new Transition(STARTING, PAUSE, STARTING_PAUSED),
            new Transition(STARTING, STOP, STOPPING_UNREADY),
            new Transition(STARTING, HAND_OVER, HANDING_OVER),
            new Transition(STARTING_PAUSED, READY, DRAINING),
            new Transition(STARTING_PAUSED, RESUME, STARTING),
            new Transition(STARTING_PAUSED, STOP, STOPPING_UNREADY_PAUSED),
            new Transition(STARTING_PAUSED, HAND_OVER, HANDING_OVER_PAUSED),
            new Transition(SERVING, PAUSE, DRAINING),
            new Transition(SERVING, STOP, STOPPING),
            new Transition(SERVING, HAND_OVER, HANDING_OVER),
            new Transition(DRAINING, RESUME, SERVING),
            new Transition(DRAINING, STOP, STOPPING_PAUSED),
            new Transition(DRAINING, HAND_OVER, HANDING_OVER_PAUSED),
            new Transition(HANDING_OVER, PAUSE, HANDING_OVER_PAUSED),
            new Transition(HANDING_OVER_PAUSED, RESUME, HANDING_OVER),
            new Transition(STOPPING, PAUSE, STOPPING_PAUSED),
            new Transition(STOPPING_PAUSED, RESUME, STOPPING),
            new Transition(STOPPING_UNREADY, READY, STOPPING),
            new Transition(STOPPING_UNREADY, PAUSE, STOPPING_UNREADY_PAUSED),
            new Transition(STOPPING_UNREADY_PAUSED, READY, STOPPING_PAUSED),
            new Transition(STOPPING_UNREADY_PAUSED, RESUME, STOPPING_UNREADY));

    private static final Map<LifecycleState, Map<LifecycleEvent, LifecycleState>> NEXT_STATE = byStateAndEvent();

    private static Map<LifecycleState, Map<LifecycleEvent, LifecycleState>> byStateAndEvent() {
        Map<LifecycleState, Map<LifecycleEvent, LifecycleState>> nextState = new EnumMap<>(LifecycleState.class);
        for (LifecycleState state : values()) {
            nextState.put(state, new EnumMap<>(LifecycleEvent.class));
        }
        for (Transition transition : TRANSITIONS) {
            nextState.get(transition.from()).put(transition.event(), transition.to());
        }
        return nextState;
    }

    private final ReadinessStatus status;

    LifecycleState(ReadinessStatus status) {
        this.status = status;
    }

    /** The state after the event. */
    LifecycleState after(LifecycleEvent event) {
        return NEXT_STATE.get(this).getOrDefault(event, this);
    }

    /** The readiness that is reported to load balancers and operators in this state. */
    ReadinessStatus status() {
        return status;
    }

    /** Whether operators have paused the process, so that clients are asked to disconnect. */
    boolean isPaused() {
        return PAUSED.contains(this);
    }

    /** Whether SIGTERM has arrived. */
    boolean isTerminating() {
        return TERMINATING.contains(this);
    }

    /** Whether SIGTERM has arrived and a successor accepts connections on the same socket. */
    boolean isHandingOver() {
        return this == HANDING_OVER || this == HANDING_OVER_PAUSED;
    }
}
