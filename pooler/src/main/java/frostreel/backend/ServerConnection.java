package frostreel.backend;

import frostreel.log.EventLog;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import frostreel.pg.ServerResponse;
import frostreel.request.BackEnd;
import frostreel.routing.Router.Outcome;
import frostreel.time.Deadlines;
import frostreel.util.BufferMemory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.FailedIoFuture;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * One connection to a server, which runs at most one attempt at a time. Once open, it alternates between idle and busy;
 * it is closed if bytes arrive that belong neither to the startup nor to the response of its attempt. Used on the I/O
 * thread.
 */
final class ServerConnection implements SocketStream.Handler, BackEnd.ResponseSource {
    private enum Phase {
        CONNECTING,
        STARTUP,
        IDLE,
        BUSY,
        CLOSED
    }

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    /** What may always be read at a time, also while memory is lacking: the heads of messages, and short responses. */
    private static final int SMALL_READ_BYTES = 1 << 11;

    final Server server;
    final InetSocketAddress address;
    /** Handle of its slot in the pool's table of connections. */
    long handle;

    private final EventLoop loop;
    private final ServerPool pool;
    private final MessageReader reader = new MessageReader(ServerResponse::maxLength);
    /** The memory of {@link #reader} and {@link #response}. */
    private final BufferMemory.Account inputMemory;

    private final LongRowForwarder longRow;
    private Phase phase = Phase.CONNECTING;
    private IoFuture<StreamConnection> connecting;
    private SocketStream stream;
    private ServerResponse response = ServerResponse.toStartup();
    /** The attempt that runs on it, null for none. */
    private Attempt attempt;
    /** The connect timeout while it opens, and the idle timeout while it is idle. */
    private Deadlines.Deadline deadline;
    /** When it last became idle. */
    private long idleSinceUs;
    /** Whether the receiver of a long response has paused reading. */
    private boolean paused;
    /** Its place in the queue for memory while the next message of the response is too long to be read, else null. */
    private BufferMemory.Waiter waitingForMemory;

    ServerConnection(EventLoop loop, ServerPool pool, Server server) {
        this.loop = loop;
        this.pool = pool;
        this.server = server;
        this.address = server.address();
        inputMemory = loop.buffers().account();
        longRow = new LongRowForwarder(loop.deadlines(), () -> end(BackEnd.Result.of(Outcome.RESET)));
    }

    // ---- Connect and startup. ----

    /** Connects and sends the startup message; the pool is notified when this succeeds, fails or times out. */
    void open(long timeoutUs) {
        deadline = loop.deadlines()
                .after(
                        timeoutUs,
                        () -> onConnectFailed("not open within " + timeoutUs / 1000 + " ms, in phase " + phase));
        try {
            connecting = loop.thread().openStreamConnection(address, null, OPTIONS);
        } catch (RuntimeException e) { // The address family is not supported.
            connecting = new FailedIoFuture<>(new IOException(e));
        }
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void attachment) {
                        onConnected(connection);
                    }

                    @Override
                    public void handleFailed(IOException failure, Void attachment) {
                        onConnectFailed(failure.toString());
                    }
                },
                null);
    }

    private void onConnectFailed(String reason) {
        loop.events().record(EventLog.Kind.SERVER_CONNECTION_FAILED, () -> "to " + address + ": " + reason);
        failOpening(Outcome.CONNECT_FAILED);
    }

    private void onConnected(StreamConnection connection) {
        stream = new SocketStream(loop, connection, this);
        if (phase == Phase.CLOSED) { // The timeout closed it while the socket was connecting.
            stream.close();
            return;
        }
        phase = Phase.STARTUP;
        stream.write(Messages.startup());
        stream.resumeReads();
    }

    private void onStartupResponse(boolean clean) {
        if (clean && response.errorCode() == null) {
            loop.deadlines().cancel(deadline);
            phase = Phase.IDLE;
            pool.onOpened(this);
        } else {
            boolean rejected = response.result().outcome() == Outcome.REJECTED;
            failOpening(rejected ? Outcome.REJECTED : Outcome.CONNECT_FAILED);
        }
    }

    private void failOpening(Outcome outcome) {
        if (phase == Phase.CONNECTING || phase == Phase.STARTUP) {
            close();
            pool.onOpenFailed(this, outcome);
        }
    }

    // ---- Attempts. ----

    /**
     * Runs an attempt if the connection has no unread input, and closes the connection otherwise: bytes that arrived
     * after the end of the last response belong to no request, and would be read as the start of the next response.
     *
     * @return whether the attempt was started
     */
    boolean tryRun(Attempt newAttempt) {
        if (!stream.isOpenWithoutInput()) {
            closeOutOfSync();
            return false;
        }
        loop.deadlines().cancel(deadline);
        phase = Phase.BUSY;
        attempt = newAttempt;
        newAttempt.connection = this;
        response = ServerResponse.toQuery();
        stream.write(newAttempt.query(loop.clock().now()));
        return true;
    }

    /** Starts the idle timeout, after which the connection is closed. */
    void onIdle(long idleCloseUs) {
        idleSinceUs = loop.clock().now();
        deadline = loop.deadlines().after(idleCloseUs, this::close);
    }

    /** Replaces the idle timeout of an idle connection; the new one counts from when it became idle. */
    void replaceIdleTimeout(long idleCloseUs) {
        loop.deadlines().cancel(deadline);
        deadline = loop.deadlines().at(idleSinceUs + idleCloseUs, this::close);
    }

    /** Whether the last byte of the attempt has been written. */
    boolean hasWrittenAll() {
        return stream.flushed();
    }

    // ---- Input. ----

    /** Without memory for a long response, reads only what has room in the buffer, or small pieces of a long row. */
    @Override
    public int maxReadBytes() {
        if (loop.buffers().hasRoomForResponse(ServerResponse.MAX_BUFFERED_ROW_BYTES)) {
            return Integer.MAX_VALUE;
        }
        return longRow.isActive() ? SMALL_READ_BYTES : Math.max(1, reader.freeBytes());
    }

    @Override
    public void received(ByteBuffer in) {
        if (phase == Phase.IDLE) {
            closeOutOfSync();
            return;
        }
        longRow.forward(in);
        reader.feed(in);
        try {
            if (acceptMessages()) {
                onResponseEnded();
            }
        } catch (PgException e) {
            loop.counters().malformedMessages++;
            end(BackEnd.Result.of(Outcome.ERROR));
        }
        if (phase != Phase.CLOSED) {
            reader.trim();
            reserveNextMessage();
            countMemory();
        }
    }

    /** Reserves the memory of the next message of the response, or leaves the rest of it in the socket until it can. */
    private void reserveNextMessage() {
        int messageBytes = longRow.isActive() ? 0 : reader.incompleteBytes();
        int missingBytes = messageBytes - reader.memoryBytes();
        if (missingBytes <= 0 || messageBytes > ServerResponse.MAX_BUFFERED_ROW_BYTES + MessageReader.HEADER_BYTES) {
            return;
        }
        if (loop.buffers().hasRoomForResponse(missingBytes)) {
            reader.reserve(messageBytes);
        } else if (waitingForMemory == null) {
            loop.counters().responsesHeldBack++;
            stream.suspendReads();
            waitingForMemory = loop.buffers().awaitRoom(missingBytes, this::onMemoryAvailable);
        }
    }

    private void onMemoryAvailable() {
        waitingForMemory = null;
        reserveNextMessage();
        countMemory();
        stream.resumeReads();
    }

    private void countMemory() {
        inputMemory.set(reader.memoryBytes() + response.memoryBytes());
    }

    /** Gives back the memory of a response whose result has been taken: the connection may be idle from now on. */
    private void releaseResponse() {
        reader.trim();
        response = ServerResponse.toQuery();
    }

    /** Processes the buffered messages of the response; returns whether the response is complete. */
    private boolean acceptMessages() throws PgException {
        while (!continueOrBeginLongRow() && reader.next()) {
            response.accept(reader);
            if (response.ended()) {
                return true;
            }
        }
        return false;
    }

    /** Begins to forward a long row if one is next; returns whether message processing has to stop for a long row. */
    private boolean continueOrBeginLongRow() throws PgException {
        if (!longRow.isActive()) {
            int length = reader.longRowLength(ServerResponse.MAX_BUFFERED_ROW_BYTES);
            if (length > 0 && !beginLongRow(length + MessageReader.HEADER_BYTES)) {
                return true;
            }
        }
        return longRow.isActive();
    }

    /** Returns false if the row is no longer wanted; the connection has been closed then. */
    private boolean beginLongRow(int rowBytes) throws PgException {
        boolean forRequest = attempt != null && !attempt.isHealthCheck();
        // Throws for a health check, and during startup, when there is no attempt.
        byte[] head = response.beginLongRow(forRequest && reader.rowHoldsOneValue());
        Attempt receiver = attempt;
        BackEnd.ResponseStream target = receiver.listener.longResponseBegins(this);
        if (attempt != receiver) {
            return false; // It was abandoned in the call.
        }
        if (target == null) {
            end(BackEnd.Result.of(Outcome.CANCELLED));
            return false;
        }
        longRow.begin(target, head, reader.takeBuffered(rowBytes), rowBytes);
        return true;
    }

    @Override
    public void pause() {
        paused = true;
        stream.suspendReads();
    }

    @Override
    public void resume() {
        paused = false;
        stream.resumeReads();
    }

    /** Handles the end of the response; the connection is not reused if further bytes follow the response. */
    private void onResponseEnded() {
        boolean hasExcessBytes = reader.buffered() > 0;
        if (response.ready() && hasExcessBytes) {
            loop.counters().serverConnectionsOutOfSync++;
        }
        boolean clean = response.ready() && !hasExcessBytes;
        if (phase == Phase.STARTUP) {
            onStartupResponse(clean);
        } else {
            onQueryResponse(clean);
        }
    }

    private void onQueryResponse(boolean clean) {
        Attempt endedAttempt = attempt;
        BackEnd.Result result = endedAttempt.isHealthCheck() ? response.healthCheckResult() : response.result();
        loop.counters().malformedLoadReports += response.malformedReports();
        if (!clean) {
            end(result);
            return;
        }
        if (paused) {
            resume(); // The receiver does not resume a response that it paused at its last piece.
        }
        attempt = null;
        phase = Phase.IDLE;
        releaseResponse();
        pool.onResponded(this, endedAttempt, result);
    }

    // ---- End of the connection. ----

    @Override
    public void ended() {
        if (phase == Phase.STARTUP) {
            failOpening(Outcome.CONNECT_FAILED);
        } else if (phase == Phase.BUSY) {
            end(resultOfBrokenConnection());
        } else {
            close();
        }
    }

    /** Result of an attempt whose connection broke; a request that was not written in full was not executed. */
    private BackEnd.Result resultOfBrokenConnection() {
        BackEnd.Result result = response.result();
        boolean notSent = result.outcome() == Outcome.RESET && !hasWrittenAll();
        return notSent ? BackEnd.Result.of(Outcome.CONNECT_FAILED) : result;
    }

    private void closeOutOfSync() {
        loop.counters().serverConnectionsOutOfSync++;
        close();
    }

    /** Closes the connection and finishes its attempt, if any, with this result; during startup, fails the opening. */
    private void end(BackEnd.Result result) {
        if (phase == Phase.STARTUP) {
            failOpening(Outcome.CONNECT_FAILED);
            return;
        }
        Attempt endedAttempt = attempt;
        close();
        if (endedAttempt != null) {
            pool.finish(endedAttempt, result);
        }
    }

    /** Closes the connection without finishing its attempt. */
    void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        attempt = null;
        reader.release();
        inputMemory.set(0);
        loop.buffers().stopWaiting(waitingForMemory);
        longRow.stop();
        loop.deadlines().cancel(deadline);
        if (stream != null) {
            stream.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
        pool.onClosed(this);
    }
}
