package frostreel.frontend;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.time.Deadlines;

/**
 * The time-outs of a client that has no active request: for the complete message that it owes, or for taking its
 * answer. At most one of them runs. Used on the I/O thread.
 */
final class IdleTimer {
    /** After connecting, or after the first byte of a message, a complete one must have come within this time. */
    private static final long MESSAGE_TIMEOUT_US = 2_300_000;
    /** A client that reads nothing of its answer for this time keeps its connection for nothing. */
    private static final long READER_TIMEOUT_US = 30_000_000;

    private final EventLoop loop;
    private final SocketStream stream;
    private final ClientConnection client;
    private Deadlines.Deadline deadline;
    private long sinceUs;

    IdleTimer(EventLoop loop, SocketStream stream, ClientConnection client) {
        this.loop = loop;
        this.stream = stream;
        this.client = client;
    }

    /** Since when the client has been idle, or has owed a complete message. */
    long sinceUs() {
        return sinceUs;
    }

    /** Starts the time-out for a complete message; false, with nothing changed, where a time-out is running. */
    boolean awaitMessage() {
        if (deadline != null) {
            return false;
        }
        sinceUs = loop.clock().now();
        deadline = loop.deadlines().after(MESSAGE_TIMEOUT_US, client::onMessageTimeout);
        return true;
    }

    /** Starts the time-out for the client to take some of its answer, in place of any other. */
    void awaitReader() {
        cancel();
        int pendingBytes = stream.pendingBytes();
        deadline = loop.deadlines().after(READER_TIMEOUT_US, () -> {
            deadline = null;
            if (stream.pendingBytes() < pendingBytes) {
                client.awaitReader();
            } else {
                client.onReaderStalled(pendingBytes);
            }
        });
    }

    /** The client is idle from now on, for as long as it likes. */
    void onIdle() {
        cancel();
        sinceUs = loop.clock().now();
    }

    /** Stops the time-out that is running, if any. */
    void cancel() {
        loop.deadlines().cancel(deadline);
        deadline = null;
    }
}
