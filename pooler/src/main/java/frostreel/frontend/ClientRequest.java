package frostreel.frontend;

import frostreel.broker.Broker;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.operation.ServingLifecycle;
import frostreel.pg.Statement;
import frostreel.request.BackEnd;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.util.SlotTable;

/**
 * The active request of one client's connection: submits it to the broker, and handles its response. An instance serves
 * all requests of its connection, one at a time, on the I/O thread.
 */
final class ClientRequest implements ResponseHandler {
    /** Unsent bytes of a long response above which reading from the server is paused. */
    private static final int MAX_PENDING_BYTES = 1 << 17;
    /** Round trip between client and pooler, deducted from the timeout, which the client starts when it sends. */
    private static final long TRANSIT_US = 4_000;

    private static final long US_PER_MS = 1000;

    private final EventLoop loop;
    private final ServingLifecycle lifecycle;
    private final Broker broker;
    private final SocketStream stream;
    private final ClientConnection connection;
    private boolean active;
    private long handle = SlotTable.NONE;
    /** The source of the long response that is being streamed, or null. */
    private BackEnd.ResponseSource responseSource;

    ClientRequest(FrontEnd frontEnd, SocketStream stream, ClientConnection connection) {
        loop = frontEnd.loop();
        lifecycle = frontEnd.lifecycle();
        broker = frontEnd.broker();
        this.stream = stream;
        this.connection = connection;
    }

    /** Whether a request was submitted and has no response yet. */
    boolean isActive() {
        return active;
    }

    /** Whether a request was submitted and no part of its response has come yet. */
    boolean awaitsResponse() {
        return active && responseSource == null;
    }

    /** Submits a request; its response may be written before this returns. */
    void submit(Statement statement, int requestClass, long arrivedUs) {
        long now = loop.clock().now();
        // Relative to the submission to the router, not to the request's arrival.
        long sinceWriteUs =
                statement.requiredPositionMs() == 0 ? 0 : Math.max(1, now - statement.requiredPositionMs() * US_PER_MS);
        long timeoutAtUs = arrivedUs + statement.timeoutMs() * US_PER_MS - TRANSIT_US;
        RequestAttributes attributes = new RequestAttributes(
                statement.id(),
                requestClass,
                statement.session(),
                statement.group(),
                Math.min(timeoutAtUs, lifecycle.responseDueUs(now)),
                sinceWriteUs,
                statement.repeated());
        active = true;
        long submitted = broker.submit(attributes, statement, this);
        if (active) {
            handle = submitted;
        }
    }

    /** Cancels the request for the client; does nothing if none is active. */
    void cancel() {
        broker.onClientCancelled(handle);
    }

    /** Reports to the broker that the client has disconnected; does nothing if no request is active. */
    void onClientDisconnected() {
        broker.onClientDisconnected(handle);
    }

    /** Resumes a paused long response, as the socket has accepted all output. */
    void onDrained() {
        if (responseSource != null) {
            responseSource.resume();
        }
    }

    private void end(byte[] response) {
        active = false;
        responseSource = null;
        handle = SlotTable.NONE;
        connection.onRequestEnded(response);
    }

    @Override
    public void served(byte[] response) {
        end(response);
    }

    @Override
    public BackEnd.ResponseStream longResponseBegins(BackEnd.ResponseSource source) {
        responseSource = source;
        connection.onResponseBegins();
        return piece -> {
            stream.write(piece);
            if (stream.pendingBytes() > MAX_PENDING_BYTES || (loop.buffers().holdsBackInput() && !stream.flushed())) {
                source.pause();
            }
        };
    }

    @Override
    public void responseBroken() {
        connection.close();
    }

    @Override
    public void rejected(long retryAfterUs) {
        end(FrontEndResponses.rejected(retryAfterUs));
    }

    @Override
    public void cancelled() {
        end(FrontEndResponses.cancelled());
    }

    @Override
    public void failed() {
        end(FrontEndResponses.failed());
    }

    @Override
    public boolean isClientConnected() {
        return connection.isClientConnected();
    }
}
