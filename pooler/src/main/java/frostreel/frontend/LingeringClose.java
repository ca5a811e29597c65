package frostreel.frontend;

import frostreel.time.Deadlines;

/**
 * Limits how much input of a client is read and dropped during an orderly close,
 * and how long the orderly close lasts. Used on the I/O thread.
 */
final class LingeringClose {
    /** Limits the input that is read and dropped, as reading it delays other clients. */
    static final int MAX_DROPPED_BYTES = 1 << 20;

    private final Deadlines deadlines;
    private final Runnable close;
    private Deadlines.Deadline deadline;
    private int droppedBytes;

    /** Creates the limits of one connection; {@code close} is called if the client does not close its side in time. */
    LingeringClose(Deadlines deadlines, Runnable close) {
        this.deadlines = deadlines;
        this.close = close;
    }

    /** Starts the time limit for the client to close its side, and restarts the count of dropped bytes. */
    void begin(long lingerUs) {
        droppedBytes = 0;
        deadline = deadlines.after(lingerUs, close);
    }

    /** Counts dropped bytes; returns whether they exceed {@link #MAX_DROPPED_BYTES}. */
    boolean exceedsDropLimit(int bytes) {
        droppedBytes += bytes;
        return droppedBytes > MAX_DROPPED_BYTES;
    }

    /** Stops the time limit, as the connection is closed. */
    void cancel() {
        deadlines.cancel(deadline);
    }
}
