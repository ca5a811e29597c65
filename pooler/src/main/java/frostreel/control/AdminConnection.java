package frostreel.control;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.time.Deadlines;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.StreamConnection;

/**
 * A connection to the admin endpoint: reads one request line of bounded length, responds with one line, and closes.
 */
final class AdminConnection implements SocketStream.Handler {
    /** Maximum length of a request line, without its line feed. */
    static final int MAX_LINE_BYTES = 512;
    /** Time from connecting until a complete line must have arrived; some callers take 4 s or more. */
    private static final long REQUEST_TIMEOUT_US = 10_000_000;
    /**
     * Time that the peer has to close its side after the response: closing with unread bytes could lose the
     * response.
     */
    private static final long LINGER_US = 500_000;

    private enum State {
        READING_REQUEST,
        REQUEST_READ,
        CLOSED
    }

    private final EventLoop loop;
    private final AdminListener listener;
    private final SocketStream stream;
    private final byte[] line = new byte[MAX_LINE_BYTES];
    private int lineLength;
    private State state = State.READING_REQUEST;
    private Deadlines.Deadline timeout;

    AdminConnection(EventLoop loop, AdminListener listener, StreamConnection connection) {
        this.loop = loop;
        this.listener = listener;
        stream = new SocketStream(loop, connection, this);
    }

    /** Starts reading and the request timeout. */
    void begin() {
        timeout = loop.deadlines().after(REQUEST_TIMEOUT_US, this::abort);
        stream.resumeReads();
    }

    /** Closes the connection because the request timed out, or to make room for another connection. */
    void abort() {
        if (state == State.READING_REQUEST) {
            loop.counters().adminClientsTimedOut++;
        }
        close();
    }

    @Override
    public void received(ByteBuffer in) {
        while (in.hasRemaining() && state == State.READING_REQUEST) {
            receive(in.get());
        }
    }

    private void receive(byte next) {
        if (next == '\n') {
            executeRequest();
        } else if (lineLength == MAX_LINE_BYTES) {
            rejectRequest();
        } else {
            line[lineLength++] = next;
        }
    }

    private void executeRequest() {
        state = State.REQUEST_READ;
        String request = new String(line, 0, lineLength, StandardCharsets.US_ASCII);
        listener.commands().execute(request, this::respond);
    }

    private void rejectRequest() {
        state = State.REQUEST_READ;
        loop.counters().adminCommandsRejected++;
        respond(AdminResponse.LINE_TOO_LONG);
    }

    private void respond(AdminResponse response) {
        stream.write((response.line() + "\n").getBytes(StandardCharsets.US_ASCII));
        stream.end();
        if (state != State.CLOSED) {
            loop.deadlines().cancel(timeout);
            timeout = loop.deadlines().after(LINGER_US, this::close);
        }
    }

    @Override
    public void ended() {
        close();
    }

    private void close() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            loop.deadlines().cancel(timeout);
            stream.close();
            listener.onClosed(this);
        }
    }
}
