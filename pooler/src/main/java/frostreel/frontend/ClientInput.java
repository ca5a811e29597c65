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
    /** What is read of one connection in a turn; a long message takes several. */
    private static final int MAX_READ_BYTES = 1 << 16;
    /** What is read in a turn while the buffers of all connections are full. */
    private static final int MAX_READ_BYTES_WITHOUT_MEMORY = 1 << 13;

    private final EventLoop loop;
    private final ClientConnection connection;
    private final ClientBacklog backlog;
    private final StartupHandler startup;
    private final QueryHandler queries;
    private final SocketStream stream;
    private final TurnShare share;
    private boolean takingMessages;
    /** Whether the next messages were put off to a later turn. */
    private boolean deferred;
    /** How much was read in the current turn of reads. */
    private int readBytes;
    /** Whether {@link #onReadCompleted} is running, so the socket was just read and need not be read again. */
    private boolean readJustNow;

    ClientInput(FrontEnd frontEnd, SocketStream stream, ClientConnection connection) {
        loop = frontEnd.loop();
        this.stream = stream;
        this.connection = connection;
        share = new TurnShare(loop.clock());
        backlog = new ClientBacklog(loop);
        startup = new StartupHandler(frontEnd, stream, connection);
        queries = new QueryHandler(frontEnd, stream, connection);
    }

    /** Counts what was read towards the limit of this turn, whether it is kept or not. */
    void countRead(int bytes) {
        readBytes += bytes;
    }

    /** Adds what was read; its messages are processed in {@link #onReadCompleted}. */
    void add(ByteBuffer in) {
        backlog.add(in);
    }

    /** Processes messages after a read of the socket that did not find the client disconnected. */
    void onReadCompleted() {
        backlog.onReadCompleted();
        readBytes = 0;
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
        int perTurn = loop.buffers().holdsBackInput() ? MAX_READ_BYTES_WITHOUT_MEMORY : MAX_READ_BYTES;
        int leftInTurn = perTurn - readBytes;
        return connection.mustWait() ? Math.min(leftInTurn, backlog.readAheadBytes()) : leftInTurn;
    }

    /** Whether input behind an active request, or behind an unread response, has to stay in the socket. */
    boolean mustHoldBack() {
        return connection.mustWait()
                && (backlog.readAheadBytes() == 0 || loop.buffers().holdsBackInput());
    }

    /** Whether the next messages were put off to a later turn; until then, further input stays in the socket. */
    boolean isDeferred() {
        return deferred;
    }

    /**
     * Processes the messages that have arrived, up to the first request that does not end at once, or until the share
     * of this turn is used. The rest is processed in later turns.
     */
    void takeMessages() {
        if (takingMessages || deferred) {
            return;
        }
        takingMessages = true;
        share.begin();
        stream.beginBatch();
        try {
            takeShare();
        } catch (PgException e) {
            loop.counters().malformedMessages++;
            connection.closeWithError(SqlState.PROTOCOL_VIOLATION, e.getMessage());
        } finally {
            takingMessages = false;
            stream.endBatch();
            if (connection.isOpen()) {
                backlog.trim();
            } else {
                backlog.release();
            }
        }
        connection.onMessagesTaken(share.isUsed());
    }

    private void takeShare() throws PgException {
        boolean taken = true;
        while (taken && connection.mayTakeMessage()) {
            if (share.isExhausted() && !backlog.isEmpty()) {
                defer();
                return;
            }
            taken = takeMessage();
        }
    }

    private void defer() {
        deferred = true;
        loop.counters().inputsDeferred++;
        loop.defer(() -> {
            deferred = false;
            takeMessages();
        });
    }

    /** Processes the next message; returns false if none is complete. */
    private boolean takeMessage() throws PgException {
        boolean starting = connection.isStarting();
        if (!backlog.next(starting)) {
            return false;
        }
        share.onMessage();
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
