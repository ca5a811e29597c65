package frostreel.frontend;

import frostreel.net.SocketStream;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.time.Deadlines;
import java.util.Arrays;

/**
 * Detects that a client has closed its connection while part of its input is unread, behind which the end of its output
 * cannot be seen. A message that clients ignore is written in two parts: the system of a client that has closed
 * answers the first with a reset, after which the second fails. Over a network the reset arrives later, so the probe is
 * repeated while input is held back. Used on the I/O thread.
 */
final class DisconnectProbe {
    /** A close has to be found by the second probe after it, within 100 ms. */
    private static final long INTERVAL_US = 30_000;

    private static final byte[] MESSAGE = Messages.unchangedParameter();
    private static final byte[] FIRST_PART = Arrays.copyOf(MESSAGE, MessageReader.HEADER_BYTES);
    private static final byte[] SECOND_PART = Arrays.copyOfRange(MESSAGE, MessageReader.HEADER_BYTES, MESSAGE.length);

    private final Deadlines deadlines;
    private final SocketStream stream;
    /** The next repetition, null while it is not repeated. */
    private Deadlines.Deadline next;

    DisconnectProbe(Deadlines deadlines, SocketStream stream) {
        this.deadlines = deadlines;
        this.stream = stream;
    }

    /** Probes at once; only between messages. If the client has closed, the stream reports its end afterwards. */
    void run() {
        stream.endBatch(); // The parts have to reach the socket one after the other.
        if (stream.flushed()) { // Otherwise the client has a response to read, and its output is tested by that.
            stream.write(FIRST_PART);
            stream.write(SECOND_PART);
        }
    }

    /** Repeats the probe until {@link #stop}; does nothing if it is repeated already. */
    void start() {
        if (next == null) {
            schedule();
        }
    }

    private void schedule() {
        next = deadlines.after(INTERVAL_US, () -> {
            run();
            schedule();
        });
    }

    /** Ends the repetition, if any. */
    void stop() {
        deadlines.cancel(next);
        next = null;
    }
}
