package frostreel.operation;

/** Shared memory in an array, for several tables of one test. */
public final class SharedMemoryArray implements SharedMemoryLongs, SharedTableStorage {
    final long[] values;

    /** Creates memory of this many longs, all 0. */
    public SharedMemoryArray(int length) {
        values = new long[length];
    }

    @Override
    public long get(int index) {
        return values[index];
    }

    @Override
    public void set(int index, long value) {
        values[index] = value;
    }

    @Override
    public boolean compareAndSet(int index, long expected, long newValue) {
        boolean same = values[index] == expected;
        values[index] = same ? newValue : expected;
        return same;
    }

    @Override
    public boolean read(long[] copy, int index, int length) {
        System.arraycopy(values, index, copy, index, length);
        return true;
    }

    @Override
    public boolean write(long[] copy, int index, int length) {
        System.arraycopy(copy, index, values, index, length);
        return true;
    }
}
