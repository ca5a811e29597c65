package frostreel.frontend;

import frostreel.time.Clock;
import frostreel.time.Deadlines;
import java.util.function.IntSupplier;

/**
 * The timeouts of a client without an active request: one for sending a complete message, one for reading its response.
 * At most one of them runs. Used on the I/O thread.
 */
final class ClientTimeouts {
    /** Handles the expiry of a timeout. */
    interface Handler {
        /** Called when the client has not sent a complete message in time. */
        void onMessageTimeout();

        /** Called when the client has read nothing for too long, with {@code pendingBytes} of its response unread. */
        void onReaderStalled(int pendingBytes);
    }

    /**
     * The time for the startup message and the first query together, or for the rest of a later message from when it is
     * awaited.
     */
    static final long MESSAGE_TIMEOUT_US = 2_300_000;
    /** The time without progress after which a client counts as no longer reading its response. */
    static final long READER_TIMEOUT_US = 30_000_000;

    private final Clock clock;
    private final Deadlines deadlines;
    private final IntSupplier pendingBytes;
    private final Handler handler;
    /** The deadline of the running timeout, or null. */
    private Deadlines.Deadline deadline;

    private long sinceUs;

    /** Creates the timeouts of one client; {@code pendingBytes} supplies the unread bytes of the client's response. */
    ClientTimeouts(Clock clock, Deadlines deadlines, IntSupplier pendingBytes, Handler handler) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.pendingBytes = pendingBytes;
        this.handler = handler;
    }

    /** When the client last became idle, or was last awaited for a message; unchanged while it reads a response. */
    long sinceUs() {
        return sinceUs;
    }

    /** Starts the timeout for a complete message; returns false, without an effect, if a timeout is running. */
    boolean awaitMessage() {
        if (deadline != null) {
            return false;
        }
        sinceUs = clock.now();
        deadline = deadlines.after(MESSAGE_TIMEOUT_US, handler::onMessageTimeout);
        return true;
    }

    /** Starts the timeout for the client to read some of its response, and cancels any other. */
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

    /** Cancels any timeout, as the client is idle from now on. */
    void onIdle() {
        cancel();
        sinceUs = clock.now();
    }

    /** Cancels the running timeout, if any. */
    void cancel() {
        deadlines.cancel(deadline);
        deadline = null;
    }
}
