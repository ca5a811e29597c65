package frostreel.cluster;

/**
 * A log on whose entries and their order a majority of all configured members agrees. Indexes begin at 1 and
 * have no gaps. As long as the members keep their folders, no crash, partition or restart gives an index to
 * two entries. Called on its owner's thread, on which the listeners are notified too.
 */
public interface ReplicatedLog {
    /** The largest entry, in bytes. */
    int MAX_ENTRY_BYTES = 8 * 1024;
    /** How many of the latest entries each member retains for those that lag behind. */
    int RETAINED_ENTRIES = 256;

    /** Notified of the entries, at each member and in the order of their indexes. */
    interface Listener {
        /**
         * An entry was committed. Called once for each entry in an incarnation, beginning with those retained at
         * its start. A member that lags by more than {@link #RETAINED_ENTRIES} misses the oldest of them, and
         * sees a gap in the indexes.
         */
        void onCommitted(long index, byte[] entry);
    }

    /** Notified of the result of one proposal, by exactly one of its methods. */
    interface ProposalListener {
        /** The entry was committed. */
        void onCommitted(long index);

        /**
         * No majority answered in time. The entry may still be committed, and the {@link Listener} notified of
         * it, until a later proposal of this member is committed.
         */
        void onUnknown(String reason);
    }

    /**
     * Checks the size of an entry, for implementations.
     *
     * @throws IllegalArgumentException beyond {@link #MAX_ENTRY_BYTES}
     */
    static void checkSize(byte[] entry) {
        if (entry.length > MAX_ENTRY_BYTES) {
            throw new IllegalArgumentException(entry.length + " bytes, at most " + MAX_ENTRY_BYTES);
        }
    }

    /**
     * Proposes an entry; this member's proposals are committed in the order of these calls.
     *
     * @throws IllegalArgumentException beyond {@link #MAX_ENTRY_BYTES}
     */
    void propose(byte[] entry, ProposalListener listener);
}
