package frostreel.frontend;

import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.operation.RequestClassRegistry;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import frostreel.pg.SqlState;
import frostreel.pg.Statement;
import java.util.function.Supplier;

/**
 * Handles the messages of one client after its startup: responds to readiness checks, status pages and invalid queries,
 * and passes requests on to the connection, which submits them. Used on the I/O thread.
 */
final class QueryHandler {
    static final byte QUERY = 'Q';
    private static final byte SYNC = 'S';
    private static final byte FLUSH = 'H';
    private static final byte TERMINATE = 'X';

    /** Consecutive invalid queries after which the connection is closed, as responding to each costs time. */
    private static final int MAX_INVALID_IN_A_ROW = 16;
    /** The Retry-After of requests that are rejected near the connection limit, unless the settings allow only less. */
    private static final long OVERLOADED_RETRY_AFTER_US = 200_000;

    private final FrontEnd frontEnd;
    private final EventLoop loop;
    private final SocketStream stream;
    private final ClientConnection connection;
    private boolean skippingToSync;
    private boolean hasSentQuery;
    private int invalidInARow;

    QueryHandler(FrontEnd frontEnd, SocketStream stream, ClientConnection connection) {
        this.frontEnd = frontEnd;
        loop = frontEnd.loop();
        this.stream = stream;
        this.connection = connection;
    }

    /** Whether the client has sent a valid query. */
    boolean hasSentQuery() {
        return hasSentQuery;
    }

    /** Handles one message; {@code arrivedUs} is the earliest time at which its last byte may have arrived. */
    void onMessage(MessageReader message, long arrivedUs) throws PgException {
        switch (message.type()) {
            case TERMINATE -> connection.close();
            case QUERY -> {
                if (message.isDiscarded()) {
                    rejectForMemory();
                } else {
                    onQuery(message.body(), arrivedUs);
                }
            }
            case SYNC -> {
                skippingToSync = false;
                stream.write(Messages.readyForQuery());
            }
            case FLUSH -> {} // No output is buffered until a Flush.
            default -> onExtendedQuery();
        }
    }

    /** Rejects the extended query protocol with one error, and skips its messages up to the next Sync. */
    private void onExtendedQuery() {
        if (!skippingToSync) {
            loop.counters().malformedMessages++;
            stream.write(FrontEndResponses.error(SqlState.FEATURE_NOT_SUPPORTED, "only simple queries"));
        }
        skippingToSync = true;
    }

    private void onQuery(byte[] body, long arrivedUs) throws PgException {
        if (Statement.isEmpty(body)) {
            hasSentQuery = true;
            connection.respond(FrontEndResponses.readiness(frontEnd.lifecycle().status()));
            return;
        }
        Supplier<String> page = frontEnd.pages().find(body);
        if (page != null) {
            hasSentQuery = true;
            connection.respond(Messages.row("page", page.get()));
            return;
        }
        onStatement(body, arrivedUs);
    }

    private void onStatement(byte[] body, long arrivedUs) {
        Statement statement;
        try {
            statement = Statement.parse(body);
        } catch (PgException e) {
            onInvalidQuery(e.getMessage());
            return;
        }
        int requestClass = requestClass(statement, arrivedUs);
        if (requestClass == RequestClassRegistry.NO_CLASS) {
            onInvalidQuery("a class that the settings do not name, or a statement that is none of its class");
        } else if (frontEnd.broker().isActive(statement.id())) {
            onInvalidQuery("the id of a request that is open"); // Forwarded, it would be a hedged request.
        } else if (frontEnd.broker().mustNotRunAgain(statement.id(), requestClass)) {
            onInvalidQuery("the id of a request that may have run");
        } else {
            onRequest(statement, requestClass);
        }
    }

    /** Returns the number of a statement's class, {@link RequestClassRegistry#NO_CLASS} if none of that name fits. */
    private int requestClass(Statement statement, long arrivedUs) {
        return frontEnd.classes()
                .classNumber(arrivedUs, statement.requestClass(), statement.write(), statement.keyed());
    }

    /** Responds to an invalid query with an error; closes the connection after too many in a row. */
    private void onInvalidQuery(String text) {
        loop.counters().malformedMessages++;
        if (++invalidInARow < MAX_INVALID_IN_A_ROW) {
            connection.respond(FrontEndResponses.error(SqlState.INVALID_PARAMETER_VALUE, text));
        } else {
            connection.closeWithError(SqlState.INVALID_PARAMETER_VALUE, text);
        }
    }

    private void onRequest(Statement statement, int requestClass) {
        hasSentQuery = true;
        invalidInARow = 0;
        if (frontEnd.limits().rejectsRequests()) {
            loop.counters().requestsRejectedForOverload++;
            reject();
        } else if (loop.buffers().rejectsRequests()) {
            rejectForMemory();
        } else {
            connection.submit(statement, requestClass);
        }
    }

    private void rejectForMemory() {
        loop.counters().requestsRejectedForMemory++;
        reject();
    }

    private void reject() {
        connection.respond(FrontEndResponses.rejected(frontEnd.broker().retryAfterUs(OVERLOADED_RETRY_AFTER_US)));
    }
}
