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
 * The active request of one client's connection, of which there is at most one: submits it to the broker, and handles
 * its response. Used for one request after another, on the I/O thread.
 */
final class ClientRequest implements ResponseHandler {
    /** While more bytes of a long response wait for their reader, the server is not read from. */
    private static final int MAX_PENDING_BYTES = 1 << 17;
    /** The time from the client, whose timeout starts when it sends, to us and back again. */
    private static final long TRANSIT_US = 4_000;

    private static final long US_PER_MS = 1000;

    private final EventLoop loop;
    private final ServingLifecycle lifecycle;
    private final Broker broker;
    private final SocketStream stream;
    private final ClientConnection connection;
    private boolean active;
    private long handle = SlotTable.NONE;
    /** The source of the long response that is being passed on, null for none. */
    private BackEnd.ResponseSource responseSource;

    ClientRequest(FrontEnd frontEnd, SocketStream stream, ClientConnection connection) {
        loop = frontEnd.loop();
        lifecycle = frontEnd.lifecycle();
        broker = frontEnd.broker();
        this.stream = stream;
        this.connection = connection;
    }

    /** Whether a request was submitted and is not answered. */
    boolean isActive() {
        return active;
    }

    /** Submits a request; it may be answered before this returns. */
    void submit(Statement statement, int requestClass, long arrivedUs) {
        long now = loop.clock().now();
        // Relative to now, when the router receives the request, however long that has waited here.
        long sinceWriteUs = statement.afterMs() == 0 ? 0 : Math.max(1, now - statement.afterMs() * US_PER_MS);
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

    /** The client cancels its request; nothing is done where none is active. */
    void cancel() {
        broker.onClientCancelled(handle);
    }

    /** The client has disconnected; nothing is done where no request is active. */
    void onClientDisconnected() {
        broker.onClientDisconnected(handle);
    }

    /** The client has read all that was written of a long response. */
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
        return piece -> {
            stream.write(piece);
            if (stream.pendingBytes() > MAX_PENDING_BYTES || (loop.buffersAreFull() && !stream.flushed())) {
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
