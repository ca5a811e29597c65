package frostreel.discovery;

import frostreel.broker.Deadlines;
import frostreel.config.HostList;
import frostreel.net.Loop;
import frostreel.net.Stream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Logger;
import org.json.JSONException;
import org.json.JSONObject;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import willowfield.Malformed;

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
 */
public final class Watch implements Stream.Handler {
    static final long WAIT_MS = 2_500;
    /**
     * The first call, and the first after a failure, do not wait: the answer tells that the list in hand is
     * what discovery has now, and a silence shows at once.
     */
    private static final long FIRST_WAIT_MS = 1;
    /** How long a call may take beyond its own wait; the agent answers at once. */
    static final long PATIENCE_US = 1_500_000;
    static final long RETRY_LEAST_US = 50_000;
    static final long RETRY_MOST_US = 1_000_000;
    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    private final Loop loop;
    private final InetSocketAddress address;
    private final List<Object> zones;
    private final List<Object> kinds;
    private final Consumer<HostList> listener;
    private Stream stream;
    private IoFuture<StreamConnection> connecting;
    private HttpResponse response = new HttpResponse();
    private Deadlines.Deadline patience;
    private long seq;
    private long retryUs = RETRY_LEAST_US;
    private boolean answered;
    private boolean silent;
    private boolean stopped;
    private Deadlines.Deadline retry;
    private Runnable asked = () -> { };
    private Runnable answering = () -> { };
    private long calls;

    /** {@code seq}: the version of the list in hand, or negative for none: the whole list is asked for. */
    public Watch(Loop loop, InetSocketAddress address, List<Object> zones, List<Object> kinds, long seq,
            Consumer<HostList> listener) {
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

    public void start() {
        patience = loop.deadlines().after(PATIENCE_US, () -> again("no connection in time"));
        IoFuture<StreamConnection> mine = loop.thread().openStreamConnection(address, null,
                OptionMap.create(Options.TCP_NODELAY, true));
        connecting = mine;
        mine.addNotifier(new IoFuture.HandlingNotifier<StreamConnection, Void>() {
            @Override public void handleDone(StreamConnection connection, Void none) {
                if (stopped || connecting != mine) {
                    IoUtils.safeClose(connection); // Given up on while it came up.
                    return;
                }
                stream = new Stream(loop, connection, Watch.this);
                stream.resumeReads();
                call();
            }

            @Override public void handleFailed(IOException e, Void none) {
                again("the connection failed");
            }
        }, null);
    }

    /** Ends the watch for good: no call, no retry and no list comes of it any more. */
    public void stop() {
        stopped = true;
        loop.deadlines().cancel(retry);
        drop();
    }

    /** Takes what discovery has written by now, before anything else that has come is acted upon. */
    public void readNow() {
        if (stream != null) {
            stream.readNow();
        }
    }

    private void call() {
        loop.counters().watches++;
        loop.deadlines().cancel(patience);
        response = new HttpResponse();
        long waitMs = seq < 0 ? 0 : answered ? WAIT_MS : FIRST_WAIT_MS;
        String query = seq < 0 ? "" : "?index=" + seq + "&wait=" + waitMs;
        patience = loop.deadlines().after(PATIENCE_US + waitMs * 1000,
                () -> again("no answer"));
        String host = address.getAddress().getHostAddress() + ":" + address.getPort();
        boolean first = calls++ == 0;
        stream.write(("GET /discovery/hosts" + query + " HTTP/1.1\r\nHost: " + host + "\r\nAccept: "
                + "application/json\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        if (first) {
            asked.run();
        }
    }

    @Override public void received(ByteBuffer in) {
        try {
            response.accept(in);
        } catch (HttpResponse.HttpException e) {
            again(e.getMessage());
            return;
        }
        if (response.complete()) {
            answered();
        }
    }

    private void answered() {
        try {
            if (response.status() != 200) {
                throw new HttpResponse.HttpException("status " + response.status());
            }
            HostList list = HostList.read(new JSONObject(response.body()).toMap(), zones, kinds);
            // Numbers that went back are of another count, and changes since then are not what we lack.
            seq = list.whole() || list.seq() >= seq ? list.seq() : -1;
            loop.counters().lists++;
            answered = true;
            retryUs = RETRY_LEAST_US;
            if (silent) {
                silent = false;
                LOG.info("discovery answers again");
            }
            if (response.keepAlive()) {
                call();
            } else {
                drop();
                start();
            }
            Runnable first = answering;
            answering = () -> { };
            first.run();
            listener.accept(list);
        } catch (HttpResponse.HttpException | Malformed | JSONException e) {
            again(e.getMessage());
        }
    }

    @Override public void ended() {
        if (!stream.wasReset() && response.endsWithConnection()) {
            answered();
        } else {
            again("the connection ended");
        }
    }

    private void drop() {
        loop.deadlines().cancel(patience);
        if (stream != null) {
            stream.close();
            stream = null;
        } else {
            connecting.cancel();
        }
    }

    /** Begins a new watch after a wait that doubles up to its bound; the list in hand stays. */
    private void again(String why) {
        loop.counters().discoveryFailures++;
        if (!silent) {
            silent = true;
            LOG.warning("discovery: " + why + "; the last list is kept");
        }
        answered = false;
        drop();
        retry = loop.deadlines().after(retryUs, this::start);
        retryUs = Math.min(2 * retryUs, RETRY_MOST_US);
    }
}
