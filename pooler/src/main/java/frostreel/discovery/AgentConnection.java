package frostreel.discovery;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.time.Deadlines;
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
 * One connection to the discovery agent, with at most one request in flight. Its listener is notified on the
 * I/O thread, of each kind of event at most once for a request, and of none after {@link #close}.
 */
final class AgentConnection implements SocketStream.Handler {
    /** Notified of the events of connections; each call names the connection. */
    interface Listener {
        /** The connection is established and can carry a request. */
        void onConnected(AgentConnection connection);

        /** A complete response to the request has arrived. */
        void onResponse(AgentConnection connection, HttpResponseParser response);

        /**
         * Connecting or the response has exceeded its timeout. The connection stays open, and both may still
         * succeed.
         */
        void onOverdue(AgentConnection connection, String reason);

        /** The connection has failed and is closed. */
        void onFailed(AgentConnection connection, String reason);
    }

    /** A response of which bytes have arrived within this time is still arriving, and not overdue. */
    private static final long ARRIVAL_GAP_US = 500_000;
    /** After this time a response is overdue even if it is still arriving. */
    private static final long MAX_ARRIVAL_US = 20_000_000;

    private final EventLoop loop;
    private final Listener listener;
    private final InetSocketAddress address;
    private final IoFuture<StreamConnection> connecting;
    /** Null until the connection is established. */
    private SocketStream stream;

    private HttpResponseParser response = new HttpResponseParser();
    private Deadlines.Deadline timeout;
    private long fromVersion;
    private long lastReceivedUs;
    private long requestedUs;
    private boolean closed;

    /** Begins to connect, and notifies the listener if that takes longer than {@code timeoutUs}. */
    AgentConnection(EventLoop loop, InetSocketAddress address, long timeoutUs, Listener listener) {
        this.loop = loop;
        this.listener = listener;
        this.address = address;
        requestedUs = loop.clock().now();
        lastReceivedUs = requestedUs;
        timeout = loop.deadlines().after(timeoutUs, () -> listener.onOverdue(this, "no connection in time"));
        connecting = loop.thread().openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
    }

    /**
     * Starts the notifications; separate from the constructor, so that the listener can store this object
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
                        fail("the connection failed: " + failure.getMessage());
                    }
                },
                null);
    }

    private void connected(StreamConnection connection) {
        if (closed) {
            IoUtils.safeClose(connection); // Closed while it was being established.
            return;
        }
        stream = new SocketStream(loop, connection, this);
        stream.resumeReads();
        listener.onConnected(this);
    }

    /**
     * Sends a request.
     *
     * @param fromVersion the version of the list since which changes are requested; {@link #fromVersion()}
     *     returns it from then on
     * @param timeoutUs after this time the response is overdue
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

    /** A long list that is still arriving is waited for: requesting it again would take longer. */
    private void reportOverdueUnlessArriving() {
        long nowUs = loop.clock().now();
        boolean arriving = lastReceivedUs > requestedUs && nowUs - lastReceivedUs < ARRIVAL_GAP_US;
        if (arriving && nowUs - requestedUs < MAX_ARRIVAL_US) {
            timeout = loop.deadlines().after(ARRIVAL_GAP_US, this::reportOverdueUnlessArriving);
        } else {
            listener.onOverdue(this, "no answer in time");
        }
    }

    /** The version since which the latest request asks for changes. */
    long fromVersion() {
        return fromVersion;
    }

    /** When the last byte arrived; if none has since the request, when that was sent. */
    long lastReceivedUs() {
        return lastReceivedUs;
    }

    /** When the latest request was sent; before the first one, when connecting began. */
    long requestedUs() {
        return requestedUs;
    }

    /**
     * Processes the bytes that have arrived by now, without waiting for the loop to select this connection.
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

    /** Closes the connection in any state; the listener is not notified of it again. */
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
