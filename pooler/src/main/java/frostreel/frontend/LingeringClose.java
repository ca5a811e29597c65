package frostreel.frontend;

import frostreel.time.Deadlines;

/**
 * Bounds how long, and for how many bytes, a client is still read from whose input is only dropped. Used on the I/O
 * thread.
 */
final class LingeringClose {
    /** The most that is read only to be dropped, as reading it costs time that other clients need. */
    static final int MAX_DROPPED_BYTES = 1 << 20;

    private final Deadlines deadlines;
    private final Runnable close;
    private Deadlines.Deadline deadline;
    private int droppedBytes;

    /** {@code close}: called if the client has not closed its side in time. */
    LingeringClose(Deadlines deadlines, Runnable close) {
        this.deadlines = deadlines;
        this.close = close;
    }

    /** Gives the client this time to close its side. */
    void begin(long lingerUs) {
        droppedBytes = 0;
        deadline = deadlines.after(lingerUs, close);
    }

    /** Counts dropped bytes; returns whether there were too many to continue reading. */
    boolean exceedsDropLimit(int bytes) {
        droppedBytes += bytes;
        return droppedBytes > MAX_DROPPED_BYTES;
    }

    /** The connection is closed. */
    void cancel() {
        deadlines.cancel(deadline);
    }
}
