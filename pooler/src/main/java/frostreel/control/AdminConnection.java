package frostreel.control;

import frostreel.broker.Deadlines;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.StreamConnection;

/** One operator's call: takes one line of bounded length, answers it with one, and ends. */
final class AdminConnection implements SocketStream.Handler {
    private static final int MOST_BYTES = 512;
    /** So long after connecting, a whole line must have come; some callers need four seconds and more. */
    private static final long PATIENCE_US = 10_000_000;
    /** So long the caller may take to close after its answer: to close with bytes unread may lose that. */
    private static final long LINGER_US = 500_000;

    private final EventLoop loop;
    private final AdminListener listener;
    private final SocketStream stream;
    private final byte[] line = new byte[MOST_BYTES];
    private int length;
    private boolean answered;
    private boolean closed;
    private Deadlines.Deadline patience;

    AdminConnection(EventLoop loop, AdminListener listener, StreamConnection connection) {
        this.loop = loop;
        this.listener = listener;
        stream = new SocketStream(loop, connection, this);
    }

    void begin() {
        patience = loop.deadlines().after(PATIENCE_US, this::silent);
        stream.resumeReads();
    }

    /** It has said nothing whole for too long, or others need its place. */
    void silent() {
        if (!answered) {
            loop.counters().callersSilent++;
        }
        close();
    }

    @Override
    public void received(ByteBuffer in) {
        while (in.hasRemaining() && !answered) {
            byte b = in.get();
            if (b == '\n') {
                answered = true;
                listener.operator().call(new String(line, 0, length, StandardCharsets.US_ASCII), this::answer);
            } else if (length == MOST_BYTES) {
                loop.counters().callsRefused++;
                answered = true;
                answer("ERR a line of more than " + MOST_BYTES + " bytes");
            } else {
                line[length++] = b;
            }
        }
    }

    private void answer(String text) {
        stream.write((text + "\n").getBytes(StandardCharsets.US_ASCII));
        stream.end();
        if (!closed) {
            loop.deadlines().cancel(patience);
            patience = loop.deadlines().after(LINGER_US, this::close);
        }
    }

    @Override
    public void ended() {
        close();
    }

    private void close() {
        if (!closed) {
            closed = true;
            loop.deadlines().cancel(patience);
            stream.close();
            listener.closed(this);
        }
    }
}
