package frostreel.discovery;

import frostreel.config.EndpointList;
import frostreel.net.EventLoop;
import frostreel.time.Deadlines;
import frostreel.wire.MalformedMessageException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * Long-polls the discovery agent for updates of the endpoint list; each request is sent right after the previous
 * response. The complete list is requested only if there is no current one: it costs the agent a line per server,
 * and when all poolers start at once, such requests queue at the agent until they time out and are retried, while no
 * pooler gets an update. While the agent does not respond, the current list stays in use and connecting is retried
 * with backoff.
 *
 * <p>The platform counts an endpoint list update as delivered 6 s after the agent could first deliver it. In the
 * worst case that time covers a long poll with its timeout, the backoff, another request without a response, and a
 * request with one; the constants are chosen so that all of these fit.
 *
 * <p>An overdue request is not abandoned: a second one is sent on another connection, and whichever response arrives
 * first is used. A slow or overloaded agent responds to the oldest request first, so abandoning it would move this
 * pooler to the end of the agent's queue each time. At most two requests are in flight.
 */
public final class DiscoveryWatch implements AgentConnection.Listener {
    /** Time for which the agent may delay its response while there is no update. */
    static final long LONG_POLL_MS = 2_500;
    /**
     * Time for which the agent may delay the first response, and the first one after a failure. It is as short as
     * possible, so that the response confirms the current list at once, and a missing response is detected early.
     */
    private static final long PROBE_POLL_MS = 1;
    /**
     * Timeout for connecting, and for a response in addition to the time for which the agent may delay it. The agent
     * usually responds at once.
     */
    static final long TIMEOUT_US = 1_500_000;
    /** The version to pass if there is no current list, so that the complete one is requested. */
    public static final long NO_VERSION = ListVersion.NONE;

    private static final String PATH = "/discovery/hosts";
    private static final int HTTP_OK = 200;
    private static final long MICROS_PER_MILLI = 1000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final List<String> zones;
    private final List<String> machineTypes;
    private final Consumer<EndpointList> listener;
    private final DiscoveryStatus status = new DiscoveryStatus();
    private final Backoff backoff = new Backoff();
    private final AgentConnections connections = new AgentConnections();
    private final ListVersion listVersion;
    /** The latest reconnect scheduled after a failure; null before the first failure. */
    private Deadlines.Deadline reconnect;
    /** Whether the first request has been written. */
    private boolean requested;

    private boolean stopped;
    private Runnable onFirstRequest = () -> {};
    private Runnable onFirstList = () -> {};

    /**
     * Creates a watch that is not started.
     *
     * @param zones names of the zones, ordered by index
     * @param machineTypes names of the machine types, ordered by index
     * @param version version of the current endpoint list, {@link #NO_VERSION} for none
     * @param listener receives each complete endpoint list and each update, on the I/O thread
     */
    public DiscoveryWatch(
            EventLoop loop,
            InetSocketAddress address,
            List<String> zones,
            List<String> machineTypes,
            long version,
            Consumer<EndpointList> listener) {
        listVersion = new ListVersion(version);
        this.loop = loop;
        this.address = address;
        this.zones = zones;
        this.machineTypes = machineTypes;
        this.listener = listener;
    }

    /** Sets an action that runs once the first request is written, or now if it has been. */
    public void onFirstRequest(Runnable action) {
        onFirstRequest = action;
        if (requested) {
            action.run();
        }
    }

    /** Sets an action that runs right before the listener receives the first list. */
    public void onFirstList(Runnable action) {
        onFirstList = action;
    }

    /** Starts to watch, or reconnects; does nothing while there is a current connection. */
    public void start() {
        if (stopped || connections.hasCurrent()) {
            return;
        }
        AgentConnection connection = new AgentConnection(loop, address, TIMEOUT_US, this);
        connections.setCurrent(connection);
        connection.begin();
    }

    /** Stops permanently: no request is sent and no list is delivered after this. */
    public void stop() {
        stopped = true;
        loop.deadlines().cancel(reconnect);
        connections.closeAll();
    }

    /** Processes the responses that have already arrived, before the event loop handles other events. */
    public void readNow() {
        connections.readNow();
    }

    @Override
    public void onConnected(AgentConnection connection) {
        poll(connection);
    }

    private void poll(AgentConnection connection) {
        loop.counters().discoveryPolls++;
        boolean first = !requested;
        requested = true;
        if (listVersion.isNone()) {
            connection.request(PATH, listVersion.value(), TIMEOUT_US);
        } else {
            long waitMs = status.isResponding() ? LONG_POLL_MS : PROBE_POLL_MS;
            String query = "?index=" + listVersion.value() + "&wait=" + waitMs;
            connection.request(PATH + query, listVersion.value(), waitMs * MICROS_PER_MILLI + TIMEOUT_US);
        }
        if (first) {
            onFirstRequest.run();
        }
    }

    @Override
    public void onResponse(AgentConnection connection, HttpResponseParser response) {
        EndpointList list;
        try {
            list = parse(response);
        } catch (MalformedResponseException | MalformedMessageException | JSONException e) {
            connections.close(connection);
            retry(e.getMessage());
            return;
        }
        loop.counters().endpointListsReceived++;
        boolean relevant = listVersion.isRelevant(list, connection.fromVersion());
        if (relevant) {
            listVersion.advanceTo(list);
        }
        status.recordResponse(loop.clock().now());
        backoff.reset();
        pollNext(connection, response.keepAlive());
        if (relevant) {
            deliver(list);
        }
    }

    private EndpointList parse(HttpResponseParser response)
            throws MalformedResponseException, MalformedMessageException {
        if (response.status() != HTTP_OK) {
            throw new MalformedResponseException("status " + response.status());
        }
        return EndpointList.read(new JSONObject(response.body()).toMap(), zones, machineTypes);
    }

    private void deliver(EndpointList list) {
        Runnable beforeFirst = onFirstList;
        onFirstList = () -> {};
        beforeFirst.run();
        listener.accept(list);
    }

    /** Sends the next request, on the same connection if it is kept alive. */
    private void pollNext(AgentConnection connection, boolean keepAlive) {
        loop.deadlines().cancel(reconnect);
        connections.keepOnly(connection);
        if (keepAlive) {
            poll(connection);
        } else {
            connections.close(connection);
            start();
        }
    }

    @Override
    public void onOverdue(AgentConnection connection, String reason) {
        if (connections.isCurrent(connection)) {
            connections.moveCurrentToOverdue(loop.clock().now());
            retry(reason);
        }
    }

    @Override
    public void onFailed(AgentConnection connection, String reason) {
        boolean wasOverdue = connections.isOverdue(connection);
        connections.close(connection);
        if (!wasOverdue) {
            retry(reason);
        }
    }

    /** Records the failure and reconnects after the backoff; the current list stays in use. */
    private void retry(String reason) {
        loop.counters().discoveryFailures++;
        status.recordFailure(loop.clock().now(), reason);
        if (stopped || connections.hasCurrent()) {
            return;
        }
        loop.deadlines().cancel(reconnect);
        reconnect = loop.deadlines().after(backoff.nextUs(), this::start);
    }

    /** Returns the discovery fields of {@code SHOW health}. */
    @Override
    public String toString() {
        return status.describe(loop.clock().now(), listVersion.value());
    }
}
