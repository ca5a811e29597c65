package frostreel.lab.model;

/** The clock and timers of the model, in virtual or in real time. Used by one thread. */
public interface Scheduler {
    /** Unix microseconds; never decreases. */
    long now();

    /** Runs a task after a delay in microseconds; with 0 or less it runs after the tasks that are already due. */
    void after(long us, Runnable task);
}
