package frostreel.operation;

/**
 * An array of longs in memory that several processes share. Every access is atomic and volatile: all processes
 * see all accesses in one order. The values are zero at first, and anything at all if the memory was damaged.
 */
public interface SharedMemoryLongs {
    /** Reads the value at the index. */
    long get(int index);

    /** Writes the value at the index. */
    void set(int index, long value);

    /**
     * Writes the new value if the present one is as expected.
     *
     * @return whether it was
     */
    boolean compareAndSet(int index, long expected, long newValue);
}
