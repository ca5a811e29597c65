package frostreel.backend;

import frostreel.pg.Messages;
import frostreel.request.BackEnd;
import frostreel.request.Payload;
import frostreel.time.Deadlines;
import java.nio.charset.StandardCharsets;

/** An attempt of a request, or a health check, that runs on a connection or waits for one. */
final class Attempt {
    private static final byte[] HEALTH_CHECK_QUERY = Messages.query("SHOW load\0".getBytes(StandardCharsets.US_ASCII));

    /** The target server; null if no server is known by the member name that the router chose. */
    final Server server;

    final BackEnd.AttemptListener listener;
    /** The request, null for a health check. */
    private final Payload payload;
    /** Time at which the sender stops waiting for the response; unused for a health check. */
    private final long timeoutAtUs;

    /** Handle of its slot in the pool's table of attempts. */
    long handle;
    /** The connection on which it runs, null while it waits for one. */
    ServerConnection connection;
    /** Timeout of a health check; null for an attempt of a request, whose timeout is kept by its sender. */
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

    /** The query message to send at this time; that of a request carries the time that remains until its timeout. */
    byte[] query(long nowUs) {
        return isHealthCheck() ? HEALTH_CHECK_QUERY : payload.forServer(timeoutAtUs - nowUs);
    }
}
