package frostreel.backend;

import frostreel.request.BackEnd;
import frostreel.time.Deadlines;
import java.nio.ByteBuffer;

/**
 * Forwards a row that is too long to be buffered piece by piece, as it arrives, and gives it up where nothing arrives
 * for too long: it would hold connections on both sides for nothing. One per server connection, used again for each
 * long row.
 */
final class LongRowForwarder {
    /** Slow peers take seconds to read or write; a row of which nothing arrives for this time has stalled. */
    private static final long STALL_TIMEOUT_US = 30_000_000;

    private final Deadlines deadlines;
    private final Runnable onStalled;
    private BackEnd.ResponseStream target;
    private int remainingBytes;
    private boolean receivedSinceCheck;
    private Deadlines.Deadline nextCheck;

    /** {@code onStalled}: is called where a row has stalled, and has to {@link #stop} it. */
    LongRowForwarder(Deadlines deadlines, Runnable onStalled) {
        this.deadlines = deadlines;
        this.onStalled = onStalled;
    }

    /** Whether bytes of a row are still to come. */
    boolean isActive() {
        return remainingBytes > 0;
    }

    /**
     * Begins a row.
     *
     * @param head the messages before it
     * @param received as much of the row as has arrived
     * @param totalBytes the length of the whole row
     */
    void begin(BackEnd.ResponseStream newTarget, byte[] head, byte[] received, int totalBytes) {
        target = newTarget;
        remainingBytes = totalBytes - received.length;
        receivedSinceCheck = true;
        if (isActive()) {
            scheduleCheck();
        }
        newTarget.write(head);
        newTarget.write(received);
    }

    /** Forwards as much of the buffer as belongs to the row. */
    void forward(ByteBuffer in) {
        if (!isActive() || !in.hasRemaining()) {
            return;
        }
        byte[] piece = new byte[Math.min(remainingBytes, in.remaining())];
        in.get(piece);
        remainingBytes -= piece.length;
        receivedSinceCheck = true;
        if (!isActive()) {
            deadlines.cancel(nextCheck);
        }
        target.write(piece);
    }

    /** Forwards nothing more. */
    void stop() {
        remainingBytes = 0;
        deadlines.cancel(nextCheck);
    }

    private void scheduleCheck() {
        nextCheck = deadlines.after(STALL_TIMEOUT_US, this::check);
    }

    private void check() {
        if (!isActive()) {
            return;
        }
        if (receivedSinceCheck) {
            receivedSinceCheck = false;
            scheduleCheck();
        } else {
            onStalled.run();
        }
    }
}
