package frostreel.net;

import frostreel.broker.BackEnd;
import frostreel.broker.Deadlines;
import frostreel.log.EventLog;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import frostreel.pg.Reply;
import frostreel.routing.Router.Outcome;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.FailedIoFuture;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** One connection to a server, with at most one attempt on it. */
final class ServerConnection implements SocketStream.Handler, BackEnd.ResponseSource {
    private enum Phase {
        CONNECTING,
        STARTUP,
        IDLE,
        BUSY,
        CLOSED
    }

    /** Peers need seconds to read or write; a row of which nothing moves for so long is given up. */
    private static final long STILL_US = 30_000_000;

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);
    final ServerPool.Server server;
    final InetSocketAddress address;
    long handle;
    private final EventLoop loop;
    private final ServerPool pool;
    private final MessageReader reader = new MessageReader(Reply::longest);
    private Phase phase = Phase.CONNECTING;
    private IoFuture<StreamConnection> connecting;
    private SocketStream stream;
    private Reply reply = Reply.toStartup();
    private ServerPool.Attempt attempt;
    private Deadlines.Deadline deadline;
    /** Where a long row goes, and how much of it is still to come. */
    private BackEnd.ResponseStream passage;

    private int passing;
    private boolean moved;

    ServerConnection(EventLoop loop, ServerPool pool, ServerPool.Server server) {
        this.loop = loop;
        this.pool = pool;
        this.server = server;
        this.address = server.address;
    }

    void open(long timeoutUs) {
        deadline = loop.deadlines().after(timeoutUs, () -> {
            loop.events()
                    .tell(
                            EventLog.Kind.SERVER_CONNECTION_FAILED,
                            () -> "to " + address + ": not up in " + timeoutUs / 1000 + " ms, in " + phase);
            fail(Outcome.CONNECT_FAILED);
        });
        try {
            connecting = loop.thread().openStreamConnection(address, null, OPTIONS);
        } catch (RuntimeException e) { // As for an address of a family that this process does not speak.
            connecting = new FailedIoFuture<>(new IOException(e));
        }
        connecting.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleDone(StreamConnection connection, Void none) {
                        connected(connection);
                    }

                    @Override
                    public void handleFailed(IOException e, Void none) {
                        loop.events().tell(EventLog.Kind.SERVER_CONNECTION_FAILED, () -> "to " + address + ": " + e);
                        fail(Outcome.CONNECT_FAILED);
                    }
                },
                null);
    }

    private void connected(StreamConnection connection) {
        stream = new SocketStream(loop, connection, this);
        if (phase == Phase.CLOSED) {
            stream.close(); // It came up after the time-out.
            return;
        }
        phase = Phase.STARTUP;
        stream.write(Messages.startup());
        stream.resumeReads();
    }

    /**
     * Runs an attempt, where the connection is clean: a byte that came since the last answer's end belongs to
     * no request, and would be read as the beginning of this one's answer.
     */
    boolean run(ServerPool.Attempt a) {
        if (!stream.quiet()) {
            loop.counters().strayBytes++;
            close();
            return false;
        }
        loop.deadlines().cancel(deadline);
        phase = Phase.BUSY;
        attempt = a;
        a.on = this;
        reply = Reply.toQuery();
        stream.write(a.query(loop.clock().now()));
        return true;
    }

    void rest(long idleUs) {
        deadline = loop.deadlines().after(idleUs, this::close);
    }

    /** Whether the attempt's last byte was written. */
    boolean wroteAll() {
        return stream.flushed();
    }

    @Override
    public void received(ByteBuffer in) {
        if (phase == Phase.IDLE) {
            loop.counters().strayBytes++;
            close();
            return;
        }
        pass(in);
        reader.feed(in);
        try {
            boolean whole = false;
            while (!whole && !beginsLong() && reader.next()) {
                reply.accept(reader);
                whole = reply.ended();
            }
            if (whole) {
                answered(reply);
            }
        } catch (PgException e) {
            loop.counters().malformed++;
            end(BackEnd.Result.of(Outcome.ERROR));
        }
    }

    /** The next piece of a long row. */
    private void pass(ByteBuffer in) {
        if (passing > 0 && in.hasRemaining()) {
            byte[] piece = new byte[Math.min(passing, in.remaining())];
            in.get(piece);
            passing -= piece.length;
            moved = true;
            if (passing == 0) {
                loop.deadlines().cancel(deadline);
            }
            passage.part(piece);
        }
    }

    /** Whether a row that is passed on is on its way; begins to pass one on that comes next. */
    private boolean beginsLong() throws PgException {
        int length = passing > 0 ? 0 : reader.longRow(Reply.HELD_ROW);
        if (length > 0) {
            byte[] before = reply.passRow(attempt != null && !attempt.probe && reader.rowHoldsOneValue());
            ServerPool.Attempt mine = attempt;
            passage = mine.sink.begins(this);
            if (passage == null) {
                end(BackEnd.Result.of(Outcome.CANCELLED));
                return true;
            }
            byte[] held = reader.takeHeld(length + MessageReader.HEADER);
            passing = length + MessageReader.HEADER - held.length;
            moved = true;
            if (passing > 0) {
                deadline = loop.deadlines().after(STILL_US, this::still);
            }
            passage.part(before);
            passage.part(held);
        }
        return passing > 0;
    }

    /** A row that stands still for too long holds a place on both sides for nothing. */
    private void still() {
        if (passing > 0 && !moved) {
            end(BackEnd.Result.of(Outcome.RESET));
        } else if (passing > 0) {
            moved = false;
            deadline = loop.deadlines().after(STILL_US, this::still);
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

    /** Takes the whole answer; with a byte behind it, the connection is not used again. */
    private void answered(Reply whole) {
        boolean clean = whole.ready() && reader.buffered() == 0;
        if (whole.ready() && !clean) {
            loop.counters().strayBytes++;
        }
        if (phase == Phase.STARTUP && (whole.errorCode() != null || !clean)) {
            fail(whole.result(false).outcome() == Outcome.REJECTED ? Outcome.REJECTED : Outcome.CONNECT_FAILED);
        } else if (!clean) {
            end(result(whole, !whole.ready()));
        } else if (phase == Phase.STARTUP) {
            loop.deadlines().cancel(deadline);
            phase = Phase.IDLE;
            pool.opened(this);
        } else {
            ServerPool.Attempt done = attempt;
            BackEnd.Result result = result(whole, false);
            attempt = null;
            phase = Phase.IDLE;
            pool.free(this);
            pool.finish(done, result);
        }
    }

    private BackEnd.Result result(Reply whole, boolean broken) {
        BackEnd.Result result = attempt.probe ? whole.probeResult(broken) : whole.result(broken);
        loop.counters().unreadReports += whole.unread();
        return result;
    }

    @Override
    public void ended() {
        if (phase == Phase.STARTUP) {
            fail(Outcome.CONNECT_FAILED);
        } else if (phase == Phase.BUSY) {
            // Broken before the last byte was written: it never ran.
            BackEnd.Result broken = reply.result(true);
            end(broken.outcome() == Outcome.RESET && !wroteAll() ? BackEnd.Result.of(Outcome.CONNECT_FAILED) : broken);
        } else {
            close();
        }
    }

    /** It did not come up. */
    private void fail(Outcome outcome) {
        if (phase == Phase.CONNECTING || phase == Phase.STARTUP) {
            close();
            pool.openFailed(this, outcome);
        }
    }

    /** It ends with its attempt. */
    private void end(BackEnd.Result result) {
        ServerPool.Attempt done = attempt;
        if (phase == Phase.STARTUP) {
            fail(Outcome.CONNECT_FAILED);
            return;
        }
        close();
        if (done != null) {
            pool.finish(done, result);
        }
    }

    /** Closes it; an attempt on it is no longer reported from here. */
    void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        attempt = null;
        passing = 0;
        loop.deadlines().cancel(deadline);
        if (stream != null) {
            stream.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
        pool.closed(this);
    }
}
