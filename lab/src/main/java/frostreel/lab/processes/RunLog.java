package frostreel.lab.processes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What was done to a run and what followed, one line an event, with its time since the run's start. */
final class RunLog {
    private final RunSchedule schedule;
    private final List<String> lines = new ArrayList<>();

    RunLog(RunSchedule schedule) {
        this.schedule = schedule;
    }

    void add(String event) {
        lines.add(String.format(Locale.ROOT, "%8.3f s  %s", schedule.elapsedUs() / 1e6, event));
    }

    List<String> lines() {
        return lines;
    }
}
