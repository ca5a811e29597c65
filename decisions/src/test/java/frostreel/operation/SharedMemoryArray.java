package frostreel.operation;

/** Shared memory in an array, for several tables of one test. */
public final class SharedMemoryArray extends TableCopy implements SharedTableStorage {
    /** Creates memory of this many longs, all 0. */
    public SharedMemoryArray(int length) {
        super(length);
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
