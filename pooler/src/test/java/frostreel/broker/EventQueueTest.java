package frostreel.broker;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.stats.Counters;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Order of events, and isolation of the others from an exception in one. */
class EventQueueTest {
    private final Counters counters = new Counters();
    private final EventQueue events = new EventQueue(counters);
    private final List<String> ran = new ArrayList<>();

    @Test
    void runsEventAtOnceWhileNoneIsRunning() {
        events.run(() -> ran.add("first"));
        assertThat(ran).containsExactly("first");
    }

    @Test
    void runsCausedEventsAfterTheirCauseInOrder() {
        events.run(() -> {
            events.run(() -> ran.add("caused first"));
            events.run(() -> ran.add("caused second"));
            ran.add("cause");
        });
        assertThat(ran).containsExactly("cause", "caused first", "caused second");
    }

    @Test
    void countsFailedEventAndRunsTheOthers() {
        events.run(() -> {
            events.run(() -> ran.add("queued"));
            throw new IllegalStateException("on purpose");
        });
        events.run(() -> ran.add("later"));
        assertThat(ran).containsExactly("queued", "later");
        assertThat(counters.unexpectedExceptions).isEqualTo(1);
    }
}
