package frostreel.frontend;

import frostreel.time.Clock;
import frostreel.time.Deadlines;
import java.util.function.IntSupplier;

/**
 * The timeouts of a client that has no active request: for the complete message that it owes, or for reading its
 * response. At most one of them runs. Used on the I/O thread.
 */
final class IdleTimer {
    /** What is done when a timeout expires. */
    interface Handler {
        /** The client has sent no complete message in time. */
        void onMessageTimeout();

        /** The client has read nothing for too long, while {@code pendingBytes} of its response are unread. */
        void onReaderStalled(int pendingBytes);
    }

    /** After connecting, or after the first byte of a message, a complete one must arrive within this time. */
    static final long MESSAGE_TIMEOUT_US = 2_300_000;
    /** A client that reads nothing of its response for this time occupies its connection for nothing. */
    static final long READER_TIMEOUT_US = 30_000_000;

    private final Clock clock;
    private final Deadlines deadlines;
    private final IntSupplier pendingBytes;
    private final Handler handler;
    /** The timeout that is running, null for none. */
    private Deadlines.Deadline deadline;

    private long sinceUs;

    /** {@code pendingBytes}: how many bytes of its response the client has not read yet. */
    IdleTimer(Clock clock, Deadlines deadlines, IntSupplier pendingBytes, Handler handler) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.pendingBytes = pendingBytes;
        this.handler = handler;
    }

    /** Since when the client has been idle, or has owed a complete message. */
    long sinceUs() {
        return sinceUs;
    }

    /** Starts the timeout for a complete message; false, with nothing changed, if a timeout is running. */
    boolean awaitMessage() {
        if (deadline != null) {
            return false;
        }
        sinceUs = clock.now();
        deadline = deadlines.after(MESSAGE_TIMEOUT_US, handler::onMessageTimeout);
        return true;
    }

    /** Starts the timeout for the client to read some of its response, in place of any other. */
    void awaitReader() {
        cancel();
        int pendingAtStart = pendingBytes.getAsInt();
        deadline = deadlines.after(READER_TIMEOUT_US, () -> onReaderTimeout(pendingAtStart));
    }

    private void onReaderTimeout(int pendingAtStart) {
        deadline = null;
        if (pendingBytes.getAsInt() < pendingAtStart) {
            awaitReader();
        } else {
            handler.onReaderStalled(pendingAtStart);
        }
    }

    /** The client is idle from now on, without a timeout. */
    void onIdle() {
        cancel();
        sinceUs = clock.now();
    }

    /** Stops the timeout that is running, if any. */
    void cancel() {
        deadlines.cancel(deadline);
        deadline = null;
    }
}
