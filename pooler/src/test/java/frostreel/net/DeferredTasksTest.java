package frostreel.net;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.time.Deadlines;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order and the number of deferred tasks, with a manual clock. */
class DeferredTasksTest {
    private final List<String> ran = new ArrayList<>();
    private long nowUs;
    private final Deadlines deadlines = new Deadlines(() -> nowUs, delayUs -> {});
    private final DeferredTasks tasks = new DeferredTasks(deadlines);

    private void advance() {
        nowUs += DeferredTasks.INTERVAL_US;
        deadlines.runDue();
    }

    /** Guards against connections that send at full speed and keep others and deadlines from their turn. */
    @Test
    void aTaskThatIsDeferredAgainLetsDeadlinesAndAllOtherTasksPass() {
        Runnable[] flood = new Runnable[1];
        flood[0] = () -> {
            ran.add("flood");
            tasks.add(flood[0]);
        };
        tasks.add(flood[0]);
        tasks.add(() -> ran.add("other"));
        deadlines.after(DeferredTasks.INTERVAL_US + 1, () -> ran.add("deadline"));

        advance();
        assertThat(ran).containsExactly("flood", "other");
        advance();
        assertThat(ran).containsExactly("flood", "other", "deadline", "flood");
    }

    @Test
    void runsALimitedNumberAtATime() {
        for (int i = 0; i <= DeferredTasks.MAX_TASKS_PER_RUN; i++) {
            tasks.add(() -> ran.add("task"));
        }
        advance();
        assertThat(ran).hasSize(DeferredTasks.MAX_TASKS_PER_RUN);
        advance();
        assertThat(ran).hasSize(DeferredTasks.MAX_TASKS_PER_RUN + 1);
    }

    @Test
    void continuesAfterATaskThatFails() {
        tasks.add(() -> {
            throw new IllegalStateException("expected by this test");
        });
        tasks.add(() -> ran.add("next"));
        advance();
        advance();
        assertThat(ran).containsExactly("next");
    }
}
