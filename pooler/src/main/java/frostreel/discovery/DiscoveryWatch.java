package frostreel.discovery;

import frostreel.broker.Deadlines;
import frostreel.config.EndpointList;
import frostreel.net.EventLoop;
import frostreel.wire.MalformedMessageException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Logger;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * Owns the watch on discovery: changes since the list in hand, each call made right after the last answer;
 * the whole list only where there is none in hand. A whole list costs discovery as many lines as there are
 * servers: when all poolers start at once and each asks for one, the calls wait in line until they fail, are
 * made again, and nobody hears of a change. While discovery is silent the list in hand stays, and the watch
 * is begun again after a bounded wait.
 *
 * <p>One bound on every silence: what changed counts as told to us 6 s after discovery could have told it. A
 * call that waits, its patience, the pause before the next connection, one more call that stays unanswered
 * and one that is answered at once fit into that, whatever went before.
 *
 * <p>A call that is late is not given up: a second one is made beside it on another connection, and the
 * first answer of the two counts. A discovery that is slow or crowded answers the call that has waited
 * longest first; to drop that one would put this pooler at the end of the line again, each time. There are
 * never more than two calls out.
 */
public final class DiscoveryWatch implements AgentConnection.Listener {
    static final long LONG_POLL_MS = 2_500;
    /**
     * The first call, and the first after a failure, do not wait: the answer tells that the list in hand is
     * what discovery has now, and a silence shows at once.
     */
    private static final long PROBE_POLL_MS = 1;
    /** How long a call may take beyond its own wait before it is late; the agent answers at once. */
    static final long TIMEOUT_US = 1_500_000;

    static final long MIN_BACKOFF_US = 50_000;
    static final long MAX_BACKOFF_US = 1_000_000;
    /** A late call is given up once nothing came of it for so long, or it took so long in all. */
    static final long OVERDUE_SILENCE_US = 15_000_000;

    static final long MAX_OVERDUE_US = 60_000_000;
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final List<Object> zones;
    private final List<Object> machineTypes;
    private final Consumer<EndpointList> listener;
    /** The call in hand, or the connection that comes up for it; null between two. */
    private AgentConnection current;
    /** A call that is late, and may still be answered; null for none. */
    private AgentConnection overdue;

    private long version;
    private long backoffUs = MIN_BACKOFF_US;
    private boolean answering;
    /** Since when nothing was heard, 0 where the last call was answered. */
    private long silentSinceUs;

    private long lastAnsweredUs;
    private boolean stopped;
    private Deadlines.Deadline reconnect;
    private Runnable onFirstRequest = () -> {};
    private Runnable onFirstList = () -> {};
    private long calls;

    /** {@code version}: the version of the list in hand, or negative for none: the whole list is asked for. */
    public DiscoveryWatch(
            EventLoop loop,
            InetSocketAddress address,
            List<Object> zones,
            List<Object> machineTypes,
            long version,
            Consumer<EndpointList> listener) {
        this.version = version;
        this.loop = loop;
        this.address = address;
        this.zones = zones;
        this.machineTypes = machineTypes;
        this.listener = listener;
    }

    /** What runs once the first call is written; at once where that has been. */
    public void onFirstRequest(Runnable action) {
        onFirstRequest = action;
        if (calls > 0) {
            action.run();
        }
    }

    /** What runs before the first list is handed on. */
    public void onFirstList(Runnable action) {
        onFirstList = action;
    }

    /** Begins to watch, or tries again. */
    public void start() {
        if (stopped || current != null) {
            return;
        }
        current = new AgentConnection(loop, address, TIMEOUT_US, this);
        current.begin();
    }

    /** Ends the watch for good: no call, no retry and no list comes of it any more. */
    public void stop() {
        stopped = true;
        loop.deadlines().cancel(reconnect);
        close(current);
        close(overdue);
    }

    private void close(AgentConnection connection) {
        if (connection != null) {
            connection.close();
        }
        current = connection == current ? null : current;
        overdue = connection == overdue ? null : overdue;
    }

    /** Takes what discovery has written by now, before anything else that has come is acted upon. */
    public void readNow() {
        AgentConnection second = overdue;
        if (current != null) {
            current.readNow();
        }
        if (second != null) {
            second.readNow();
        }
    }

    @Override
    public void onConnected(AgentConnection connection) {
        poll(connection);
    }

    private void poll(AgentConnection connection) {
        loop.counters().watches++;
        long waitMs = version < 0 ? 0 : answering ? LONG_POLL_MS : PROBE_POLL_MS;
        String query = version < 0 ? "" : "?index=" + version + "&wait=" + waitMs;
        boolean first = calls++ == 0;
        connection.request("/discovery/hosts" + query, version, TIMEOUT_US + waitMs * 1000);
        if (first) {
            onFirstRequest.run();
        }
    }

    @Override
    public void onResponse(AgentConnection connection, HttpResponseParser response) {
        EndpointList list;
        try {
            if (response.status() != 200) {
                throw new HttpResponseParser.HttpException("status " + response.status());
            }
            list = EndpointList.read(new JSONObject(response.body()).toMap(), zones, machineTypes);
        } catch (HttpResponseParser.HttpException | MalformedMessageException | JSONException e) {
            close(connection);
            retry(e.getMessage());
            return;
        }
        loop.counters().lists++;
        boolean relevant = isRelevant(connection.fromVersion(), list);
        if (relevant) {
            // Numbers that went back are of another count, and changes since then are not what we lack.
            version = list.complete() || list.version() >= version ? list.version() : -1;
        }
        recordAnswer();
        continueOn(connection, response.keepAlive());
        if (relevant) {
            Runnable first = onFirstList;
            onFirstList = () -> {};
            first.run();
            listener.accept(list);
        }
    }

    /** Whether it adds to what is in hand; the answer to a late call may be older than that. */
    private boolean isRelevant(long fromVersion, EndpointList list) {
        return fromVersion == version || list.version() >= version;
    }

    private void recordAnswer() {
        answering = true;
        lastAnsweredUs = loop.clock().now();
        backoffUs = MIN_BACKOFF_US;
        if (silentSinceUs != 0) {
            LOG.info("discovery answers again, after " + (lastAnsweredUs - silentSinceUs) / 1000 + " ms");
            silentSinceUs = 0;
        }
    }

    /** The connection that was answered is the one to go on with; another call is of no more use. */
    private void continueOn(AgentConnection connection, boolean keepAlive) {
        loop.deadlines().cancel(reconnect);
        AgentConnection other = connection == current ? overdue : current;
        close(other);
        overdue = null;
        current = connection;
        if (keepAlive) {
            poll(connection);
        } else {
            close(connection);
            start();
        }
    }

    @Override
    public void onOverdue(AgentConnection connection, String reason) {
        if (connection != current) {
            return;
        }
        current = null;
        if (overdue != null && hasExpired(overdue)) {
            close(overdue);
        }
        if (overdue == null) {
            overdue = connection; // It may yet be answered.
        } else {
            connection.close(); // The older one is nearer to its answer.
        }
        retry(reason);
    }

    private boolean hasExpired(AgentConnection connection) {
        long nowUs = loop.clock().now();
        return nowUs - connection.lastReceivedUs() > OVERDUE_SILENCE_US || nowUs - connection.requestedUs() > MAX_OVERDUE_US;
    }

    @Override
    public void onFailed(AgentConnection connection, String reason) {
        boolean wasOverdue = connection == overdue;
        close(connection);
        if (!wasOverdue) {
            retry(reason);
        }
    }

    /** Begins a new watch after a wait that doubles up to its bound; the list in hand stays. */
    private void retry(String reason) {
        loop.counters().discoveryFailures++;
        if (silentSinceUs == 0) {
            silentSinceUs = loop.clock().now();
            LOG.warning("discovery: " + reason + "; the last list is kept");
        }
        answering = false;
        if (stopped || current != null) {
            return;
        }
        loop.deadlines().cancel(reconnect);
        reconnect = loop.deadlines().after(backoffUs, this::start);
        backoffUs = Math.min(2 * backoffUs, MAX_BACKOFF_US);
    }

    /** What on-call staff see: how long ago an answer came, and since when none does. */
    @Override
    public String toString() {
        long nowUs = loop.clock().now();
        return "discovery=" + (silentSinceUs != 0 ? "silent" : lastAnsweredUs == 0 ? "asked" : "answering")
                + " discovery_version=" + version
                + " discovery_answered_ms_ago=" + (lastAnsweredUs == 0 ? -1 : (nowUs - lastAnsweredUs) / 1000)
                + " discovery_silent_ms=" + (silentSinceUs == 0 ? 0 : (nowUs - silentSinceUs) / 1000);
    }
}
