package frostreel.lab.processes;

/**
 * A fault of an experiment with processes: what goes wrong in a fleet, and when. Each kind is a record that reads
 * itself from its XML element and injects itself into a fleet. Times count from the start of the run.
 */
sealed interface ProcessFault permits TimedFault, RandomFaults {
    /** Schedules the fault in a fleet whose run has just begun. */
    void schedule(Fleet fleet);

    /** Whether it makes system calls fail, for which the poolers have to preload a library. */
    default boolean failsSystemCalls() {
        return false;
    }
}
