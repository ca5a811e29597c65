package frostreel.control;

import frostreel.broker.Deadlines;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.StreamConnection;

/** One operator's call: takes one line of bounded length, answers it with one, and ends. */
final class AdminConnection implements SocketStream.Handler {
    private static final int MAX_LINE_BYTES = 512;
    /** So long after connecting, a whole line must have come; some callers need four seconds and more. */
    private static final long REQUEST_TIMEOUT_US = 10_000_000;
    /** So long the caller may take to close after its answer: to close with bytes unread may lose that. */
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

    void begin() {
        timeout = loop.deadlines().after(REQUEST_TIMEOUT_US, this::closeSilent);
        stream.resumeReads();
    }

    /** It has said nothing whole for too long, or others need its place. */
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
                listener.commands().execute(new String(line, 0, lineLength, StandardCharsets.US_ASCII), this::reply);
            } else if (lineLength == MAX_LINE_BYTES) {
                loop.counters().callsRefused++;
                requestRead = true;
                reply("ERR a line of more than " + MAX_LINE_BYTES + " bytes");
            } else {
                line[lineLength++] = next;
            }
        }
    }

    private void reply(String text) {
        stream.write((text + "\n").getBytes(StandardCharsets.US_ASCII));
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
