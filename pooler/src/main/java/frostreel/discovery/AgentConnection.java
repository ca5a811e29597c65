package frostreel.discovery;

import frostreel.broker.Deadlines;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * One connection to discovery, with at most one call on it. It tells its owner, on the loop, what became of
 * it: each event at most once for a call, and none after {@link #close}.
 */
final class AgentConnection implements SocketStream.Handler {
    /** Who is told; each time with the connection that it is about. */
    interface Listener {
        /** It is up, and may be called on. */
        void onConnected(AgentConnection connection);

        /** A whole response to the call came. */
        void onResponse(AgentConnection connection, HttpResponseParser response);

        /** Neither the connection nor a whole response came within the patience; it goes on all the same. */
        void onOverdue(AgentConnection connection, String reason);

        /** It has ended, and is closed. */
        void onFailed(AgentConnection connection, String reason);
    }

    /** An answer of which bytes came within this time is on its way, for so long in all at the most. */
    private static final long ARRIVAL_GAP_US = 500_000;

    private static final long MAX_ARRIVAL_US = 20_000_000;
    private final EventLoop loop;
    private final Listener listener;
    private final InetSocketAddress address;
    private final IoFuture<StreamConnection> connecting;
    private SocketStream stream;
    private HttpResponseParser response = new HttpResponseParser();
    private Deadlines.Deadline timeout;
    private long fromVersion;
    private long lastReceivedUs;
    private long requestedUs;
    private boolean closed;

    /** Begins to connect; {@code timeoutUs}: after so long without a connection it is late. */
    AgentConnection(EventLoop loop, InetSocketAddress address, long timeoutUs, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        this.address = address;
        requestedUs = loop.clock().now();
        lastReceivedUs = requestedUs;
        timeout = loop.deadlines().after(timeoutUs, () -> listener.onOverdue(this, "no connection in time"));
        connecting = loop.thread().openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
    }

    /** Hears of the connection from now on; a separate step, so that the owner may first keep this. */
    void begin() {
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void none) {
                        if (closed) {
                            IoUtils.safeClose(connection); // Given up on while it came up.
                            return;
                        }
                        stream = new SocketStream(loop, connection, AgentConnection.this);
                        stream.resumeReads();
                        listener.onConnected(AgentConnection.this);
                    }

                    @Override
                    public void handleFailed(IOException e, Void none) {
                        fail("the connection failed: " + e.getMessage());
                    }
                },
                null);
    }

    /** Asks for a path and query; {@code fromVersion}: the version it asks from, negative for the whole list. */
    void request(String pathAndQuery, long fromVersion, long timeoutUs) {
        this.fromVersion = fromVersion;
        response = new HttpResponseParser();
        requestedUs = loop.clock().now();
        lastReceivedUs = requestedUs;
        loop.deadlines().cancel(timeout);
        timeout = loop.deadlines().after(timeoutUs, this::reportOverdueUnlessArriving);
        String host = address.getAddress().getHostAddress() + ":" + address.getPort();
        stream.write(
                ("GET " + pathAndQuery + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json" + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** A long list that is on its way takes its time; asked for again, it would take longer. */
    private void reportOverdueUnlessArriving() {
        long nowUs = loop.clock().now();
        if (lastReceivedUs > requestedUs && nowUs - lastReceivedUs < ARRIVAL_GAP_US && nowUs - requestedUs < MAX_ARRIVAL_US) {
            timeout = loop.deadlines().after(ARRIVAL_GAP_US, this::reportOverdueUnlessArriving);
        } else {
            listener.onOverdue(this, "no answer in time");
        }
    }

    /** The version that the call in hand, or the last one, asks from. */
    long fromVersion() {
        return fromVersion;
    }

    /** When the last byte came, or the call was made. */
    long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** When the call was made, or connecting began. */
    long requestedUs() {
        return requestedUs;
    }

    /** Takes what has come by now. */
    void readNow() {
        if (stream != null) {
            stream.readNow();
        }
    }

    @Override
    public void received(ByteBuffer in) {
        lastReceivedUs = loop.clock().now();
        try {
            response.accept(in);
        } catch (HttpResponseParser.HttpException e) {
            fail(e.getMessage());
            return;
        }
        if (response.isComplete()) {
            reportResponse();
        }
    }

    @Override
    public void ended() {
        if (!stream.wasReset() && response.isDelimitedByClose()) {
            reportResponse();
        } else {
            fail("the connection ended");
        }
    }

    private void reportResponse() {
        loop.deadlines().cancel(timeout);
        listener.onResponse(this, response);
    }

    private void fail(String reason) {
        if (!closed) {
            close();
            listener.onFailed(this, reason);
        }
    }

    /** Ends it, whatever it is in; nothing is told of it any more. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        loop.deadlines().cancel(timeout);
        if (stream != null) {
            stream.close();
        } else {
            connecting.cancel();
        }
    }
}
