package frostreel.frontend;

import frostreel.log.EventLog;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.pg.Messages;
import frostreel.pg.SqlState;
import frostreel.pg.Statement;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;

/**
 * One client's connection: takes its messages one after another, and writes the answers in their order. A client that
 * owes a message for too long is notified and closed, as it uses a connection that others need. Used on the I/O thread.
 */
final class ClientConnection implements SocketStream.Handler, IdleTimer.Handler {
    private enum Phase {
        STARTUP,
        RUNNING,
        /** Our side is closed, and the client has not closed its own yet. */
        LINGERING,
        CLOSED
    }

    private final FrontEnd frontEnd;
    private final EventLoop loop;
    private final ClientTable clients;
    private final SocketStream stream;
    private final IdleTimer idleTimer;
    private final ClientInput input;
    private final ClientRequest request;
    private final LingeringClose lingering;
    private final int secret;

    private long slot;
    private CancelKey cancelKey;
    private Phase phase = Phase.STARTUP;

    ClientConnection(FrontEnd frontEnd, StreamConnection connection, int secret) {
        this.frontEnd = frontEnd;
        loop = frontEnd.loop();
        clients = frontEnd.clients();
        this.secret = secret;
        stream = new SocketStream(loop, connection, this);
        idleTimer = new IdleTimer(loop.clock(), loop.deadlines(), stream::pendingBytes, this);
        lingering = new LingeringClose(loop.deadlines(), this::close);
        input = new ClientInput(frontEnd, stream, this);
        request = new ClientRequest(frontEnd, stream, this);
    }

    /** The handle of this connection in the table of clients. */
    long slot() {
        return slot;
    }

    void setSlot(long slot) {
        this.slot = slot;
        cancelKey = CancelKey.ofSlot(slot, secret);
    }

    /** Reads from now on; the client owes its startup message. */
    void begin() {
        awaitMessage();
        stream.resumeReads();
    }

    /** Since when it has been idle, or has owed a complete message. */
    long sinceUs() {
        return idleTimer.sinceUs();
    }

    boolean isStarting() {
        return phase == Phase.STARTUP;
    }

    boolean isOpen() {
        return phase == Phase.STARTUP || phase == Phase.RUNNING;
    }

    /** Whether the client has no request and no unread answer, and owes no message; false once the connection ends. */
    boolean isIdle() {
        return phase == Phase.RUNNING && !request.isActive() && stream.flushed() && input.isEmpty();
    }

    // ---- Input. ----

    @Override
    public void received(ByteBuffer in) {
        if (phase != Phase.LINGERING && !input.isOverrun()) {
            input.add(in);
        } else if (lingering.exceedsDropLimit(in.remaining())) {
            if (phase == Phase.LINGERING) {
                close();
            } else {
                stream.suspendReads();
            }
        }
    }

    @Override
    public void caughtUp() {
        input.onCaughtUp();
    }

    @Override
    public void drained() {
        request.onDrained();
        input.takeMessages();
    }

    /** Whether the next message has to wait for the active request, or for the client to read its answer. */
    boolean mustWait() {
        return isOpen() && (request.isActive() || !stream.flushed());
    }

    boolean mayTakeMessage() {
        return isOpen() && !mustWait();
    }

    /** All complete messages are taken: reads on, unless a request among them is active. */
    void onMessagesTaken() {
        if (isOpen() && !request.isActive()) {
            stream.resumeReads();
            awaitNext();
        }
    }

    /** The startup message was accepted. */
    void onStarted() {
        phase = Phase.RUNNING;
        stream.write(Messages.welcome(cancelKey.process(), cancelKey.secret()));
    }

    /** Cancels the active request, if the key is that of this client. */
    void cancel(CancelKey key) {
        if (phase == Phase.RUNNING && key.equals(cancelKey)) {
            request.cancel();
        }
    }

    // ---- What the client has to do next. ----

    private void awaitNext() {
        if (!stream.flushed()) {
            awaitReader();
        } else if (!isIdle() || (!input.hasSentQuery() && !frontEnd.drainer().closesUnused())) {
            awaitMessage();
        } else {
            idleTimer.onIdle();
            frontEnd.drainer().onIdle(this);
        }
    }

    private void awaitMessage() {
        if (idleTimer.awaitMessage()) {
            clients.markAwaitingMessage(this);
        }
    }

    @Override
    public void onMessageTimeout() {
        loop.counters().clientsTimedOut++;
        closeWithError(SqlState.IDLE_SESSION_TIMEOUT, "nothing whole came in time");
    }

    /** The client owes nothing, but has to read its answer. */
    private void awaitReader() {
        clients.markBusy(this);
        idleTimer.awaitReader();
    }

    @Override
    public void onReaderStalled(int pendingBytes) {
        loop.events()
                .record(
                        EventLog.Kind.CLIENT_CLOSED,
                        () -> "client stopped reading its response, " + pendingBytes + " bytes pending");
        close();
    }

    // ---- Requests and answers. ----

    /** Submits the request of the current message. */
    void submit(Statement statement, int requestClass) {
        idleTimer.cancel();
        clients.markBusy(this);
        request.submit(statement, requestClass, input.arrivedUs());
    }

    /** Writes an answer, and behind it that the client may send its next query. */
    void respond(byte[] message) {
        stream.write(FrontEndResponses.withReadyForQuery(message));
    }

    /** The active request has its answer, and the next may be taken. */
    void onRequestEnded(byte[] response) {
        respond(response);
        input.takeMessages();
    }

    /** Whether the client is still connected, as far as a read of its socket shows now. */
    boolean isClientConnected() {
        if (!input.wasReadJustNow()) {
            stream.readNow();
        }
        return phase != Phase.CLOSED;
    }

    // ---- The end of the connection. ----

    /** Sends an error that ends the connection, and closes our side behind it. */
    void closeWithError(String code, String text) {
        loop.events().record(EventLog.Kind.CLIENT_CLOSED, () -> "in " + phase + ": " + text);
        stream.write(FrontEndResponses.fatal(code, text));
        linger();
    }

    /**
     * Begins an orderly close: closes our side behind all that was written, and reads and drops what arrives after
     * that, until the client has closed its own side. Closing with unread bytes would reset the connection, and the
     * last answer might be lost with it.
     */
    private void linger() {
        if (isOpen()) {
            phase = Phase.LINGERING;
            idleTimer.cancel();
            lingering.begin(frontEnd.lifecycle().lingerUs());
            clients.markLingering(this);
            stream.end();
            stream.resumeReads();
        }
    }

    /**
     * Begins an orderly close unless a request has arrived meanwhile. Many requests are still unread while the I/O
     * thread is busy; closing before such a request is read would cost its client a retry or, the second time, the
     * answer.
     *
     * @return whether the connection was closed
     */
    boolean closeUnlessRequestPending() {
        boolean received = stream.readNow();
        if (!isOpen() || (received && request.isActive())) {
            return false;
        }
        if (received && isIdle()) {
            return false; // It has had a request answered, and is no longer the longest idle.
        }
        linger();
        return true;
    }

    @Override
    public void ended() {
        if (phase == Phase.STARTUP) {
            input.onEndedAtStartup();
        }
        close();
    }

    /** Closes the connection at once, and cancels its active request. */
    void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        idleTimer.cancel();
        lingering.cancel();
        input.release();
        loop.counters().clientsClosed++;
        stream.close();
        clients.remove(this);
        request.onClientDisconnected();
    }
}
