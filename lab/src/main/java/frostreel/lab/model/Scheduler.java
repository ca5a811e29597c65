package frostreel.lab.model;

/** The clock and timers on which the model runs, in virtual or in real time. Used by one thread. */
public interface Scheduler {
    /** Unix microseconds; never decreases. */
    long now();

    /** Runs a task after a delay in microseconds; 0 or less runs it behind what is due by now. */
    void after(long us, Runnable task);
}
