package frostreel.frontend;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.pg.PgException;
import frostreel.pg.SqlState;
import java.nio.ByteBuffer;

/**
 * The input of one client: takes its messages one after another, each once the one before it is answered. Used on the
 * I/O thread.
 */
final class ClientInput {
    private final EventLoop loop;
    private final ClientConnection connection;
    private final ClientBacklog backlog;
    private final StartupHandler startup;
    private final QueryHandler queries;
    private boolean takingMessages;
    /** The socket was read until empty within this very call, so that it need not be read again. */
    private boolean readJustNow;

    ClientInput(FrontEnd frontEnd, SocketStream stream, ClientConnection connection) {
        loop = frontEnd.loop();
        this.connection = connection;
        backlog = new ClientBacklog(loop);
        startup = new StartupHandler(frontEnd, stream, connection);
        queries = new QueryHandler(frontEnd, stream, connection);
    }

    /** Adds what was read; messages are only taken once the socket was read until empty. */
    void add(ByteBuffer in) {
        backlog.add(in);
    }

    /** Takes messages, as the socket was read until empty and the client has not disconnected behind them. */
    void onCaughtUp() {
        backlog.onCaughtUp();
        boolean readBefore = readJustNow;
        readJustNow = true;
        takeMessages();
        readJustNow = readBefore;
        if (!backlog.isOverrun() && connection.mustWait() && backlog.checkOverrun()) {
            loop.counters().malformedMessages++;
        }
    }

    /** Takes the messages that have arrived, up to the first request that has to be waited for. */
    void takeMessages() {
        if (takingMessages) {
            return;
        }
        takingMessages = true;
        try {
            boolean taken = true;
            while (taken && connection.mayTakeMessage()) {
                taken = takeMessage();
            }
        } catch (PgException e) {
            loop.counters().malformedMessages++;
            connection.closeWithError(SqlState.PROTOCOL_VIOLATION, e.getMessage());
        } finally {
            takingMessages = false;
            if (connection.isOpen()) {
                backlog.countMemory();
            } else {
                backlog.release();
            }
        }
        connection.onMessagesTaken();
    }

    /** Takes the next message; false where none is complete. */
    private boolean takeMessage() throws PgException {
        boolean starting = connection.isStarting();
        if (!backlog.next(starting)) {
            if (backlog.isOverrun()) {
                connection.closeWithError(SqlState.PROTOCOL_VIOLATION, "too much at once behind a request in hand");
            }
            return false;
        }
        if (starting) {
            startup.onMessage(backlog.message());
        } else {
            queries.onMessage(backlog.message());
        }
        return true;
    }

    /** The client disconnected during its startup. */
    void onEndedAtStartup() {
        try {
            startup.onEnded(backlog.message());
        } catch (PgException e) {
            loop.counters().malformedMessages++;
        }
    }

    /** The earliest time at which the last byte of the current message may have arrived. */
    long arrivedUs() {
        return backlog.arrivedUs();
    }

    /** Whether the client has sent a valid query before. */
    boolean hasSentQuery() {
        return queries.hasSentQuery();
    }

    boolean wasReadJustNow() {
        return readJustNow;
    }

    boolean isEmpty() {
        return backlog.isEmpty();
    }

    /** Whether more is waiting than may, so that further input is dropped. */
    boolean isOverrun() {
        return backlog.isOverrun();
    }

    /** The input is no longer needed. */
    void release() {
        backlog.release();
    }
}
