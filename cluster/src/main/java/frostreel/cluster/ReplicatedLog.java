package frostreel.cluster;

/**
 * Entries that a majority of all named members agreed on, in one order. Each has a number of its own, from
 * 1 on without gaps, which no other entry ever gets, whatever crashes, cuts or restarts come between, as long
 * as the members keep their folders. Called, and told, on the thread of its owner.
 */
public interface ReplicatedLog {
    /** Of one entry. */
    int MAX_ENTRY_BYTES = 8 * 1024;
    /** So many of the newest entries are kept for those that come late. */
    int RETAINED_ENTRIES = 256;

    /** Learns what was chosen, at each member, in the order of the numbers. */
    interface Listener {
        /**
         * Told of each entry once a life; after a start, first of those kept. A member that comes later than
         * {@link #RETAINED_ENTRIES} entries misses the oldest: then numbers are left out.
         */
        void onCommitted(long index, byte[] entry);
    }

    /** What became of a proposal; one of the two, once. */
    interface ProposalListener {
        void onCommitted(long index);

        /**
         * Nobody can tell yet: no majority answered in time. The entry may still be chosen, and the listener
         * hears of it then; not any more once a later proposal of this member was chosen.
         */
        void onUnknown(String why);
    }

    /** Refuses an entry that is too long, for whoever keeps the log. */
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
