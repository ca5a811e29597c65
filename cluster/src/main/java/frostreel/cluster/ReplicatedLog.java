package frostreel.cluster;

/**
 * A log on whose entries a majority of all configured members agrees, in one order. Each entry has an index
 * of its own, from 1 on without gaps, that no other entry is ever given, whatever crashes, partitions and
 * restarts there are, as long as the members keep their folders. Called on its owner's thread, on which the
 * listeners are notified too.
 */
public interface ReplicatedLog {
    /** The largest entry, in bytes. */
    int MAX_ENTRY_BYTES = 8 * 1024;
    /** How many of the latest entries are retained for members that lag behind. */
    int RETAINED_ENTRIES = 256;

    /** Notified at each member of the entries, in the order of their indexes. */
    interface Listener {
        /**
         * An entry was committed. Each is notified once an incarnation, beginning with those retained at its
         * start. A member that lags by more than {@link #RETAINED_ENTRIES} misses the oldest, and sees a gap
         * in the indexes.
         */
        void onCommitted(long index, byte[] entry);
    }

    /** Notified of the result of one proposal, by exactly one of the two. */
    interface ProposalListener {
        /** The entry was committed. */
        void onCommitted(long index);

        /**
         * No majority answered in time. The entry may still be committed, of which the {@link Listener} is
         * notified then; but no more once a later proposal of this member was committed.
         */
        void onUnknown(String reason);
    }

    /**
     * Checks an entry for an implementation.
     *
     * @throws IllegalArgumentException beyond {@link #MAX_ENTRY_BYTES}
     */
    static void checkSize(byte[] entry) {
        if (entry.length > MAX_ENTRY_BYTES) {
            throw new IllegalArgumentException(entry.length + " bytes, at most " + MAX_ENTRY_BYTES);
        }
    }

    /**
     * Proposes an entry, after those proposed before.
     *
     * @throws IllegalArgumentException beyond {@link #MAX_ENTRY_BYTES}
     */
    void propose(byte[] entry, ProposalListener listener);
}
