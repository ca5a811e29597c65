package frostreel.lab.model;

/** The time on which the model runs: virtual, or that of the sockets it stands behind. One thread has it. */
public interface Scheduler {
    /** Unix microseconds; never goes back. */
    long now();

    /** Runs a task in so many microseconds; at once, after what is due before it, where there are none. */
    void after(long us, Runnable task);
}
