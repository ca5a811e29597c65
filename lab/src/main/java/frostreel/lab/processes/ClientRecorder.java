package frostreel.lab.processes;

import frostreel.lab.rules.RunListener;
import frostreel.lab.rules.RunListener.Answer;
import frostreel.pg.MessageReader;
import frostreel.pg.PgException;
import frostreel.pg.Statement;
import frostreel.routing.Router;
import frostreel.time.Clock;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;

/** Reports when the pooler takes and answers the requests on one connection of a client. */
final class ClientRecorder implements TrafficRecorder {
    private static final int MAX_MESSAGE_BYTES = 1 << 18;
    /** In place of the id of a query that is no request, such as an empty query or SHOW. */
    private static final String NO_REQUEST = "";

    private final Clock clock;
    private final int pooler;
    private final Map<String, Router.RequestClass> classes;
    private final RunListener listener;
    private final boolean mayCrossEnd;
    private final MessageReader fromClient = new MessageReader(type -> MAX_MESSAGE_BYTES);
    private final MessageReader toClient = new MessageReader(type -> MAX_MESSAGE_BYTES);
    /** The ids of the unanswered queries, in their order. */
    private final ArrayDeque<String> open = new ArrayDeque<>();

    private boolean started;
    private boolean welcomed;
    private boolean used;
    /** The answer of the query that is being answered; null until it is known. */
    private Answer answer;

    /**
     * A recorder for one connection.
     *
     * @param mayCrossEnd whether poolers shut down under load, so that a request may cross the end of a connection
     *     that was used before; its client sends it again on a new one, and the load counts it
     */
    ClientRecorder(
            Clock clock,
            int pooler,
            Map<String, Router.RequestClass> classes,
            RunListener listener,
            boolean mayCrossEnd) {
        this.clock = clock;
        this.pooler = pooler;
        this.classes = classes;
        this.listener = listener;
        this.mayCrossEnd = mayCrossEnd;
    }

    @Override
    public void poolerReceived(byte[] bytes) {
        fromClient.feed(ByteBuffer.wrap(bytes));
        try {
            while (started ? fromClient.next() : fromClient.nextStartup()) {
                if (started && fromClient.type() == 'Q') {
                    queryTaken(fromClient.body());
                }
                started = true;
            }
        } catch (PgException e) {
            throw new IllegalStateException("the load wrote what is no message: " + e.getMessage(), e);
        }
    }

    private void queryTaken(byte[] sql) {
        try {
            Statement statement = Statement.parse(sql);
            open.add(statement.id());
            listener.requestTaken(
                    clock.now(),
                    pooler,
                    statement.id(),
                    classes.get(statement.requestClass()),
                    clock.now() + statement.timeoutMs() * 1000);
        } catch (PgException e) {
            open.add(NO_REQUEST);
        }
    }

    @Override
    public void poolerSent(byte[] bytes) {
        toClient.feed(ByteBuffer.wrap(bytes));
        try {
            while (toClient.next()) {
                switch (toClient.type()) {
                    case 'C' -> answer = Answer.SERVED;
                    case 'E' -> answer = isRejection(toClient.body()) ? Answer.REJECTED : Answer.FAILED;
                    case 'Z' -> queryAnswered();
                    default -> {}
                }
            }
        } catch (PgException e) {
            throw new IllegalStateException("a pooler wrote what is no message: " + e.getMessage(), e);
        }
    }

    /** Whether an error's fields say that the request did not run and may be retried. */
    static boolean isRejection(byte[] error) {
        String fields = new String(error, StandardCharsets.UTF_8);
        return fields.contains("\0C53300\0") || fields.contains("\0C57P03\0");
    }

    private void queryAnswered() {
        if (!welcomed) {
            welcomed = true;
            return;
        }
        used = true;
        String id = open.poll();
        if (id != null && !id.equals(NO_REQUEST)) {
            listener.requestAnswered(clock.now(), pooler, id, answer == null ? Answer.FAILED : answer);
        }
        answer = null;
    }

    /** After a fatal error there is no ReadyForQuery; any other request that is open at the end is lost. */
    @Override
    public void connectionEnded(boolean byPooler) {
        if (answer != null) {
            queryAnswered();
        }
        if (!byPooler || (mayCrossEnd && used && open.size() == 1)) {
            open.stream().filter(id -> !id.equals(NO_REQUEST)).forEach(id -> listener.requestExcused(clock.now(), id));
        }
    }
}
