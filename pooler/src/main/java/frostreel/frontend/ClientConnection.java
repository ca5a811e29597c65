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
 * One client's connection: processes its messages one after another, and writes the responses in their order. A client
 * that does not complete a message in time gets an error and is closed, as it occupies a connection that others need.
 * Used on the I/O thread.
 */
final class ClientConnection implements SocketStream.Handler, ClientTimeouts.Handler {
    private enum Phase {
        STARTUP,
        RUNNING,
        /** This process has closed its side, and the client has not closed its own yet. */
        LINGERING,
        CLOSED
    }

    private final FrontEnd frontEnd;
    private final EventLoop loop;
    private final ClientTable clients;
    private final SocketStream stream;
    private final ClientTimeouts timeouts;
    private final ClientInput input;
    private final ClientRequest request;
    private final LingeringClose lingering;
    private final DisconnectProbe probe;
    private final int secret;

    private long slot;
    private CancelKey cancelKey;
    private Phase phase = Phase.STARTUP;
    /** Whether reading is suspended until messages were processed. */
    private boolean inputHeldBack;

    ClientConnection(FrontEnd frontEnd, StreamConnection connection, int secret) {
        this.frontEnd = frontEnd;
        loop = frontEnd.loop();
        clients = frontEnd.clients();
        this.secret = secret;
        stream = new SocketStream(loop, connection, this);
        timeouts = new ClientTimeouts(loop.clock(), loop.deadlines(), stream::pendingBytes, this);
        lingering = new LingeringClose(loop.deadlines(), this::close);
        probe = new DisconnectProbe(loop.deadlines(), stream);
        input = new ClientInput(frontEnd, stream, this);
        request = new ClientRequest(frontEnd, stream, this);
    }

    /** The handle of this connection in the client table. */
    long slot() {
        return slot;
    }

    void setSlot(long slot) {
        this.slot = slot;
        cancelKey = CancelKey.ofSlot(slot, secret);
    }

    /** Starts reading, and the timeout for the startup message and the first query. */
    void begin() {
        awaitMessage();
        stream.resumeReads();
    }

    /** When the client last became idle, or was last awaited for a message. */
    long sinceUs() {
        return timeouts.sinceUs();
    }

    boolean isStarting() {
        return phase == Phase.STARTUP;
    }

    boolean isOpen() {
        return phase == Phase.STARTUP || phase == Phase.RUNNING;
    }

    /** Whether the client has no request, unread response or incomplete message; false once the connection ends. */
    boolean isIdle() {
        return phase == Phase.RUNNING && !request.isActive() && stream.flushed() && input.isEmpty();
    }

    // ---- Input. ----

    @Override
    public void received(ByteBuffer in) {
        input.countRead(in.remaining());
        if (phase != Phase.LINGERING) {
            input.add(in);
        } else if (lingering.exceedsDropLimit(in.remaining())) {
            close();
        }
    }

    @Override
    public int maxReadBytes() {
        return input.maxReadBytes();
    }

    @Override
    public void readCompleted() {
        input.onReadCompleted();
    }

    @Override
    public void outputFlushed() {
        request.onDrained();
        input.takeMessages();
    }

    /** Whether the next message has to wait for the active request, or for the client to read its response. */
    boolean mustWait() {
        return isOpen() && (request.isActive() || !stream.flushed());
    }

    /** Whether the client has not received the whole response to its request. */
    boolean isOwedResponse() {
        return mustWait();
    }

    boolean mayTakeMessage() {
        return isOpen() && !mustWait();
    }

    /**
     * Called when messages were processed: reads on or not, and starts the next timeout unless a request is active.
     *
     * @param anyTaken whether there was a message, so that the time for the next one starts anew
     */
    void onMessagesTaken(boolean anyTaken) {
        if (!isOpen()) {
            return;
        }
        if (input.isDeferred()) {
            stream.suspendReads();
        } else if (input.mustHoldBack()) {
            holdBackInput();
        } else {
            readOn();
        }
        if (anyTaken && input.hasSentQuery()) {
            timeouts.cancel();
        }
        if (!request.isActive()) {
            awaitNext();
        }
    }

    /** Leaves further input in the socket until messages were processed again. */
    private void holdBackInput() {
        if (!inputHeldBack) {
            inputHeldBack = true;
            loop.counters().inputsHeldBack++;
            stream.suspendReads();
        }
        if (request.awaitsResponse()) {
            probe.start();
        }
    }

    private void readOn() {
        inputHeldBack = false;
        probe.stop();
        stream.resumeReads();
    }

    /** Completes the startup, as the startup message was accepted. */
    void onStarted() {
        phase = Phase.RUNNING;
        stream.write(Messages.startupResponse(cancelKey.process(), cancelKey.secret()));
    }

    /** Cancels the active request if the key is that of this client. */
    void cancel(CancelKey key) {
        if (phase == Phase.RUNNING && key.equals(cancelKey)) {
            request.cancel();
        }
    }

    // ---- Timeouts. ----

    private void awaitNext() {
        if (!stream.flushed()) {
            awaitReader();
        } else if (input.isDeferred() && input.hasSentQuery()) {
            clients.markBusy(this); // The next message is there; it is this process that lets it wait.
        } else if (!isIdle() || (!input.hasSentQuery() && !frontEnd.drainer().closesUnused())) {
            awaitMessage();
        } else {
            timeouts.onIdle();
            frontEnd.drainer().onIdle(this);
        }
    }

    private void awaitMessage() {
        if (timeouts.awaitMessage()) {
            clients.markAwaitingMessage(this);
        }
    }

    @Override
    public void onMessageTimeout() {
        loop.counters().clientsTimedOut++;
        closeWithError(SqlState.IDLE_SESSION_TIMEOUT, "nothing whole came in time");
    }

    /** Starts the timeout for the client to read its response. */
    private void awaitReader() {
        clients.markBusy(this);
        timeouts.awaitReader();
    }

    @Override
    public void onReaderStalled(int pendingBytes) {
        loop.events()
                .record(
                        EventLog.Kind.CLIENT_CLOSED,
                        () -> "client stopped reading its response, " + pendingBytes + " bytes pending");
        close();
    }

    // ---- Requests and responses. ----

    /** Submits the request of the current message. */
    void submit(Statement statement, int requestClass) {
        timeouts.cancel();
        clients.markBusy(this);
        request.submit(statement, requestClass, input.arrivedUs());
    }

    /** Writes a response followed by ReadyForQuery. */
    void respond(byte[] message) {
        stream.write(FrontEndResponses.withReadyForQuery(message));
    }

    /** Writes the response to the active request, and processes the messages behind it. */
    void onRequestEnded(byte[] response) {
        respond(response);
        input.takeMessages();
    }

    /**
     * Whether the client is still connected. Reads its socket first unless that was just done or memory is lacking, and
     * probes the connection if its end may lie behind unread input.
     */
    boolean isClientConnected() {
        boolean mayRead = input.mayGrow();
        if (!input.wasReadJustNow() && mayRead) {
            stream.readNow();
        }
        if (isOpen() && (!mayRead || stream.mayHaveUnreadInput())) {
            probe.run();
        }
        return phase != Phase.CLOSED && !stream.wasReset();
    }

    /** A response has begun, within which nothing else may be written. */
    void onResponseBegins() {
        probe.stop();
    }

    // ---- Close. ----

    /** Sends a fatal error, and begins an orderly close behind it. */
    void closeWithError(String code, String text) {
        loop.events().record(EventLog.Kind.CLIENT_CLOSED, () -> "in " + phase + ": " + text);
        stream.write(FrontEndResponses.fatal(code, text));
        linger();
    }

    /**
     * Begins an orderly close: ends the output behind all that was written, and reads and drops further input until the
     * client has closed its side. Closing the socket with unread input would reset the connection, and the client might
     * lose its last response.
     */
    private void linger() {
        if (isOpen()) {
            phase = Phase.LINGERING;
            timeouts.cancel();
            probe.stop();
            lingering.begin(frontEnd.lifecycle().lingerUs());
            clients.markLingering(this);
            stream.end();
            stream.resumeReads();
        }
    }

    /**
     * Begins an orderly close unless an unread request is found. Many requests are still unread while the I/O thread is
     * busy; closing without reading them would make their clients retry, and a client that is closed a second time may
     * get no response.
     *
     * @return whether this call began an orderly close; false also if the read ended the connection
     */
    boolean closeUnlessRequestPending() {
        boolean received = stream.readNow();
        if (!isOpen() || (received && request.isActive())) {
            return false;
        }
        if (received && isIdle()) {
            return false; // A request was read and answered, so the client is no longer the longest idle.
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
        timeouts.cancel();
        probe.stop();
        lingering.cancel();
        input.release();
        loop.counters().clientsClosed++;
        stream.close();
        clients.remove(this);
        request.onClientDisconnected();
    }
}
