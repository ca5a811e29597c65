package frostreel.operation;

/** A process's copy of a table that is stored in {@link SharedTableStorage}. */
class TableCopy implements SharedMemoryLongs {
    final long[] values;

    TableCopy(int longs) {
        values = new long[longs];
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
        values[index] = same ? newValue : values[index];
        return same;
    }
}
