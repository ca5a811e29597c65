package frostreel.frontend;

import frostreel.log.EventLog;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.operation.RequestClassRegistry;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import frostreel.pg.SqlState;
import frostreel.pg.StartupCode;
import frostreel.pg.Statement;
import java.nio.ByteBuffer;
import java.util.function.Supplier;
import org.xnio.StreamConnection;

/**
 * One client's connection: takes its queries one after another, and writes the answers in their order. A client that
 * owes a message for too long is told so and closed, as it uses a connection that others need. Used on the I/O thread.
 */
final class ClientConnection implements SocketStream.Handler {
    private enum Phase {
        STARTUP,
        RUNNING,
        LINGERING,
        CLOSED
    }

    /** The connection ends at this number of invalid queries in a row, as answering them is work, too. */
    private static final int MAX_INVALID_IN_A_ROW = 16;
    /** The wait advised where too many clients are connected, as far as the settings allow so much. */
    private static final long OVERLOADED_RETRY_AFTER_US = 200_000;

    private final FrontEnd frontEnd;
    private final EventLoop loop;
    private final ClientTable clients;
    private final SocketStream stream;
    private final ClientBacklog backlog;
    private final IdleTimer idleTimer;
    private final ClientRequest request;
    private final Lingering lingering;
    /** Of the key by which this client may cancel; the other half is the number of its slot. */
    private final int secret;

    private long slot;
    private Phase phase = Phase.STARTUP;
    private boolean takingMessages;
    private boolean skippingToSync;
    /** It has sent a valid query before. */
    private boolean hasSentQuery;

    private int invalidInARow;
    /** The socket was read until empty within this very call, so that it need not be read again. */
    private boolean readJustNow;

    ClientConnection(FrontEnd frontEnd, StreamConnection connection, int secret) {
        this.frontEnd = frontEnd;
        loop = frontEnd.loop();
        clients = frontEnd.clients();
        this.secret = secret;
        stream = new SocketStream(loop, connection, this);
        backlog = new ClientBacklog(loop);
        idleTimer = new IdleTimer(loop, stream, this);
        lingering = new Lingering(loop, this::close);
        request = new ClientRequest(frontEnd, stream, this);
    }

    /** The handle of this connection in the table of clients. */
    long slot() {
        return slot;
    }

    void setSlot(long slot) {
        this.slot = slot;
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

    private boolean isOpen() {
        return phase.compareTo(Phase.LINGERING) < 0;
    }

    // ---- Input. ----

    @Override
    public void received(ByteBuffer in) {
        if (phase != Phase.LINGERING && !backlog.isOverrun()) {
            backlog.add(in);
        } else if (lingering.dropsTooMuch(in.remaining())) {
            if (phase == Phase.LINGERING) {
                close();
            } else {
                stream.suspendReads();
            }
        }
    }

    /** Messages are only taken here: a client that has sent a request and disconnected must not be served any more. */
    @Override
    public void caughtUp() {
        backlog.onCaughtUp();
        boolean readBefore = readJustNow;
        readJustNow = true;
        takeMessages();
        readJustNow = readBefore;
        if (!backlog.isOverrun() && isOpen() && (request.isActive() || !stream.flushed()) && backlog.overruns()) {
            loop.counters().malformedMessages++;
        }
    }

    @Override
    public void drained() {
        request.onDrained();
        takeMessages();
    }

    /** Takes what has come, up to the first request that has to be waited for. */
    private void takeMessages() {
        if (takingMessages) {
            return;
        }
        takingMessages = true;
        try {
            // The next request of a slow reader waits until it has taken its last answer.
            while (isOpen() && !request.isActive() && stream.flushed()) {
                if (!backlog.next(phase == Phase.STARTUP)) {
                    if (backlog.isOverrun()) {
                        closeWithError(SqlState.PROTOCOL_VIOLATION, "too much at once behind a request in hand");
                    }
                    break;
                }
                if (phase == Phase.STARTUP) {
                    onStartup(backlog.message());
                } else {
                    onMessage(backlog.message());
                }
            }
        } catch (PgException e) {
            loop.counters().malformedMessages++;
            closeWithError(SqlState.PROTOCOL_VIOLATION, e.getMessage());
        } finally {
            takingMessages = false;
            if (isOpen()) {
                backlog.countMemory();
            } else {
                backlog.release();
            }
        }
        if (isOpen() && !request.isActive()) {
            stream.resumeReads();
            awaitNext();
        }
    }

    // ---- What the client has to do next. ----

    private void awaitNext() {
        if (!stream.flushed()) {
            awaitReader();
        } else if (!isIdle() || (!hasSentQuery && !frontEnd.drainer().closesUnused())) {
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

    void onMessageTimeout() {
        loop.counters().clientsTimedOut++;
        closeWithError(SqlState.IDLE_SESSION_TIMEOUT, "nothing whole came in time");
    }

    /** The client owes nothing, but has to read its answer. */
    void awaitReader() {
        idleTimer.cancel();
        clients.markBusy(this);
        idleTimer.awaitReader();
    }

    void onReaderStalled(int pendingBytes) {
        loop.events()
                .record(
                        EventLog.Kind.CLIENT_CLOSED,
                        () -> "it takes nothing of its answer, " + pendingBytes + " bytes wait");
        close();
    }

    /** Whether it has no request, answered or not, and owes nothing; not once its connection is closed. */
    boolean isIdle() {
        return phase == Phase.RUNNING && !request.isActive() && stream.flushed() && backlog.isEmpty();
    }

    // ---- Messages. ----

    private void onStartup(MessageReader message) throws PgException {
        int version = message.bodyInt(0);
        if (StartupCode.requestsEncryption(code)) {
            stream.write(new byte[] {'N'});
        } else if (version == StartupCode.CANCEL_REQUEST) {
            cancelRequestOf(message.bodyInt(1), message.bodyInt(2));
            close();
        } else if (!StartupCode.isProtocol3(code)) {
            loop.counters().malformedMessages++;
            closeWithError(SqlState.FEATURE_NOT_SUPPORTED, "only version 3 of the protocol is spoken here");
        } else {
            phase = Phase.RUNNING;
            stream.write(Messages.welcome(processKey(), secret));
        }
    }

    /** The first half of its key: the number of its slot, and part of the generation. */
    private int processKey() {
        return (int) slot & Integer.MAX_VALUE;
    }

    /** Cancels the active request of the client that has this key; another key does nothing. */
    private void cancelRequestOf(int process, int cancelSecret) {
        clients.forEach(client -> client.cancel(process, cancelSecret));
    }

    /** Cancels the active request, if the key is that of this client. */
    void cancel(int process, int cancelSecret) {
        if (process == processKey() && cancelSecret == secret && phase == Phase.RUNNING) {
            request.cancel();
        }
    }

    private void onMessage(MessageReader message) throws PgException {
        byte type = message.type();
        if (type == 'X') {
            close();
        } else if (type == 'Q') {
            onQuery(message.body());
        } else if (type == 'S' || type == 'H') {
            skippingToSync &= type != 'S';
            if (type == 'S') {
                stream.write(Messages.readyForQuery());
            }
        } else {
            if (!skippingToSync) {
                loop.counters().malformedMessages++;
                stream.write(Answers.error(SqlState.FEATURE_NOT_SUPPORTED, "only simple queries"));
            }
            skippingToSync = true;
        }
    }

    private void onQuery(byte[] body) throws PgException {
        if (Statement.isEmpty(body)) {
            hasSentQuery = true;
            answer(Answers.readiness(frontEnd.lifecycle().status()));
            return;
        }
        Supplier<String> page = frontEnd.pages().find(body);
        if (page != null) {
            hasSentQuery = true;
            answer(Messages.row("page", page.get()));
            return;
        }
        Statement statement;
        try {
            statement = Statement.parse(body);
        } catch (PgException e) {
            onInvalidQuery(e.getMessage());
            return;
        }
        int requestClass = classNumber(statement);
        if (requestClass == RequestClassRegistry.NO_CLASS) {
            onInvalidQuery("a class that the settings do not name, or a statement that is none of its class");
        } else if (frontEnd.broker().isActive(statement.id())) {
            onInvalidQuery("the id of a request that is open"); // Forwarded, it would be a hedged request.
        } else {
            onRequest(statement, requestClass);
        }
    }

    /** The number of a statement's class, {@link RequestClassRegistry#NO_CLASS} if it fits none of that name. */
    private int classNumber(Statement statement) {
        return frontEnd.classes()
                .classNumber(loop.clock().now(), statement.requestClass(), statement.write(), statement.keyed());
    }

    /** An invalid query is answered by an error, and the next may be valid; too many in a row end the connection. */
    private void onInvalidQuery(String text) {
        loop.counters().malformedMessages++;
        if (++invalidInARow < MAX_INVALID_IN_A_ROW) {
            answer(Answers.error(SqlState.INVALID_PARAMETER_VALUE, text));
        } else {
            closeWithError(SqlState.INVALID_PARAMETER_VALUE, text);
        }
    }

    private void onRequest(Statement statement, int requestClass) {
        hasSentQuery = true;
        invalidInARow = 0;
        if (frontEnd.limits().rejectsRequests()) {
            loop.counters().requestsRejectedForOverload++;
            answer(Answers.rejected(frontEnd.broker().retryAfterUs(OVERLOADED_RETRY_AFTER_US)));
            return;
        }
        idleTimer.cancel();
        clients.markBusy(this);
        request.submit(statement, requestClass, backlog.arrivedUs());
    }

    // ---- Answers. ----

    private void answer(byte[] message) {
        stream.write(Answers.withReadyForQuery(message));
    }

    /** The active request has its answer, and the next may be taken. */
    void onRequestEnded(byte[] answer) {
        answer(answer);
        takeMessages();
    }

    /** Whether the client is still connected, as far as can be seen by looking now. */
    boolean isClientConnected() {
        if (!readJustNow) {
            stream.readNow();
        }
        return phase != Phase.CLOSED;
    }

    // ---- The end of the connection. ----

    private void closeWithError(String code, String text) {
        loop.events().record(EventLog.Kind.CLIENT_CLOSED, () -> "in " + phase + ": " + text);
        stream.write(Answers.fatal(code, text));
        linger();
    }

    /**
     * The one way in which we end the connection of a client: our output ends behind all that was written, and what
     * comes after that is read and dropped, never forwarded, until the client has ended its own. To close over unread
     * bytes would reset the connection, and the last answer might be lost with it.
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
     * Ends the connection unless a request has come meanwhile: while the thread is busy many wait unread, and to end
     * the connection over one would cost its client another attempt or, the second time, the answer.
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
        MessageReader message = backlog.message();
        try {
            if (phase == Phase.STARTUP
                    && message.nextStartup()
                    && message.bodyInt(0) == StartupCode.CANCEL_REQUEST) { // Its client does not wait for an answer.
                cancelRequestOf(message.bodyInt(1), message.bodyInt(2));
            }
        } catch (PgException e) {
            loop.counters().malformedMessages++;
        }
        close();
    }

    /** Closes the connection at once, and withdraws its active request. */
    void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        idleTimer.cancel();
        lingering.cancel();
        backlog.release();
        loop.counters().clientsClosed++;
        stream.close();
        clients.remove(this);
        request.onClientDisconnected();
    }
}
