package frostreel.frontend;

import frostreel.net.EventLoop;
import frostreel.time.Deadlines;

/**
 * How long, and for how many bytes, a client is still read from whose input is only dropped. Used on the I/O thread.
 */
final class Lingering {
    /** So much is read only to be dropped; it costs time that other clients need. */
    private static final int MAX_DROPPED_BYTES = 1 << 20;

    private final EventLoop loop;
    private final Runnable close;
    private Deadlines.Deadline deadline;
    private int droppedBytes;

    /** {@code close}: called where the client has not ended its connection in time. */
    Lingering(EventLoop loop, Runnable close) {
        this.loop = loop;
        this.close = close;
    }

    /** Gives the client this time to end its connection. */
    void begin(long lingerUs) {
        droppedBytes = 0;
        deadline = loop.deadlines().after(lingerUs, close);
    }

    /** Counts dropped bytes; whether they have become too many to read on. */
    boolean dropsTooMuch(int bytes) {
        droppedBytes += bytes;
        return droppedBytes > MAX_DROPPED_BYTES;
    }

    /** The connection is closed. */
    void cancel() {
        loop.deadlines().cancel(deadline);
    }
}
