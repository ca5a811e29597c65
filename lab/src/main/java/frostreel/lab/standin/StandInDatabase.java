package frostreel.lab.standin;

import frostreel.lab.model.Job;
import frostreel.lab.model.Scheduler;
import frostreel.lab.model.Server;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.pg.MessageReader;
import frostreel.pg.Messages;
import frostreel.pg.PgException;
import frostreel.pg.SqlState;
import frostreel.pg.Statement;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.xnio.StreamConnection;

/** A server of the model behind the part of PostgreSQL's protocol that poolers speak to servers. */
public final class StandInDatabase {
    /** What statements cost and need, which their text does not tell. */
    public interface CostModel {
        /** Microseconds of a core of speed 1. */
        double workUs(Statement statement);

        /** The position that a read sent now has to see, 0 for any. */
        long requiredPositionUs(Statement statement, long nowUs);
    }

    private static final int MAX_MESSAGE_BYTES = 1 << 18;
    private static final byte[] SHOW_LOAD = "SHOW load\0".getBytes(StandardCharsets.US_ASCII);
    private final EventLoop loop;
    private final Scheduler scheduler;
    private final Server server;
    private final CostModel costs;
    private final Runnable onOverload;
    private final Set<Session> sessions = new HashSet<>();
    private final Port port;

    /** {@code onOverload} runs when the server was sent more than it could take while cold. */
    public StandInDatabase(
            EventLoop loop,
            Scheduler scheduler,
            Server server,
            CostModel costs,
            Runnable onOverload,
            InetSocketAddress bind)
            throws IOException {
        this.onOverload = onOverload;
        this.loop = loop;
        this.scheduler = scheduler;
        this.server = server;
        this.costs = costs;
        port = new Port(loop, bind, Session::new);
    }

    public InetSocketAddress address() {
        return port.address();
    }

    public void close() {
        port.close();
        resetConnections();
    }

    /** Its process ended: its connections end with it, and what the model held is over. */
    public void resetConnections() {
        List.copyOf(sessions).forEach(Session::close);
    }

    /** One connection. */
    private final class Session implements SocketStream.Handler {
        private final SocketStream stream;
        private final MessageReader reader = new MessageReader(type -> MAX_MESSAGE_BYTES);
        private boolean welcomed;
        private Job job;

        Session(StreamConnection connection) {
            stream = new SocketStream(loop, connection, this);
            if (!server.up() && !server.vanished()) {
                stream.close(); // No process, no connection.
                return;
            }
            sessions.add(this);
            stream.resumeReads();
        }

        @Override
        public void received(ByteBuffer in) {
            reader.feed(in);
            if (server.vanished()) {
                return;
            }
            try {
                while (job == null && (welcomed ? reader.next() : reader.nextStartup())) {
                    if (!welcomed) {
                        welcomed = true;
                        stream.write(Messages.welcome(1, 1));
                    } else if (reader.type() == 'Q') {
                        query(reader.body());
                    } else {
                        close(); // Terminate, or what no pooler sends.
                        return;
                    }
                }
            } catch (PgException e) {
                stream.write(Messages.error(true, SqlState.PROTOCOL_VIOLATION, e.getMessage(), null));
                close();
            }
        }

        private void query(byte[] sql) throws PgException {
            if (Arrays.equals(sql, SHOW_LOAD)) {
                answer(Messages.row("load", load()));
                return;
            }
            Statement statement = Statement.parse(sql);
            // It is kept before it arrives: a server may answer, or fall over, at once.
            Job[] begun = new Job[1];
            begun[0] = new Job(
                    costs.workUs(statement),
                    statement.write(),
                    costs.requiredPositionUs(statement, scheduler.now()),
                    (outcome, role, positionUs, utilization) -> {
                        if (job == begun[0]) {
                            job = null;
                            ended(statement, outcome, role, positionUs);
                        }
                    });
            job = begun[0];
            boolean wasOverloaded = server.overloaded();
            server.arrive(job);
            if (server.overloaded() && !wasOverloaded) {
                onOverload.run();
            }
        }

        private void ended(Statement statement, Outcome outcome, Role role, long positionUs) {
            switch (outcome) {
                case OK ->
                    answer(
                            Messages.row("v", statement.id()),
                            parameter("role", role == Role.PRIMARY ? "primary" : "replica"),
                            parameter("applied_ms", Long.toString(positionUs / 1000)),
                            parameter("load", load()));
                case WRONG_ROLE_OR_STALE ->
                    answer(
                            Messages.error(false, statement.write() ? "25006" : "72000", "not here", null),
                            parameter("role", role == Role.PRIMARY ? "primary" : "replica"),
                            parameter("applied_ms", Long.toString(positionUs / 1000)));
                case REJECTED -> answer(Messages.error(false, SqlState.TOO_MANY_CONNECTIONS, "no room", null));
                case ERROR -> answer(Messages.error(false, "XX000", "it failed here", null));
                default -> close();
            }
            if (job == null && welcomed) {
                received(ByteBuffer.allocate(0)); // What came behind it.
            }
        }

        private void answer(byte[]... parts) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] part : parts) {
                all.writeBytes(part);
            }
            all.writeBytes(Messages.readyForQuery());
            stream.write(all.toByteArray());
        }

        @Override
        public void ended() {
            close();
        }

        void close() {
            if (sessions.remove(this)) {
                Job open = job;
                job = null;
                if (open != null) {
                    server.cancel(open);
                }
                stream.close();
            }
        }
    }

    private String load() {
        return String.format(
                Locale.ROOT,
                "x0=%.6f,x1=%d,load_share=%.3f",
                server.appliedUs() / 1e6,
                server.primary() ? 1 : 0,
                server.utilization());
    }

    /** A ParameterStatus message. */
    private static byte[] parameter(String name, String value) {
        byte[] text = (name + "\0" + value + "\0").getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(text.length + 5)
                .put((byte) 'S')
                .putInt(text.length + 4)
                .put(text)
                .array();
    }
}
