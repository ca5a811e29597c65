package frostreel.cluster;

/**
 * A log whose entries and their order are agreed by a majority of all configured members. Indexes start at 1 and have
 * no gaps. As long as the members keep their log directories, no crash, partition or restart assigns an index to two
 * entries. Called on the owner's thread, on which the listeners are also notified.
 */
public interface ReplicatedLog {
    /** Maximum size of an entry. */
    int MAX_ENTRY_BYTES = 8 * 1024;
    /** Number of latest entries that each member retains for members that lag behind. */
    int RETAINED_ENTRIES = 256;

    /** Receives committed entries, at each member and in the order of their indexes. */
    interface Listener {
        /**
         * An entry was committed. Called once for each entry in an incarnation, beginning with those retained at its
         * start. A member that lags by more than {@link #RETAINED_ENTRIES} misses the oldest entries, and receives
         * indexes with a gap.
         */
        void onCommitted(long index, byte[] entry);
    }

    /** Receives the result of one proposal, through exactly one of its methods. */
    interface ProposalListener {
        /** The proposed entry was committed. */
        void onCommitted(long index);

        /**
         * No majority responded in time. The entry may still be committed, and the {@link Listener} notified of it,
         * until a later proposal of this member is committed.
         */
        void onUnknown(String reason);
    }

    /**
     * Checks the size of an entry; used by implementations.
     *
     * @throws IllegalArgumentException if the entry exceeds {@link #MAX_ENTRY_BYTES}
     */
    static void checkSize(byte[] entry) {
        if (entry.length > MAX_ENTRY_BYTES) {
            throw new IllegalArgumentException(
                    "entry of " + entry.length + " bytes; at most " + MAX_ENTRY_BYTES + " are allowed");
        }
    }

    /**
     * Proposes an entry. Proposals of one member are committed in the order of the calls.
     *
     * @throws IllegalArgumentException if the entry exceeds {@link #MAX_ENTRY_BYTES}
     */
    void propose(byte[] entry, ProposalListener listener);
}
