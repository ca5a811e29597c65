package frostreel.lab.processes;

import frostreel.broker.Clock;
import frostreel.lab.rules.RunListener;
import frostreel.lab.rules.RunListener.Answer;
import frostreel.pg.MessageReader;
import frostreel.pg.PgException;
import frostreel.pg.Statement;
import frostreel.routing.Router;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Map;

/** Tells of the requests on one connection of a client, as the pooler sees them: taken, and answered. */
final class ClientRecorder implements FaultyRelay.TrafficRecorder {
    private static final int MOST_BYTES = 1 << 18;
    private final Clock clock;
    private final int pooler;
    private final Map<String, Router.RequestClass> classes;
    private final RunListener listener;
    private final MessageReader heard = new MessageReader(type -> MOST_BYTES);
    private final MessageReader said = new MessageReader(type -> MOST_BYTES);
    /** Queries not yet answered, by their ids; empty for what is none of a class. */
    private final ArrayDeque<String> open = new ArrayDeque<>();

    private final boolean mayCross;
    private boolean started;
    private boolean welcomed;
    private boolean used;
    private Answer answer;

    /**
     * {@code mayCross}: poolers leave while clients ask, so that a request may cross the end of a connection
     * that was used before; it comes again on a new one, and is counted where the load has it.
     */
    ClientRecorder(
            Clock clock, int pooler, Map<String, Router.RequestClass> classes, RunListener listener, boolean mayCross) {
        this.mayCross = mayCross;
        this.clock = clock;
        this.pooler = pooler;
        this.classes = classes;
        this.listener = listener;
    }

    @Override
    public void hears(byte[] bytes) {
        heard.feed(ByteBuffer.wrap(bytes));
        try {
            while (started ? heard.next() : heard.nextStartup()) {
                if (started && heard.type() == 'Q') {
                    taken(heard.body());
                }
                started = true;
            }
        } catch (PgException e) {
            throw new IllegalStateException("the load wrote what is no message: " + e.getMessage(), e);
        }
    }

    private void taken(byte[] sql) {
        try {
            Statement s = Statement.parse(sql);
            open.add(s.id());
            listener.requestTaken(
                    clock.now(), pooler, s.id(), classes.get(s.requestClass()), clock.now() + s.timeoutMs() * 1000);
        } catch (PgException e) {
            open.add(""); // An empty query, or a page.
        }
    }

    @Override
    public void says(byte[] bytes) {
        said.feed(ByteBuffer.wrap(bytes));
        try {
            while (said.next()) {
                switch (said.type()) {
                    case 'C' -> answer = Answer.SERVED;
                    case 'E' -> answer = refusal(said.body()) ? Answer.REJECTED : Answer.FAILED;
                    case 'Z' -> answered();
                    default -> {}
                }
            }
        } catch (PgException e) {
            throw new IllegalStateException("a pooler wrote what is no message: " + e.getMessage(), e);
        }
    }

    static boolean refusal(byte[] error) {
        String fields = new String(error, StandardCharsets.UTF_8);
        return fields.contains("\0C53300\0") || fields.contains("\0C57P03\0");
    }

    private void answered() {
        if (!welcomed) {
            welcomed = true;
            return;
        }
        used = true;
        String id = open.poll();
        if (id != null && !id.isEmpty()) {
            listener.requestAnswered(clock.now(), pooler, id, answer == null ? Answer.FAILED : answer);
        }
        answer = null;
    }

    /** After a fatal error no ReadyForQuery comes; a request that the pooler leaves otherwise is lost. */
    @Override
    public void ended(boolean byIt) {
        if (answer != null) {
            answered();
        }
        if (!byIt || mayCross && used && open.size() == 1) {
            open.stream().filter(id -> !id.isEmpty()).forEach(id -> listener.requestExcused(clock.now(), id));
        }
    }
}
