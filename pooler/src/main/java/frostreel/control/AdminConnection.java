package frostreel.control;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.time.Deadlines;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.StreamConnection;

/** One operator's connection: reads one line of bounded length, answers it with one line, and closes. */
final class AdminConnection implements SocketStream.Handler {
    /** The longest line that is accepted, without its line feed. */
    static final int MAX_LINE_BYTES = 512;
    /** How long after connecting a whole line must have come; some callers need four seconds and more. */
    private static final long REQUEST_TIMEOUT_US = 10_000_000;
    /** How long the caller may take to close after its reply: closing with bytes unread could lose that. */
    private static final long LINGER_US = 500_000;

    private final EventLoop loop;
    private final AdminListener listener;
    private final SocketStream stream;
    private final byte[] line = new byte[MAX_LINE_BYTES];
    private int lineLength;
    private boolean requestRead;
    private boolean closed;
    private Deadlines.Deadline timeout;

    AdminConnection(EventLoop loop, AdminListener listener, StreamConnection connection) {
        this.loop = loop;
        this.listener = listener;
        stream = new SocketStream(loop, connection, this);
    }

    /** Starts to read. */
    void begin() {
        timeout = loop.deadlines().after(REQUEST_TIMEOUT_US, this::closeSilent);
        stream.resumeReads();
    }

    /** Closes a connection that has not sent a whole line in time, or whose place another caller needs. */
    void closeSilent() {
        if (!requestRead) {
            loop.counters().callersSilent++;
        }
        close();
    }

    @Override
    public void received(ByteBuffer in) {
        while (in.hasRemaining() && !requestRead) {
            byte next = in.get();
            if (next == '\n') {
                requestRead = true;
                String request = new String(line, 0, lineLength, StandardCharsets.US_ASCII);
                listener.commands().execute(request, this::reply);
            } else if (lineLength == MAX_LINE_BYTES) {
                requestRead = true;
                loop.counters().callsRefused++;
                reply(AdminReply.LINE_TOO_LONG);
            } else {
                line[lineLength++] = next;
            }
        }
    }

    private void reply(AdminReply reply) {
        stream.write((reply.line() + "\n").getBytes(StandardCharsets.US_ASCII));
        stream.end();
        if (!closed) {
            loop.deadlines().cancel(timeout);
            timeout = loop.deadlines().after(LINGER_US, this::close);
        }
    }

    @Override
    public void ended() {
        close();
    }

    private void close() {
        if (!closed) {
            closed = true;
            loop.deadlines().cancel(timeout);
            stream.close();
            listener.onClosed(this);
        }
    }
}
