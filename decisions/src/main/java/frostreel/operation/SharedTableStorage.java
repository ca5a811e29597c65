package frostreel.operation;

/**
 * Storage of a table of longs that several processes share, each of which works on a copy. Implementations do not
 * throw: storage may be damaged, shortened or missing at any time.
 */
public interface SharedTableStorage {
    /** Storage of a process that shares nothing: every access fails. */
    SharedTableStorage NONE = new SharedTableStorage() {
        @Override
        public boolean read(long[] copy, int index, int length) {
            return false;
        }

        @Override
        public boolean write(long[] copy, int index, int length) {
            return false;
        }
    };

    /**
     * Reads a part of the table into the same place of a copy.
     *
     * @return whether all of it could be read; if not, the copy is unchanged or contains a part
     */
    boolean read(long[] copy, int index, int length);

    /**
     * Writes a part of a copy to the same place of the table.
     *
     * @return whether all of it could be written
     */
    boolean write(long[] copy, int index, int length);
}
