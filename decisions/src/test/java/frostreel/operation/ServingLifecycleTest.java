package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Checks every sequence of events up to a maximum length, half a second apart, with and without a successor, against
 * a reference model that derives the expected rules from the events. Also checks some sequences individually.
 */
class ServingLifecycleTest {
    private enum Event {
        READY,
        PAUSE,
        RESUME,
        TERMINATE,
        NOTHING
    }

    private static final int MAX_LENGTH = 6;
    private static final long STEP_US = 500_000;
    private static final long LONGEST_DEADLINE_US = 8_000_000;
    private static final long KILL_DELAY_US = 3_700_000;
    private static final long NEVER_HAPPENED = -1;

    /** The reference model: what has happened, derived directly from the events. */
    private record History(boolean ready, long pausedAtUs, long sigtermAtUs) {
        History then(Event event, long nowUs) {
            return switch (event) {
                case READY -> new History(true, pausedAtUs, sigtermAtUs);
                case PAUSE -> new History(ready, isPaused() ? pausedAtUs : nowUs, sigtermAtUs);
                case RESUME -> new History(ready, NEVER_HAPPENED, sigtermAtUs);
                case TERMINATE -> new History(ready, pausedAtUs, isTerminating() ? sigtermAtUs : nowUs);
                case NOTHING -> this;
            };
        }

        boolean isPaused() {
            return pausedAtUs != NEVER_HAPPENED;
        }

        boolean isTerminating() {
            return sigtermAtUs != NEVER_HAPPENED;
        }
    }

    private static void apply(ServingLifecycle lifecycle, Event event, long nowUs) {
        switch (event) {
            case READY -> lifecycle.markReady();
            case PAUSE -> lifecycle.pause(nowUs);
            case RESUME -> lifecycle.resume();
            case TERMINATE -> lifecycle.terminate(nowUs);
            default -> {}
        }
    }

    private int checkedSequences;

    private void checkAllFrom(boolean hasSuccessor, int length, Event[] sequence) {
        ServingLifecycle lifecycle = new ServingLifecycle(hasSuccessor, LONGEST_DEADLINE_US);
        History history = new History(false, NEVER_HAPPENED, NEVER_HAPPENED);
        long nowUs = 0;
        for (int i = 0; i < length; i++) {
            nowUs += STEP_US;
            apply(lifecycle, sequence[i], nowUs);
            history = history.then(sequence[i], nowUs);
        }
        checkedSequences++;
        check(lifecycle, history, nowUs, hasSuccessor);
        if (length < sequence.length) {
            for (Event event : Event.values()) {
                sequence[length] = event;
                checkAllFrom(hasSuccessor, length + 1, sequence);
            }
        }
    }

    private static void check(ServingLifecycle lifecycle, History history, long nowUs, boolean hasSuccessor) {
        boolean terminating = history.isTerminating();
        boolean paused = history.isPaused();
        boolean handingOver = hasSuccessor && terminating;
        assertThat(lifecycle.state()).isEqualTo(expectedState(history, hasSuccessor));
        assertThat(lifecycle.status()).isEqualTo(expectedStatus(history, hasSuccessor));
        assertThat(lifecycle.status() == ReadinessStatus.READY).isEqualTo(history.ready() && !paused && !handingOver);
        if (!paused && !terminating) {
            checkServing(lifecycle, nowUs);
            assertThat(lifecycle.accepts(nowUs)).isEqualTo(!hasSuccessor || history.ready());
        }
        if (paused) {
            checkPaused(lifecycle, history, hasSuccessor);
        }
        if (terminating) {
            checkTerminated(lifecycle, history.sigtermAtUs());
            assertThat(lifecycle.accepts(nowUs)).isEqualTo(!hasSuccessor && nowUs < lifecycle.lastResponseUs());
        }
        long afterKillUs = nowUs + KILL_DELAY_US;
        assertThat(lifecycle.mayExit(afterKillUs, 1, 0)).isFalse();
        assertThat(lifecycle.mayExit(afterKillUs, 0, 1)).isFalse();
        assertThat(lifecycle.mayExit(afterKillUs, 0, 0)).isEqualTo(terminating);
        assertThat(lifecycle.closesUnused(nowUs)).isEqualTo(terminating && nowUs >= lifecycle.lastResponseUs());
    }

    private static LifecycleState expectedState(History history, boolean hasSuccessor) {
        boolean paused = history.isPaused();
        if (!history.isTerminating()) {
            LifecycleState running = paused ? LifecycleState.DRAINING : LifecycleState.SERVING;
            LifecycleState starting = paused ? LifecycleState.STARTING_PAUSED : LifecycleState.STARTING;
            return history.ready() ? running : starting;
        }
        if (hasSuccessor) {
            return paused ? LifecycleState.HANDING_OVER_PAUSED : LifecycleState.HANDING_OVER;
        }
        LifecycleState stopping = paused ? LifecycleState.STOPPING_PAUSED : LifecycleState.STOPPING;
        LifecycleState stoppingUnready =
                paused ? LifecycleState.STOPPING_UNREADY_PAUSED : LifecycleState.STOPPING_UNREADY;
        return history.ready() ? stopping : stoppingUnready;
    }

    private static ReadinessStatus expectedStatus(History history, boolean hasSuccessor) {
        if (hasSuccessor && history.isTerminating()) {
            return ReadinessStatus.STOPPING;
        }
        if (!history.ready()) {
            return ReadinessStatus.STARTING;
        }
        return history.isPaused() ? ReadinessStatus.DRAINING : ReadinessStatus.READY;
    }

    private static void checkServing(ServingLifecycle lifecycle, long nowUs) {
        assertThat(lifecycle.closesAfterResponse(nowUs + STEP_US))
                .as("no connection is closed in normal service")
                .isFalse();
        assertThat(lifecycle.closeIdleAtUs()).isEqualTo(ServingLifecycle.NEVER_US);
    }

    private static void checkPaused(ServingLifecycle lifecycle, History history, boolean hasSuccessor) {
        long beforeLoadBalancerDelayUs = history.pausedAtUs() + 300_000;
        boolean terminating = history.isTerminating();
        assertThat(lifecycle.closesAfterResponse(beforeLoadBalancerDelayUs))
                .as("the load balancer still assigns new connections")
                .isEqualTo(terminating && (hasSuccessor || beforeLoadBalancerDelayUs >= lifecycle.lastResponseUs()));
        assertThat(lifecycle.closesAfterResponse(history.pausedAtUs() + 2_000_000))
                .isTrue();
        assertThat(lifecycle.closeIdleAtUs())
                .as("4 s after PAUSE, no client has sent a request for 2 s")
                .isLessThan(history.pausedAtUs() + 2_000_000);
    }

    private static void checkTerminated(ServingLifecycle lifecycle, long sigtermAtUs) {
        assertThat(lifecycle.lastResponseUs()).isLessThan(sigtermAtUs + KILL_DELAY_US);
        assertThat(lifecycle.closeIdleAtUs()).isLessThanOrEqualTo(lifecycle.lastResponseUs());
        assertThat(lifecycle.responseDueUs(sigtermAtUs + 700_000)).isEqualTo(lifecycle.lastResponseUs());
        assertThat(lifecycle.responseDueUs(sigtermAtUs + 600_000)).isEqualTo(ServingLifecycle.NEVER_US);
        assertThat(lifecycle.mayExit(lifecycle.lastResponseUs(), 0, 0)).isTrue();
    }

    @Test
    void matchesTheReferenceModelForEverySequenceOfEvents() {
        checkAllFrom(false, 0, new Event[MAX_LENGTH]);
        checkAllFrom(true, 0, new Event[MAX_LENGTH]);

        assertThat(checkedSequences).isEqualTo(2 * (1 + 5 + 25 + 125 + 625 + 3125 + 15625));
    }

    @Test
    void servesUntilShortlyBeforeTheKillWithoutSuccessor() {
        ServingLifecycle lifecycle = new ServingLifecycle(false, LONGEST_DEADLINE_US);
        lifecycle.markReady();
        lifecycle.terminate(0);
        assertThat(lifecycle.status()).isEqualTo(ReadinessStatus.READY);
        assertThat(lifecycle.closesAfterResponse(3_200_000)).isFalse();
        assertThat(lifecycle.accepts(3_200_000)).isTrue();
        assertThat(lifecycle.closesUnused(3_300_000)).isTrue();
    }

    /** Guards against a process that exits at the moment at which the last response is due. */
    @Test
    void shutdownTimeoutLastsUntilRequestsOfTheGracePeriodAreAnswered() {
        ServingLifecycle lifecycle = new ServingLifecycle(false, LONGEST_DEADLINE_US);
        lifecycle.terminate(0);
        assertThat(lifecycle.responseDueUs(ServingLifecycle.SHUTDOWN_GRACE_US - 1))
                .isEqualTo(ServingLifecycle.NEVER_US);
        assertThat(lifecycle.shutdownTimeoutUs())
                .isGreaterThanOrEqualTo(
                        ServingLifecycle.SHUTDOWN_GRACE_US + LONGEST_DEADLINE_US + ServingLifecycle.LINGER_US);
    }
}
