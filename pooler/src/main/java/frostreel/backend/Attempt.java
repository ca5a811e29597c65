package frostreel.backend;

import frostreel.pg.Messages;
import frostreel.request.BackEnd;
import frostreel.request.Payload;
import frostreel.time.Deadlines;
import java.nio.charset.StandardCharsets;

/** An attempt or a health check that runs on a connection, or waits for one. */
final class Attempt {
    private static final byte[] HEALTH_CHECK_QUERY = Messages.query("SHOW load\0".getBytes(StandardCharsets.US_ASCII));

    /** The server that it is for; null where no server has the name that the router gave. */
    final Server server;

    final BackEnd.AttemptListener listener;
    /** The request, null for a health check. */
    private final Payload payload;
    /** Until when the sender waits for the response; not used by a health check. */
    private final long timeoutAtUs;

    /** Its slot in the pool's table of attempts. */
    long handle;
    /** The connection that it runs on, null while it waits for one. */
    ServerConnection connection;
    /** Ends a health check; null for an attempt, whose sender keeps its timeout. */
    Deadlines.Deadline timeout;

    private Attempt(Server server, Payload payload, long timeoutAtUs, BackEnd.AttemptListener listener) {
        this.server = server;
        this.payload = payload;
        this.timeoutAtUs = timeoutAtUs;
        this.listener = listener;
    }

    static Attempt ofRequest(Server server, Payload payload, long timeoutAtUs, BackEnd.AttemptListener listener) {
        return new Attempt(server, payload, timeoutAtUs, listener);
    }

    static Attempt healthCheck(Server server, BackEnd.AttemptListener listener) {
        return new Attempt(server, null, 0, listener);
    }

    boolean isHealthCheck() {
        return payload == null;
    }

    /** The message to send if it begins now, which states the time that is left from now on. */
    byte[] query(long nowUs) {
        return isHealthCheck() ? HEALTH_CHECK_QUERY : payload.forServer(timeoutAtUs - nowUs);
    }
}
