package frostreel.lab.processes;

import frostreel.lab.model.Scheduler;

/** The schedule of one run: offsets count from its start, and tasks are dropped once the run is ending. */
final class RunSchedule {
    private final Scheduler scheduler;
    private long startUs;
    private boolean ending;

    RunSchedule(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Makes this moment offset 0. */
    void restart() {
        startUs = scheduler.now();
    }

    /** Microseconds since the start. */
    long elapsedUs() {
        return scheduler.now() - startUs;
    }

    /** Runs a task at an offset from the start, at once if that has passed. */
    void at(long offsetUs, Runnable task) {
        scheduler.after(startUs + offsetUs - scheduler.now(), () -> {
            if (!ending) {
                task.run();
            }
        });
    }

    /** Notes that the run is over, and its processes are ended on purpose. */
    void end() {
        ending = true;
    }

    boolean ending() {
        return ending;
    }
}
