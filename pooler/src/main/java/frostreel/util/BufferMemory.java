package frostreel.util;

/**
 * The memory of all buffers that grow with what peers send or leave unread. Each owner reports its part through an
 * {@link Account}. Used on the I/O thread.
 */
public final class BufferMemory {
    /** The owner of one buffer, or of several that it reports together. */
    public final class Account {
        private int reportedBytes;

        private Account() {}

        /** Reports how many bytes the owner holds now; 0 once it holds none. */
        public void set(int heldBytes) {
            add(heldBytes - reportedBytes);
            reportedBytes = heldBytes;
        }
    }

    /** The buffers' share is a quarter of the heap; the rest is left to tables and the garbage collector. */
    private static final long SHARE_DIVISOR = 4;

    private final long holdBackBytes;
    private long heldBytes;
    private long peakBytes;

    /** Creates an account book without owners, for a heap of at most {@code maxHeapBytes}. */
    public BufferMemory(long maxHeapBytes) {
        holdBackBytes = maxHeapBytes / SHARE_DIVISOR;
    }

    /** Creates an account for a heap of the size that this JVM may use. */
    public static BufferMemory ofThisProcess() {
        return new BufferMemory(Runtime.getRuntime().maxMemory());
    }

    /** Opens the account of an owner that holds nothing yet. */
    public Account account() {
        return new Account();
    }

    private void add(long changeBytes) {
        heldBytes += changeBytes;
        peakBytes = Math.max(peakBytes, heldBytes);
    }

    /** The bytes that all owners hold now. */
    public long heldBytes() {
        return heldBytes;
    }

    /** The most bytes that all owners have held at a time. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Whether the buffers exceed their share of the heap, so that input has to be held back. */
    public boolean holdsBackInput() {
        return heldBytes > holdBackBytes;
    }
}
