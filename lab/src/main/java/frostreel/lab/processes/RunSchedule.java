package frostreel.lab.processes;

import frostreel.lab.model.Scheduler;

/** The time line of one run: offsets count from its start, and nothing scheduled runs once it is ending. */
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

    /** Runs a task at an offset from the start; at once where that has passed. */
    void at(long offsetUs, Runnable task) {
        scheduler.after(startUs + offsetUs - scheduler.now(), () -> {
            if (!ending) {
                task.run();
            }
        });
    }

    /** The run is over; its processes are being ended on purpose. */
    void end() {
        ending = true;
    }

    boolean ending() {
        return ending;
    }
}
