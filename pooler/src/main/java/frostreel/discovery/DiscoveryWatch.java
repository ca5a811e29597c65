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
public final class DiscoveryWatch implements AgentConnection.Owner {
    static final long WAIT_MS = 2_500;
    /**
     * The first call, and the first after a failure, do not wait: the answer tells that the list in hand is
     * what discovery has now, and a silence shows at once.
     */
    private static final long FIRST_WAIT_MS = 1;
    /** How long a call may take beyond its own wait before it is late; the agent answers at once. */
    static final long PATIENCE_US = 1_500_000;

    static final long RETRY_LEAST_US = 50_000;
    static final long RETRY_MOST_US = 1_000_000;
    /** A late call is given up once nothing came of it for so long, or it took so long in all. */
    static final long LATE_SILENT_US = 15_000_000;

    static final long LATE_MOST_US = 60_000_000;
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private final EventLoop loop;
    private final InetSocketAddress address;
    private final List<Object> zones;
    private final List<Object> kinds;
    private final Consumer<EndpointList> listener;
    /** The call in hand, or the connection that comes up for it; null between two. */
    private AgentConnection current;
    /** A call that is late, and may still be answered; null for none. */
    private AgentConnection late;

    private long seq;
    private long retryUs = RETRY_LEAST_US;
    private boolean answered;
    /** Since when nothing was heard, 0 where the last call was answered. */
    private long silentSinceUs;

    private long answeredUs;
    private boolean stopped;
    private Deadlines.Deadline retry;
    private Runnable asked = () -> {};
    private Runnable answering = () -> {};
    private long calls;

    /** {@code seq}: the version of the list in hand, or negative for none: the whole list is asked for. */
    public DiscoveryWatch(
            EventLoop loop,
            InetSocketAddress address,
            List<Object> zones,
            List<Object> kinds,
            long seq,
            Consumer<EndpointList> listener) {
        this.seq = seq;
        this.loop = loop;
        this.address = address;
        this.zones = zones;
        this.kinds = kinds;
        this.listener = listener;
    }

    /** What runs once the first call is written; at once where that has been. */
    public void onAsked(Runnable then) {
        asked = then;
        if (calls > 0) {
            then.run();
        }
    }

    /** What runs before the first list is handed on. */
    public void onAnswer(Runnable then) {
        answering = then;
    }

    /** Begins to watch, or tries again. */
    public void start() {
        if (stopped || current != null) {
            return;
        }
        current = new AgentConnection(loop, address, PATIENCE_US, this);
        current.begin();
    }

    /** Ends the watch for good: no call, no retry and no list comes of it any more. */
    public void stop() {
        stopped = true;
        loop.deadlines().cancel(retry);
        drop(current);
        drop(late);
    }

    private void drop(AgentConnection c) {
        if (c != null) {
            c.close();
        }
        current = c == current ? null : current;
        late = c == late ? null : late;
    }

    /** Takes what discovery has written by now, before anything else that has come is acted upon. */
    public void readNow() {
        AgentConnection second = late;
        if (current != null) {
            current.readNow();
        }
        if (second != null) {
            second.readNow();
        }
    }

    @Override
    public void connected(AgentConnection on) {
        call(on);
    }

    private void call(AgentConnection on) {
        loop.counters().watches++;
        long waitMs = seq < 0 ? 0 : answered ? WAIT_MS : FIRST_WAIT_MS;
        String query = seq < 0 ? "" : "?index=" + seq + "&wait=" + waitMs;
        boolean first = calls++ == 0;
        on.call("/discovery/hosts" + query, seq, PATIENCE_US + waitMs * 1000);
        if (first) {
            asked.run();
        }
    }

    @Override
    public void responded(AgentConnection on, HttpResponse response) {
        EndpointList list;
        try {
            if (response.status() != 200) {
                throw new HttpResponse.HttpException("status " + response.status());
            }
            list = EndpointList.read(new JSONObject(response.body()).toMap(), zones, kinds);
        } catch (HttpResponse.HttpException | MalformedMessageException | JSONException e) {
            drop(on);
            again(e.getMessage());
            return;
        }
        loop.counters().lists++;
        boolean news = isNews(on.index(), list);
        if (news) {
            // Numbers that went back are of another count, and changes since then are not what we lack.
            seq = list.whole() || list.seq() >= seq ? list.seq() : -1;
        }
        heard();
        goOn(on, response.keepAlive());
        if (news) {
            Runnable first = answering;
            answering = () -> {};
            first.run();
            listener.accept(list);
        }
    }

    /** Whether it adds to what is in hand; the answer to a late call may be older than that. */
    private boolean isNews(long index, EndpointList list) {
        return index == seq || list.seq() >= seq;
    }

    private void heard() {
        answered = true;
        answeredUs = loop.clock().now();
        retryUs = RETRY_LEAST_US;
        if (silentSinceUs != 0) {
            LOG.info("discovery answers again, after " + (answeredUs - silentSinceUs) / 1000 + " ms");
            silentSinceUs = 0;
        }
    }

    /** The connection that was answered is the one to go on with; another call is of no more use. */
    private void goOn(AgentConnection on, boolean keepAlive) {
        loop.deadlines().cancel(retry);
        AgentConnection other = on == current ? late : current;
        drop(other);
        late = null;
        current = on;
        if (keepAlive) {
            call(on);
        } else {
            drop(on);
            start();
        }
    }

    @Override
    public void late(AgentConnection on, String why) {
        if (on != current) {
            return;
        }
        current = null;
        if (late != null && outlived(late)) {
            drop(late);
        }
        if (late == null) {
            late = on; // It may yet be answered.
        } else {
            on.close(); // The older one is nearer to its answer.
        }
        again(why);
    }

    private boolean outlived(AgentConnection c) {
        long now = loop.clock().now();
        return now - c.heardUs() > LATE_SILENT_US || now - c.calledUs() > LATE_MOST_US;
    }

    @Override
    public void failed(AgentConnection on, String why) {
        boolean wasLate = on == late;
        drop(on);
        if (!wasLate) {
            again(why);
        }
    }

    /** Begins a new watch after a wait that doubles up to its bound; the list in hand stays. */
    private void again(String why) {
        loop.counters().discoveryFailures++;
        if (silentSinceUs == 0) {
            silentSinceUs = loop.clock().now();
            LOG.warning("discovery: " + why + "; the last list is kept");
        }
        answered = false;
        if (stopped || current != null) {
            return;
        }
        loop.deadlines().cancel(retry);
        retry = loop.deadlines().after(retryUs, this::start);
        retryUs = Math.min(2 * retryUs, RETRY_MOST_US);
    }

    /** What on-call staff see: how long ago an answer came, and since when none does. */
    @Override
    public String toString() {
        long now = loop.clock().now();
        return "discovery=" + (silentSinceUs != 0 ? "silent" : answeredUs == 0 ? "asked" : "answering")
                + " discovery_version=" + seq
                + " discovery_answered_ms_ago=" + (answeredUs == 0 ? -1 : (now - answeredUs) / 1000)
                + " discovery_silent_ms=" + (silentSinceUs == 0 ? 0 : (now - silentSinceUs) / 1000);
    }
}
