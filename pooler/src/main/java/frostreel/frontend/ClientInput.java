package frostreel.frontend;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.pg.PgException;
import frostreel.pg.SqlState;
import java.nio.ByteBuffer;

/**
 * Processes the input of one client message by message, each after the response to the one before it. Used on the I/O
 * thread.
 */
final class ClientInput {
    private final EventLoop loop;
    private final ClientConnection connection;
    private final ClientBacklog backlog;
    private final StartupHandler startup;
    private final QueryHandler queries;
    private boolean takingMessages;
    /** Whether {@link #onReadCompleted} is running, so the socket was just read and need not be read again. */
    private boolean readJustNow;

    ClientInput(FrontEnd frontEnd, SocketStream stream, ClientConnection connection) {
        loop = frontEnd.loop();
        this.connection = connection;
        backlog = new ClientBacklog(loop);
        startup = new StartupHandler(frontEnd, stream, connection);
        queries = new QueryHandler(frontEnd, stream, connection);
    }

    /** Adds what was read; its messages are processed in {@link #onReadCompleted}. */
    void add(ByteBuffer in) {
        backlog.add(in);
    }

    /** Processes messages after a read of the socket that did not find the client disconnected. */
    void onReadCompleted() {
        backlog.onReadCompleted();
        boolean readBefore = readJustNow;
        readJustNow = true;
        takeMessages();
        readJustNow = readBefore;
        if (connection.mayTakeMessage() && loop.buffers().rejectsRequests()) {
            backlog.discardLongIncompleteQuery();
        }
    }

    /** The most bytes that may be read now; 0 or less if input has to stay in the socket. */
    int maxReadBytes() {
        return connection.mustWait() ? backlog.readAheadBytes() : Integer.MAX_VALUE;
    }

    /** Whether input behind an active request, or behind an unread response, has to stay in the socket. */
    boolean mustHoldBack() {
        return connection.mustWait()
                && (backlog.readAheadBytes() == 0 || loop.buffers().holdsBackInput());
    }

    /** Processes the messages that have arrived, up to the first request that does not end at once. */
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
                backlog.trim();
            } else {
                backlog.release();
            }
        }
        connection.onMessagesTaken();
    }

    /** Processes the next message; returns false if none is complete. */
    private boolean takeMessage() throws PgException {
        boolean starting = connection.isStarting();
        if (!backlog.next(starting)) {
            return false;
        }
        if (starting) {
            startup.onMessage(backlog.message());
        } else {
            queries.onMessage(backlog.message(), backlog.arrivedUs());
        }
        return true;
    }

    /** Handles the disconnect of a client during its startup. */
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

    /** Whether the client has sent a valid query. */
    boolean hasSentQuery() {
        return queries.hasSentQuery();
    }

    boolean wasReadJustNow() {
        return readJustNow;
    }

    boolean isEmpty() {
        return backlog.isEmpty();
    }

    /** Whether more input may be read that does not complete the client's next message. */
    boolean mayGrow() {
        return backlog.mayGrow();
    }

    /** Discards the input, of which no further message is taken, and gives back its memory. */
    void release() {
        backlog.release();
    }
}
