package frostreel.util;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.Executor;

/**
 * The memory of all buffers that grow with what peers send or leave unread. Each owner reports its part through an
 * {@link Account}.
 *
 * <p>Owners give back memory as soon as they do not need it. Beyond the first limit input is held back, beyond the
 * second one new requests are rejected, and up to the third one responses are read from servers; what exceeds it waits
 * in the sockets, in the order in which it was found, see {@link #awaitRoom}. Used on the I/O thread.
 */
public final class BufferMemory {
    /** One who waits for memory; the identity of a place in the queue. */
    public static final class Waiter {
        private final int bytes;
        private final Runnable onRoom;

        private Waiter(int bytes, Runnable onRoom) {
            this.bytes = bytes;
            this.onRoom = onRoom;
        }
    }

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

    /** Responses are read up to half of the heap; the rest is for the program, its tables and the collector. */
    private static final long RESPONSE_EIGHTHS = 4;

    private final long holdBackBytes;
    private final long rejectBytes;
    private final long responseBytes;
    private final Set<Waiter> waiting = new LinkedHashSet<>();
    /** Runs a task later on the I/O thread. */
    private Executor scheduler = Runnable::run;

    private boolean resumeScheduled;
    private long heldBytes;
    private long peakBytes;

    /** Creates an account book without owners, for a heap of at most {@code maxHeapBytes}. */
    public BufferMemory(long maxHeapBytes) {
        holdBackBytes = maxHeapBytes / EIGHTHS * HOLD_BACK_EIGHTHS;
        rejectBytes = maxHeapBytes / EIGHTHS * REJECT_EIGHTHS;
        responseBytes = maxHeapBytes / EIGHTHS * RESPONSE_EIGHTHS;
    }

    /** Creates an account for a heap of the size that this JVM may use. */
    public static BufferMemory ofThisProcess() {
        return new BufferMemory(Runtime.getRuntime().maxMemory());
    }

    /** Opens the account of an owner that holds nothing yet. */
    public Account account() {
        return new Account();
    }

    /** Sets the executor that resumes those who wait for memory: on the I/O thread, after the current call. */
    public void resumeWith(Executor executor) {
        scheduler = executor;
    }

    private void add(long changeBytes) {
        heldBytes += changeBytes;
        peakBytes = Math.max(peakBytes, heldBytes);
        if (changeBytes < 0) {
            scheduleResume();
        }
    }

    private void scheduleResume() {
        if (!resumeScheduled && firstFits()) {
            resumeScheduled = true;
            scheduler.execute(this::resumeWaiting);
        }
    }

    private boolean firstFits() {
        return !waiting.isEmpty() && hasRoomForResponse(waiting.iterator().next().bytes);
    }

    private void resumeWaiting() {
        resumeScheduled = false;
        while (firstFits()) {
            Waiter first = waiting.iterator().next();
            waiting.remove(first);
            first.onRoom.run();
        }
    }

    /** Whether a part of a response of this size may be read from a server. */
    public boolean hasRoomForResponse(int bytes) {
        return heldBytes + bytes <= responseBytes;
    }

    /**
     * Queues for room for a part of a response.
     *
     * @param onRoom called once there is room and all earlier ones have it; has to report the memory or not need it
     * @return the place in the queue, for {@link #stopWaiting}
     */
    public Waiter awaitRoom(int bytes, Runnable onRoom) {
        Waiter waiter = new Waiter(bytes, onRoom);
        waiting.add(waiter);
        return waiter;
    }

    /** Leaves the queue; does nothing for null, or if {@code onRoom} was called. */
    public void stopWaiting(Waiter waiter) {
        waiting.remove(waiter);
        scheduleResume();
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
