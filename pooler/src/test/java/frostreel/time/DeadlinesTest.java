package frostreel.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order in which deadlines run, and the wake-ups that they schedule. */
class DeadlinesTest {
    @Test
    void runsDeadlinesInOrderAlsoAfterOneFails() {
        List<Long> wakes = new ArrayList<>();
        List<String> ran = new ArrayList<>();
        Deadlines deadlines = new Deadlines(Clock.system(), wakes::add);
        deadlines.at(30, () -> ran.add("third"));
        deadlines.at(10, () -> {
            ran.add("first");
            throw new IllegalStateException("on purpose");
        });
        deadlines.cancel(deadlines.at(20, () -> ran.add("cancelled")));
        deadlines.runDue();
        assertThat(ran).containsExactly("first", "third");
        assertThat(wakes).hasSize(2);
    }
}
