package frostreel.lab.processes;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * One connection of a client to a pooler, with at most one query on it: a request, or an empty query as a
 * health check. Used on the event loop's thread alone.
 */
final class LoadConnection implements SocketStream.Handler {
    /** Is notified of the outcome of each request and health check. */
    interface Listener {
        /** A request was answered; the connection is idle again, or has ended after a fatal error. */
        void answered(LoadConnection connection, LoadRequest request, Answer answer);

        /** The connection ended before the request on it was answered. */
        void lost(LoadRequest request, Loss loss);

        /** No answer came in time, and the client has closed the connection. */
        void gaveUp(LoadRequest request);

        /** A health check ended. */
        void checked(LoadConnection connection, HealthCheckResult result);

        /** The connection ended without a request on it. */
        void endedIdle(LoadConnection connection);
    }

    /** How a connection ended with a request on it. */
    enum Loss {
        /** The pooler had not completed the start-up of the connection. */
        NOT_STARTED,
        /** The pooler closed an idle connection while the request was on its way, so it may be sent again. */
        CROSSED_IDLE_CLOSE,
        /** Any other end: on the first request, or within an answer. */
        ANSWER_MISSING
    }

    /** How a health check ended. */
    enum HealthCheckResult {
        HEALTHY,
        REJECTED,
        CONNECTION_ENDED
    }

    /** A pooler's answer: the value of its row, or the fields of an error; either may be null. */
    @SuppressWarnings("ArrayRecordComponent") // Answers are never compared.
    record Answer(byte[] value, byte[] error) {}

    private static final int MAX_MESSAGE_BYTES = 1 << 18;
    private static final byte[] EMPTY_QUERY = Messages.query("\0".getBytes(StandardCharsets.US_ASCII));

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Listener listener;
    private final MessageReader reader = new MessageReader(type -> MAX_MESSAGE_BYTES);
    /** Null until the connection is up. */
    private SocketStream stream;
    /** The request in flight; null where there is none. */
    private LoadRequest request;

    private boolean checking;
    private boolean started;
    private boolean reused;
    private boolean closed;
    private byte[] value;
    private byte[] error;
    private boolean emptyQueryAnswered;

    LoadConnection(EventLoop loop, InetSocketAddress address, Listener listener) {
        this.loop = loop;
        this.address = address;
        this.listener = listener;
    }

    /** Sends an empty query as a health check. */
    void sendHealthCheck() {
        checking = true;
        write(EMPTY_QUERY);
    }

    /** Sends a request, and gives it up if no answer has come after {@code giveUpAfterUs}. */
    void send(LoadRequest next, byte[] sql, long giveUpAfterUs) {
        request = next;
        loop.deadlines().after(giveUpAfterUs, () -> {
            if (request == next) {
                giveUp();
            }
        });
        write(Messages.query(sql));
    }

    private void write(byte[] query) {
        if (stream == null) {
            connect(query);
        } else {
            stream.write(query);
        }
    }

    private void connect(byte[] firstQuery) {
        IoFuture<StreamConnection> connecting =
                loop.thread().openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void none) {
                        stream = new SocketStream(loop, connection, LoadConnection.this);
                        stream.write(Messages.startup());
                        stream.write(firstQuery);
                        stream.resumeReads();
                    }

                    @Override
                    public void handleFailed(IOException failure, Void none) {
                        ended();
                    }
                },
                null);
    }

    @Override
    public void received(ByteBuffer in) {
        reader.feed(in);
        try {
            while (!closed && reader.next()) {
                switch (reader.type()) {
                    case 'D' -> value = reader.body();
                    case 'E' -> error = reader.body();
                    case 'I' -> emptyQueryAnswered = true;
                    case 'Z' -> readyForQuery();
                    default -> {}
                }
            }
        } catch (PgException e) {
            throw new IllegalStateException("a pooler wrote what is no message: " + e.getMessage(), e);
        }
    }

    private void readyForQuery() {
        if (!started) {
            started = true;
        } else if (checking) {
            checking = false;
            error = null;
            listener.checked(this, emptyQueryAnswered ? HealthCheckResult.HEALTHY : HealthCheckResult.REJECTED);
        } else {
            LoadRequest answered = request;
            request = null;
            reused = true;
            Answer answer = new Answer(value, error);
            value = null;
            error = null;
            listener.answered(this, answered, answer);
        }
    }

    @Override
    public void ended() {
        closed = true;
        LoadRequest open = request;
        request = null;
        if (checking) {
            checking = false;
            listener.checked(this, HealthCheckResult.CONNECTION_ENDED);
        } else if (open == null) {
            listener.endedIdle(this);
        } else if (error != null) {
            // A fatal error, after which no ReadyForQuery comes.
            listener.answered(this, open, new Answer(null, error));
        } else {
            listener.lost(open, loss());
        }
    }

    private Loss loss() {
        if (!started) {
            return Loss.NOT_STARTED;
        }
        return reused && value == null ? Loss.CROSSED_IDLE_CLOSE : Loss.ANSWER_MISSING;
    }

    private void giveUp() {
        LoadRequest open = request;
        request = null;
        close();
        listener.gaveUp(open);
    }

    /** Whether the connection has ended or was closed. */
    boolean closed() {
        return closed;
    }

    void close() {
        closed = true;
        if (stream != null) {
            stream.close();
        }
    }
}
