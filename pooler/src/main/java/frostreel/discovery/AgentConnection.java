package frostreel.discovery;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.time.Deadlines;
import frostreel.util.BufferMemory;
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
 * A connection to the discovery agent, with at most one request in flight. The listener is notified on the I/O
 * thread: of each kind of event at most once per request, and of nothing after {@link #close}.
 */
final class AgentConnection implements SocketStream.Handler {
    /** Receives the events of connections. */
    interface Listener {
        /** The connection is established and can carry a request. */
        void onConnected(AgentConnection connection);

        /** A complete response to the request has arrived. */
        void onResponse(AgentConnection connection, HttpResponseParser response);

        /**
         * The connect or the response has exceeded its timeout. The connection stays open, and may still succeed.
         */
        void onOverdue(AgentConnection connection, String reason);

        /** The connection has failed and is closed. */
        void onFailed(AgentConnection connection, String reason);
    }

    /** A response is still arriving, and not overdue, if bytes of it have arrived within this time. */
    private static final long ARRIVAL_GAP_US = 500_000;
    /** Time after which a response is overdue even if it is still arriving. */
    private static final long MAX_ARRIVAL_US = 20_000_000;

    private final EventLoop loop;
    private final Listener listener;
    private final InetSocketAddress address;
    private final IoFuture<StreamConnection> connecting;
    /** The memory of {@link #response}. */
    private final BufferMemory.Account inputMemory;
    /** Null until the connection is established. */
    private SocketStream stream;

    private HttpResponseParser response = new HttpResponseParser();
    private Deadlines.Deadline timeout;
    private long fromVersion;
    private long lastReceivedUs;
    private long requestedUs;
    private boolean closed;

    /** Starts connecting; the listener is notified if that takes longer than {@code timeoutUs}. */
    AgentConnection(EventLoop loop, InetSocketAddress address, long timeoutUs, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        this.address = address;
        inputMemory = loop.buffers().account();
        requestedUs = loop.clock().now();
        lastReceivedUs = requestedUs;
        timeout = loop.deadlines().after(timeoutUs, () -> listener.onOverdue(this, "connect timed out"));
        connecting = loop.thread().openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
    }

    /**
     * Starts notifying the listener; separate from the constructor, so that the listener can store this object
     * first.
     */
    void begin() {
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void none) {
                        connected(connection);
                    }

                    @Override
                    public void handleFailed(IOException failure, Void none) {
                        fail("connect failed: " + failure.getMessage());
                    }
                },
                null);
    }

    private void connected(StreamConnection connection) {
        if (closed) {
            IoUtils.safeClose(connection); // Closed while connecting.
            return;
        }
        stream = new SocketStream(loop, connection, this);
        stream.resumeReads();
        listener.onConnected(this);
    }

    /**
     * Sends a request.
     *
     * @param fromVersion the version of the endpoint list since which updates are requested; returned by {@link
     *     #fromVersion()}
     * @param timeoutUs time after which the response is overdue
     */
    void request(String pathAndQuery, long fromVersion, long timeoutUs) {
        this.fromVersion = fromVersion;
        response = new HttpResponseParser();
        requestedUs = loop.clock().now();
        lastReceivedUs = requestedUs;
        loop.deadlines().cancel(timeout);
        timeout = loop.deadlines().after(timeoutUs, this::reportOverdueUnlessArriving);
        String host = address.getAddress().getHostAddress() + ":" + address.getPort();
        String request = "GET " + pathAndQuery + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: application/json\r\n\r\n";
        stream.write(request.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * Reports the request as overdue, unless a long list is still arriving: requesting it again would take longer.
     */
    private void reportOverdueUnlessArriving() {
        long nowUs = loop.clock().now();
        boolean arriving = lastReceivedUs > requestedUs && nowUs - lastReceivedUs < ARRIVAL_GAP_US;
        if (arriving && nowUs - requestedUs < MAX_ARRIVAL_US) {
            timeout = loop.deadlines().after(ARRIVAL_GAP_US, this::reportOverdueUnlessArriving);
        } else {
            listener.onOverdue(this, "response timed out");
        }
    }

    /** Returns the version since which the latest request asks for updates. */
    long fromVersion() {
        return fromVersion;
    }

    /** Returns when the last byte arrived, or when the latest request was sent if none has arrived since. */
    long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** Returns when the latest request was sent, or when connecting began if none was. */
    long requestedUs() {
        return requestedUs;
    }

    /**
     * Processes the bytes that have already arrived, without waiting for the event loop to select this connection.
     */
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
        } catch (MalformedResponseException e) {
            fail(e.getMessage());
            return;
        }
        if (response.isComplete()) {
            reportResponse();
        }
        countMemory();
    }

    private void countMemory() {
        inputMemory.set(closed ? 0 : response.memoryBytes());
    }

    @Override
    public void ended() {
        if (!stream.wasReset() && response.isDelimitedByClose()) {
            reportResponse();
        } else {
            fail("connection closed before a complete response");
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

    /** Closes the connection in any state; the listener is not notified again. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        countMemory();
        loop.deadlines().cancel(timeout);
        if (stream != null) {
            stream.close();
        } else {
            connecting.cancel();
        }
    }
}
