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
 * Long-polls the discovery agent for changes of the endpoint list, each request sent right after the last
 * response. The complete list is requested only where none is held: it costs the agent a line for each
 * server, and when all poolers start at once such requests queue at the agent until they time out and are
 * retried, while no pooler learns of any change. While the agent does not answer, the list held stays in use
 * and connecting is retried with backoff.
 *
 * <p>The platform counts a change as delivered 6 s after the agent could first deliver it. The constants fit
 * into that whatever happened before: one long poll with its timeout, the backoff, one more unanswered request
 * and an answered one.
 *
 * <p>An overdue request is not abandoned: a second one is sent on another connection, and the first response
 * of the two is used. A slow or overloaded agent answers the oldest request first, so that abandoning it would
 * send this pooler to the end of the agent's queue each time. At most two requests are in flight.
 */
public final class DiscoveryWatch implements AgentConnection.Listener {
    /** How long the agent may hold a request back while there is no change. */
    static final long LONG_POLL_MS = 2_500;
    /**
     * How long the agent may hold back the first request, and the first after a failure. It is as short as
     * possible, so that the response confirms the list held, and a missing response is noticed, at once.
     */
    private static final long PROBE_POLL_MS = 1;
    /**
     * A response is overdue after this time beyond that for which the agent may hold the request back. The
     * agent usually answers at once.
     */
    static final long TIMEOUT_US = 1_500_000;
    /** The version of a watch that holds no list; the complete one is requested. */
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
    /** The pending reconnect after a failure; null before the first one. */
    private Deadlines.Deadline reconnect;
    /** Whether the first request was written. */
    private boolean requested;

    private boolean stopped;
    private Runnable onFirstRequest = () -> {};
    private Runnable onFirstList = () -> {};

    /**
     * A watch that has not begun.
     *
     * @param zones names of the zones, in the order of their numbers
     * @param machineTypes names of the machine types, in the order of their numbers
     * @param version of the list held, {@link #NO_VERSION} for none
     * @param listener receives each list, complete or of changes, on the I/O thread
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

    /** Sets what runs once the first request is written; at once if it has been. */
    public void onFirstRequest(Runnable action) {
        onFirstRequest = action;
        if (requested) {
            action.run();
        }
    }

    /** Sets what runs right before the listener receives the first list. */
    public void onFirstList(Runnable action) {
        onFirstList = action;
    }

    /** Begins to watch, or reconnects; without effect while a connection is current. */
    public void start() {
        if (stopped || connections.hasCurrent()) {
            return;
        }
        AgentConnection connection = new AgentConnection(loop, address, TIMEOUT_US, this);
        connections.setCurrent(connection);
        connection.begin();
    }

    /** Stops for good: no request, retry or list follows. */
    public void stop() {
        stopped = true;
        loop.deadlines().cancel(reconnect);
        connections.closeAll();
    }

    /** Processes what the agent has sent by now, before the loop acts on other events. */
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

    /** Sends the next request, on the connection that was answered if it can carry one. */
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

    /** Reconnects after the backoff; the list held stays in use. */
    private void retry(String reason) {
        loop.counters().discoveryFailures++;
        status.recordFailure(loop.clock().now(), reason);
        if (stopped || connections.hasCurrent()) {
            return;
        }
        loop.deadlines().cancel(reconnect);
        reconnect = loop.deadlines().after(backoff.nextUs(), this::start);
    }

    /** The fields of {@code SHOW health} on discovery. */
    @Override
    public String toString() {
        return status.describe(loop.clock().now(), listVersion.value());
    }
}
