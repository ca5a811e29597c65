package frostreel.lab.processes;

import frostreel.broker.Clock;
import frostreel.lab.rules.RunListener;
import frostreel.pg.MessageReader;
import frostreel.pg.PgException;
import frostreel.pg.Reply;
import frostreel.pg.Statement;
import frostreel.request.BackEnd;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import java.nio.ByteBuffer;
import java.util.Map;

/** Tells of the attempts on one connection from a pooler to a server, as that pooler sees them. */
final class StatementRecorder implements FaultyRelay.TrafficRecorder {
    private static final int MOST_BYTES = 1 << 18;
    private final Clock clock;
    private final int pooler;
    private final String server;
    private final Map<String, Router.RequestClass> classes;
    private final RunListener listener;
    private final SendOrder order;
    private final MessageReader said = new MessageReader(type -> MOST_BYTES);
    private final MessageReader heard = new MessageReader(Reply::maxLength);
    private boolean started;
    private Reply reply = Reply.toStartup();
    /** What is out, null for nothing or a probe; its first byte's time and its last's. */
    private Statement out;

    private boolean told;
    private long firstUs;
    private long lastUs;

    StatementRecorder(
            Clock clock,
            int pooler,
            String server,
            Map<String, Router.RequestClass> classes,
            RunListener listener,
            SendOrder order) {
        this.order = order;
        this.clock = clock;
        this.pooler = pooler;
        this.server = server;
        this.classes = classes;
        this.listener = listener;
    }

    @Override
    public void says(byte[] bytes) {
        firstUs = said.buffered() == 0 ? clock.now() : firstUs;
        said.feed(ByteBuffer.wrap(bytes));
        try {
            while (started ? said.next() : said.nextStartup()) {
                if (started && said.type() == 'Q') {
                    reply = Reply.toQuery();
                    begin(said.body());
                }
                started = true;
            }
        } catch (PgException e) {
            throw new IllegalStateException("a pooler wrote what is no message: " + e.getMessage(), e);
        }
    }

    private void begin(byte[] sql) {
        try {
            out = Statement.parse(sql);
            lastUs = clock.now();
            told = false;
            order.begins(this);
        } catch (PgException e) {
            out = null; // A probe.
        }
    }

    /** Tells of the statement that is out, once. */
    void tell() {
        if (out != null && !told) {
            told = true;
            listener.attemptSent(firstUs, pooler, out.id(), server);
        }
    }

    @Override
    public void hears(byte[] bytes) {
        tell();
        heard.feed(ByteBuffer.wrap(bytes));
        try {
            while (heard.next()) {
                reply.accept(heard);
                if (reply.ended() && out != null) {
                    over(reply.result(false));
                }
            }
        } catch (PgException e) {
            throw new IllegalStateException("a stand-in wrote what is no answer: " + e.getMessage(), e);
        }
    }

    private void over(BackEnd.Result result) {
        Statement s = out;
        out = null;
        Outcome o = result.outcome();
        listener.attemptEnded(clock.now(), pooler, s.id(), o, o != Outcome.OK && !o.provesNotRun);
        Router.RequestClass c = classes.get(s.requestClass());
        if (o == Outcome.OK && !s.write() && c != null) {
            long positionUs = result.role() == Router.Role.PRIMARY ? clock.now() : result.positionUs();
            listener.readServed(
                    clock.now(),
                    s.id(),
                    positionUs,
                    switch (c.access()) {
                        case BOUNDED -> lastUs - c.boundUs();
                        case SESSION -> s.afterMs() * 1000;
                        default -> 0;
                    });
        }
    }

    @Override
    public void ended(boolean byIt) {
        tell();
        if (out != null) {
            listener.attemptEnded(clock.now(), pooler, out.id(), byIt ? Outcome.TIMEOUT : Outcome.RESET, true);
            out = null;
        }
    }
}
