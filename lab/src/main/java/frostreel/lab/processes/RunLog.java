package frostreel.lab.processes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The log of a run: faults and what followed from them, a line for each event, with its time since the start. */
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
