package frostreel.backend;

import frostreel.request.BackEnd;
import frostreel.time.Deadlines;
import java.nio.ByteBuffer;

/**
 * Forwards a row that is too long to be buffered, piece by piece as it arrives. Reports the row as stalled if no data
 * arrives between two checks {@link #STALL_TIMEOUT_US} apart, as it would otherwise occupy a client connection and a
 * server connection indefinitely. Each server connection has one forwarder, which is reused for every long row.
 */
final class LongRowForwarder {
    /** Well above the seconds that slow but healthy peers take to read or write. */
    private static final long STALL_TIMEOUT_US = 30_000_000;

    private final Deadlines deadlines;
    private final Runnable onStalled;
    /** Null while no row is forwarded, so that a finished one keeps no memory of its client. */
    private BackEnd.ResponseStream target;

    private int remainingBytes;
    private boolean receivedSinceCheck;
    private Deadlines.Deadline nextCheck;

    /** {@code onStalled}: called if a row has stalled; has to call {@link #stop}. */
    LongRowForwarder(Deadlines deadlines, Runnable onStalled) {
        this.deadlines = deadlines;
        this.onStalled = onStalled;
    }

    /** Whether a row has begun and part of it has not arrived yet. */
    boolean isActive() {
        return remainingBytes > 0;
    }

    /**
     * Begins to forward a row.
     *
     * @param head the messages that precede the row
     * @param received the part of the row that has arrived already
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
        releaseIfComplete();
    }

    /** Consumes and forwards the part of the buffer that belongs to the row. */
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
        releaseIfComplete();
    }

    private void releaseIfComplete() {
        if (!isActive()) {
            target = null;
        }
    }

    /** Stops forwarding the current row, if there is one. */
    void stop() {
        remainingBytes = 0;
        target = null;
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
