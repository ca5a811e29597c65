package frostreel.util;

/**
 * The memory of all buffers that grow with what peers send or leave unread. Each owner reports its part through an
 * {@link Account}.
 *
 * <p>Owners give back memory as soon as they do not need it. Beyond the first limit input is held back, beyond the
 * second one new requests are rejected. Used on the I/O thread.
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

    private static final long EIGHTHS = 8;
    /** Input is held back beyond a quarter of the heap. */
    private static final long HOLD_BACK_EIGHTHS = 2;
    /**
     * Requests are rejected beyond three eighths of the heap. What lies between the limits is for messages that had
     * begun to arrive; the rest of the heap is for responses in progress, tables and the garbage collector.
     */
    private static final long REJECT_EIGHTHS = 3;

    private final long holdBackBytes;
    private final long rejectBytes;
    private long heldBytes;
    private long peakBytes;

    /** Creates an account book without owners, for a heap of at most {@code maxHeapBytes}. */
    public BufferMemory(long maxHeapBytes) {
        holdBackBytes = maxHeapBytes / EIGHTHS * HOLD_BACK_EIGHTHS;
        rejectBytes = maxHeapBytes / EIGHTHS * REJECT_EIGHTHS;
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

    /** Whether input for which nobody waits has to stay in the sockets. */
    public boolean holdsBackInput() {
        return heldBytes > holdBackBytes;
    }

    /** Whether new requests have to be rejected. */
    public boolean rejectsRequests() {
        return heldBytes > rejectBytes;
    }
}
