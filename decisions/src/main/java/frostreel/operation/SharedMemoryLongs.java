package frostreel.operation;

/**
 * Longs that the processes of one pooler read and write at the same time. Each access is whole, and all of
 * them come in one order that every process sees. They begin as zeros, and may hold anything where someone
 * else wrote into them.
 */
public interface SharedMemoryLongs {
    long get(int index);

    void set(int index, long value);

    /** Sets it where it still has that value; whether it had. */
    boolean compareAndSet(int index, long from, long to);
}
