package frostreel.operation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** The door over all sequences of events up to length 6, half a second apart, alone and with a successor. */
class ServingLifecycleTest {
    private enum Event {
        READY,
        EMPTY,
        FILL,
        END,
        TIME
    }

    private static final long STEP_US = 500_000;
    private static final long LONGEST_US = 8_000_000;
    private static final long KILL_US = 3_700_000;

    /** What has happened, by plain reading of the events. */
    private record Past(boolean ready, long emptiedUs, long endedUs) {
        Past then(Event e, long now) {
            return switch (e) {
                case READY -> new Past(true, emptiedUs, endedUs);
                case EMPTY -> new Past(ready, emptiedUs < 0 ? now : emptiedUs, endedUs);
                case FILL -> new Past(ready, -1, endedUs);
                case END -> new Past(ready, emptiedUs, endedUs < 0 ? now : endedUs);
                case TIME -> this;
            };
        }
    }

    private static void apply(ServingLifecycle door, Event e, long now) {
        switch (e) {
            case READY -> door.ready();
            case EMPTY -> door.empty(now);
            case FILL -> door.fill();
            case END -> door.end(now);
            default -> {}
        }
    }

    private int states;

    private void check(boolean shared, int depth, Event[] path) {
        ServingLifecycle door = new ServingLifecycle(shared, LONGEST_US);
        Past past = new Past(false, -1, -1);
        long now = 0;
        for (int i = 0; i < depth; i++) {
            now += STEP_US;
            apply(door, path[i], now);
            past = past.then(path[i], now);
        }
        states++;
        hold(door, past, now, shared);
        if (depth < path.length) {
            for (Event e : Event.values()) {
                path[depth] = e;
                check(shared, depth + 1, path);
            }
        }
    }

    private static void hold(ServingLifecycle d, Past p, long now, boolean shared) {
        boolean ended = p.endedUs() >= 0;
        boolean emptied = p.emptiedUs() >= 0;
        assertThat(d.word() == ServingLifecycle.ReadinessStatus.YES)
                .isEqualTo(p.ready() && !emptied && !(shared && ended));
        if (!emptied && !ended) {
            assertThat(d.closesAnswered(now + STEP_US))
                    .as("nobody is closed in service")
                    .isFalse();
            assertThat(d.sweepUs()).isEqualTo(Long.MAX_VALUE);
            assertThat(d.accepts(now)).isEqualTo(!shared || p.ready());
        }
        if (emptied) {
            assertThat(d.closesAnswered(p.emptiedUs() + 300_000))
                    .as("the front still deals clients out")
                    .isEqualTo(ended && (shared || p.emptiedUs() + 300_000 >= d.lastUs()));
            assertThat(d.closesAnswered(p.emptiedUs() + 2_000_000)).isTrue();
            assertThat(d.sweepUs())
                    .as("none has a request of the last 2 s after 4 s")
                    .isLessThan(p.emptiedUs() + 2_000_000);
        }
        if (ended) {
            assertThat(d.lastUs()).isLessThan(p.endedUs() + KILL_US);
            assertThat(d.sweepUs()).isLessThanOrEqualTo(d.lastUs());
            assertThat(d.answerByUs(p.endedUs() + 700_000)).isEqualTo(d.lastUs());
            assertThat(d.answerByUs(p.endedUs() + 600_000)).isEqualTo(Long.MAX_VALUE);
            assertThat(d.accepts(now)).isEqualTo(!shared && now < d.lastUs());
            assertThat(d.mayEnd(d.lastUs(), 0, 0)).isTrue();
        }
        assertThat(d.mayEnd(now + KILL_US, 1, 0)).isFalse();
        assertThat(d.mayEnd(now + KILL_US, 0, 1)).isFalse();
        assertThat(d.mayEnd(now + KILL_US, 0, 0)).isEqualTo(ended);
        assertThat(d.closesAll(now)).isEqualTo(ended && now >= d.lastUs());
    }

    @Test
    void noSequenceOfEventsSaysYesWrongfullyOrLosesAClient() {
        check(false, 0, new Event[6]);
        check(true, 0, new Event[6]);
        assertThat(states).isEqualTo(2 * (1 + 5 + 25 + 125 + 625 + 3125 + 15625));
    }

    @Test
    void aloneItServesOnAsEverUntilTheKillIsNear() {
        ServingLifecycle door = new ServingLifecycle(false, LONGEST_US);
        door.ready();
        door.end(0);
        assertThat(door.word()).isEqualTo(ServingLifecycle.ReadinessStatus.YES);
        assertThat(door.closesAnswered(3_200_000)).isFalse();
        assertThat(door.accepts(3_200_000)).isTrue();
        assertThat(door.closesAll(3_300_000)).isTrue();
    }

    /** The process ended in the very moment in which the last answer was due. */
    @Test
    void theEndIsWaitedForUntilWhatCameAtTheEndOfTheStayIsAnswered() {
        ServingLifecycle door = new ServingLifecycle(false, LONGEST_US);
        door.end(0);
        assertThat(door.answerByUs(ServingLifecycle.STAY_US - 1)).isEqualTo(Long.MAX_VALUE);
        assertThat(door.longUs())
                .isGreaterThanOrEqualTo(ServingLifecycle.STAY_US + LONGEST_US + ServingLifecycle.LINGER_US);
    }
}
