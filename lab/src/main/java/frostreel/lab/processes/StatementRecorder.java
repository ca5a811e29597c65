package frostreel.lab.processes;

import frostreel.lab.rules.RunListener;
import frostreel.pg.MessageReader;
import frostreel.pg.PgException;
import frostreel.pg.ServerResponse;
import frostreel.pg.Statement;
import frostreel.request.BackEnd;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.time.Clock;
import java.nio.ByteBuffer;
import java.util.Map;

/** Reports the attempts on one connection of a pooler to a server, as the pooler sees them. */
final class StatementRecorder implements TrafficRecorder {
    private static final int MAX_MESSAGE_BYTES = 1 << 18;

    private final Clock clock;
    private final int pooler;
    private final String server;
    private final Map<String, Router.RequestClass> classes;
    private final RunListener listener;
    private final AttemptOrder order;
    private final MessageReader toServer = new MessageReader(type -> MAX_MESSAGE_BYTES);
    private final MessageReader fromServer = new MessageReader(ServerResponse::maxLength);
    private boolean started;
    private ServerResponse reply = ServerResponse.toStartup();
    /** The statement that is in flight; null for none, or for a health check. */
    private Statement inFlight;

    private boolean sentReported;
    private long firstByteUs;
    private long lastByteUs;

    StatementRecorder(
            Clock clock,
            int pooler,
            String server,
            Map<String, Router.RequestClass> classes,
            RunListener listener,
            AttemptOrder order) {
        this.clock = clock;
        this.pooler = pooler;
        this.server = server;
        this.classes = classes;
        this.listener = listener;
        this.order = order;
    }

    @Override
    public void poolerSent(byte[] bytes) {
        firstByteUs = toServer.buffered() == 0 ? clock.now() : firstByteUs;
        toServer.feed(ByteBuffer.wrap(bytes));
        try {
            while (started ? toServer.next() : toServer.nextStartup()) {
                if (started && toServer.type() == 'Q') {
                    reply = ServerResponse.toQuery();
                    begin(toServer.body());
                }
                started = true;
            }
        } catch (PgException e) {
            throw new IllegalStateException("a pooler wrote what is no message: " + e.getMessage(), e);
        }
    }

    private void begin(byte[] sql) {
        try {
            inFlight = Statement.parse(sql);
            lastByteUs = clock.now();
            sentReported = false;
            order.begin(this);
        } catch (PgException e) {
            inFlight = null; // A health check.
        }
    }

    /** Reports the statement that is in flight, once. */
    void reportSent() {
        if (inFlight != null && !sentReported) {
            sentReported = true;
            listener.attemptSent(firstByteUs, pooler, inFlight.id(), server);
        }
    }

    @Override
    public void poolerReceived(byte[] bytes) {
        reportSent();
        fromServer.feed(ByteBuffer.wrap(bytes));
        try {
            while (fromServer.next()) {
                reply.accept(fromServer);
                if (reply.ended() && inFlight != null) {
                    attemptEnded(reply.result());
                }
            }
        } catch (PgException e) {
            throw new IllegalStateException("a stand-in wrote what is no answer: " + e.getMessage(), e);
        }
    }

    private void attemptEnded(BackEnd.Result result) {
        Statement statement = inFlight;
        inFlight = null;
        Outcome outcome = result.outcome();
        boolean mayHaveRun = outcome != Outcome.OK && !outcome.provesNotRun;
        listener.attemptEnded(clock.now(), pooler, statement.id(), outcome, mayHaveRun);
        Router.RequestClass requestClass = classes.get(statement.requestClass());
        if (outcome == Outcome.OK && !statement.write() && requestClass != null) {
            long positionUs = result.role() == Router.Role.PRIMARY ? clock.now() : result.positionUs();
            listener.readServed(clock.now(), statement.id(), positionUs, requiredUs(statement, requestClass));
        }
    }

    /** The position that a read had to see. */
    private long requiredUs(Statement statement, Router.RequestClass requestClass) {
        return switch (requestClass.access()) {
            case BOUNDED -> lastByteUs - requestClass.stalenessBoundUs();
            case SESSION -> statement.requiredPositionMs() * 1000;
            default -> 0;
        };
    }

    @Override
    public void connectionEnded(boolean byPooler) {
        reportSent();
        if (inFlight != null) {
            Outcome outcome = byPooler ? Outcome.TIMEOUT : Outcome.RESET;
            listener.attemptEnded(clock.now(), pooler, inFlight.id(), outcome, true);
            inFlight = null;
        }
    }
}
