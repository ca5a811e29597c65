package frostreel.operation;

/**
 * An array of longs in memory that several processes share. Accesses are atomic and volatile: all processes observe
 * them in the same order. Values are initially zero, and arbitrary if the memory was corrupted.
 */
public interface SharedMemoryLongs {
    /** Reads the value at the index. */
    long get(int index);

    /** Writes the value at the index. */
    void set(int index, long value);

    /**
     * Writes the new value if the current value is the expected one.
     *
     * @return whether the value was written
     */
    boolean compareAndSet(int index, long expected, long newValue);
}
