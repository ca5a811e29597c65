package frostreel.broker;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.stats.Counters;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order of events, and what a fault in one of them leaves of the others. */
class EventQueueTest {
    private final Counters counters = new Counters();
    private final EventQueue events = new EventQueue(counters);
    private final List<String> ran = new ArrayList<>();

    @Test
    void anEventRunsAtOnceWhereNoneIsRunning() {
        events.run(() -> ran.add("first"));
        assertThat(ran).containsExactly("first");
    }

    @Test
    void anEventThatAnotherCausesRunsAfterItAndInTurn() {
        events.run(() -> {
            events.run(() -> ran.add("caused first"));
            events.run(() -> ran.add("caused second"));
            ran.add("cause");
        });
        assertThat(ran).containsExactly("cause", "caused first", "caused second");
    }

    @Test
    void aFaultInOneEventIsCountedAndSparesTheOthers() {
        events.run(() -> {
            events.run(() -> ran.add("queued"));
            throw new IllegalStateException("on purpose");
        });
        events.run(() -> ran.add("later"));
        assertThat(ran).containsExactly("queued", "later");
        assertThat(counters.unexpectedExceptions).isEqualTo(1);
    }
}
