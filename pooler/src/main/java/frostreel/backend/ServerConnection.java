package frostreel.backend;

import frostreel.log.EventLog;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import frostreel.pg.Reply;
import frostreel.request.BackEnd;
import frostreel.routing.Router.Outcome;
import frostreel.time.Deadlines;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.FailedIoFuture;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** One connection to a server, with at most one attempt on it. Used on the I/O thread. */
final class ServerConnection implements SocketStream.Handler, BackEnd.ResponseSource {
    private enum Phase {
        CONNECTING,
        STARTUP,
        IDLE,
        BUSY,
        CLOSED
    }

    /** Slow peers take seconds to read or write; a long row of which nothing comes for this time is given up. */
    private static final long STALL_TIMEOUT_US = 30_000_000;

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    final ServerPool.Server server;
    final InetSocketAddress address;
    long handle;
    private final EventLoop loop;
    private final ServerPool pool;
    private final MessageReader reader = new MessageReader(Reply::maxLength);
    private Phase phase = Phase.CONNECTING;
    private IoFuture<StreamConnection> connecting;
    private SocketStream stream;
    private Reply reply = Reply.toStartup();
    private ServerPool.Attempt attempt;
    private Deadlines.Deadline deadline;
    /** Takes a long row, of which {@link #streamedBytesLeft} bytes are still to come; null while there is none. */
    private BackEnd.ResponseStream responseStream;

    private int streamedBytesLeft;
    private boolean receivedSinceCheck;

    ServerConnection(EventLoop loop, ServerPool pool, ServerPool.Server server) {
        this.loop = loop;
        this.pool = pool;
        this.server = server;
        this.address = server.address;
    }

    /** Connects; where that takes too long, or fails, the pool is notified. */
    void open(long timeoutUs) {
        deadline = loop.deadlines().after(timeoutUs, () -> {
            loop.events()
                    .record(
                            EventLog.Kind.SERVER_CONNECTION_FAILED,
                            () -> "to " + address + ": not up in " + timeoutUs / 1000 + " ms, in " + phase);
            failOpening(Outcome.CONNECT_FAILED);
        });
        try {
            connecting = loop.thread().openStreamConnection(address, null, OPTIONS);
        } catch (RuntimeException e) { // For an address of a family that this process does not speak.
            connecting = new FailedIoFuture<>(new IOException(e));
        }
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void none) {
                        connected(connection);
                    }

                    @Override
                    public void handleFailed(IOException failure, Void none) {
                        loop.events()
                                .record(EventLog.Kind.SERVER_CONNECTION_FAILED, () -> "to " + address + ": " + failure);
                        failOpening(Outcome.CONNECT_FAILED);
                    }
                },
                null);
    }

    private void connected(StreamConnection connection) {
        stream = new SocketStream(loop, connection, this);
        if (phase == Phase.CLOSED) {
            stream.close(); // It is up after the time-out.
            return;
        }
        phase = Phase.STARTUP;
        stream.write(Messages.startup());
        stream.resumeReads();
    }

    /**
     * Runs an attempt where the connection is clean, and closes it else: a byte that came since the end of the last
     * answer belongs to no request, and would be read as the beginning of this one's answer.
     */
    boolean tryRun(ServerPool.Attempt newAttempt) {
        if (!stream.isQuiet()) {
            loop.counters().serverConnectionsOutOfSync++;
            close();
            return false;
        }
        loop.deadlines().cancel(deadline);
        phase = Phase.BUSY;
        attempt = newAttempt;
        newAttempt.connection = this;
        reply = Reply.toQuery();
        stream.write(newAttempt.query(loop.clock().now()));
        return true;
    }

    /** The connection is idle, and is closed after this time. */
    void onIdle(long idleCloseUs) {
        deadline = loop.deadlines().after(idleCloseUs, this::close);
    }

    /** Whether the last byte of the attempt was written. */
    boolean hasWrittenAll() {
        return stream.flushed();
    }

    @Override
    public void received(ByteBuffer in) {
        if (phase == Phase.IDLE) {
            loop.counters().serverConnectionsOutOfSync++;
            close();
            return;
        }
        streamPiece(in);
        reader.feed(in);
        try {
            boolean complete = false;
            while (!complete && !streamsLongRow() && reader.next()) {
                reply.accept(reader);
                complete = reply.ended();
            }
            if (complete) {
                onAnswered(reply);
            }
        } catch (PgException e) {
            loop.counters().malformedMessages++;
            end(BackEnd.Result.of(Outcome.ERROR));
        }
    }

    /** Passes the next piece of a long row on. */
    private void streamPiece(ByteBuffer in) {
        if (streamedBytesLeft > 0 && in.hasRemaining()) {
            byte[] piece = new byte[Math.min(streamedBytesLeft, in.remaining())];
            in.get(piece);
            streamedBytesLeft -= piece.length;
            receivedSinceCheck = true;
            if (streamedBytesLeft == 0) {
                loop.deadlines().cancel(deadline);
            }
            responseStream.write(piece);
        }
    }

    /** Whether a long row is being passed on; where one comes next, begins to do so. */
    private boolean streamsLongRow() throws PgException {
        int length = streamedBytesLeft > 0 ? 0 : reader.longRowLength(Reply.MAX_BUFFERED_ROW);
        if (length > 0) {
            byte[] before = reply.beginLongRow(attempt != null && !attempt.healthCheck && reader.rowHoldsOneValue());
            ServerPool.Attempt longAttempt = attempt;
            responseStream = longAttempt.listener.longResponseBegins(this);
            if (responseStream == null) {
                end(BackEnd.Result.of(Outcome.CANCELLED));
                return true;
            }
            byte[] buffered = reader.takeBuffered(length + MessageReader.HEADER_BYTES);
            streamedBytesLeft = length + MessageReader.HEADER_BYTES - buffered.length;
            receivedSinceCheck = true;
            if (streamedBytesLeft > 0) {
                deadline = loop.deadlines().after(STALL_TIMEOUT_US, this::onStallTimeout);
            }
            responseStream.write(before);
            responseStream.write(buffered);
        }
        return streamedBytesLeft > 0;
    }

    /** A long row that has stalled would keep connections on both sides for nothing. */
    private void onStallTimeout() {
        if (streamedBytesLeft > 0 && !receivedSinceCheck) {
            end(BackEnd.Result.of(Outcome.RESET));
        } else if (streamedBytesLeft > 0) {
            receivedSinceCheck = false;
            deadline = loop.deadlines().after(STALL_TIMEOUT_US, this::onStallTimeout);
        }
    }

    @Override
    public void pause() {
        stream.suspendReads();
    }

    @Override
    public void resume() {
        stream.resumeReads();
    }

    /** Takes a complete answer; where a byte came behind it, the connection is not used again. */
    private void onAnswered(Reply answer) {
        if (responseStream != null) {
            // Whoever paused a long response with its last piece does not resume it: it is complete.
            responseStream = null;
            stream.resumeReads();
        }
        boolean clean = answer.ready() && reader.buffered() == 0;
        if (answer.ready() && !clean) {
            loop.counters().serverConnectionsOutOfSync++;
        }
        if (phase == Phase.STARTUP && (answer.errorCode() != null || !clean)) {
            failOpening(answer.result(false).outcome() == Outcome.REJECTED ? Outcome.REJECTED : Outcome.CONNECT_FAILED);
        } else if (!clean) {
            end(result(answer, !answer.ready()));
        } else if (phase == Phase.STARTUP) {
            loop.deadlines().cancel(deadline);
            phase = Phase.IDLE;
            pool.onOpened(this);
        } else {
            ServerPool.Attempt done = attempt;
            BackEnd.Result result = result(answer, false);
            attempt = null;
            phase = Phase.IDLE;
            pool.onFree(this);
            pool.finish(done, result);
        }
    }

    private BackEnd.Result result(Reply answer, boolean broken) {
        BackEnd.Result result = attempt.healthCheck ? answer.healthCheckResult(broken) : answer.result(broken);
        loop.counters().malformedLoadReports += answer.malformedReports();
        return result;
    }

    @Override
    public void ended() {
        if (phase == Phase.STARTUP) {
            failOpening(Outcome.CONNECT_FAILED);
        } else if (phase == Phase.BUSY) {
            // It broke before the last byte was written: the request was not executed.
            BackEnd.Result broken = reply.result(true);
            end(
                    broken.outcome() == Outcome.RESET && !hasWrittenAll()
                            ? BackEnd.Result.of(Outcome.CONNECT_FAILED)
                            : broken);
        } else {
            close();
        }
    }

    /** The connection did not come up. */
    private void failOpening(Outcome outcome) {
        if (phase == Phase.CONNECTING || phase == Phase.STARTUP) {
            close();
            pool.onOpenFailed(this, outcome);
        }
    }

    /** Ends the connection with its attempt. */
    private void end(BackEnd.Result result) {
        ServerPool.Attempt done = attempt;
        if (phase == Phase.STARTUP) {
            failOpening(Outcome.CONNECT_FAILED);
            return;
        }
        close();
        if (done != null) {
            pool.finish(done, result);
        }
    }

    /** Closes the connection; the end of an attempt on it is not reported from here. */
    void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        attempt = null;
        streamedBytesLeft = 0;
        loop.deadlines().cancel(deadline);
        if (stream != null) {
            stream.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
        pool.onClosed(this);
    }
}
