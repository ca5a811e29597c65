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

/**
 * Stand-in for a database server: a server of the model behind the part of the PostgreSQL protocol that poolers
 * use towards servers. Used by the event loop's thread alone.
 */
public final class StandInDatabase {
    /** The properties of statements that their text does not state. */
    public interface CostModel {
        /** The CPU time of a statement, in microseconds on a core of speed 1. */
        double workUs(Statement statement);

        /** The oldest position, in Unix microseconds, that may serve a read sent now; 0 for any. */
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

    /**
     * Listens for poolers.
     *
     * @param server of the model, which the caller owns
     * @param onOverload runs when the server is overloaded while it is warming up
     * @param bind where to listen; port 0 takes a free one
     * @throws IOException where the address cannot be bound
     */
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

    /** The address at which the server listens. */
    public InetSocketAddress address() {
        return port.address();
    }

    /** Stops listening, and closes all connections. */
    public void close() {
        port.close();
        resetConnections();
    }

    /** The server's process has ended: closes all connections, and cancels their requests in the model. */
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
                stream.close(); // No process runs that could take the connection.
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
                        stream.write(Messages.startupResponse(1, 1));
                    } else if (reader.type() == 'Q') {
                        query(reader.body());
                    } else {
                        close(); // Terminate, or a message that no pooler sends.
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
            // Stored before the server gets it, as the server may answer, or crash, at once.
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
                received(ByteBuffer.allocate(0)); // Continues with pipelined statements.
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

    /** An encoded ParameterStatus message. */
    private static byte[] parameter(String name, String value) {
        byte[] text = (name + "\0" + value + "\0").getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(text.length + 5)
                .put((byte) 'S')
                .putInt(text.length + 4)
                .put(text)
                .array();
    }
}
