package frostreel.lab.standin;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Scheduler;
import frostreel.net.EventLoop;
import frostreel.net.SocketStream;
import frostreel.routing.Router;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.json.JSONArray;
import org.json.JSONObject;
import org.xnio.StreamConnection;

/** The agent of one pooler's machine: the list of servers over HTTP, whole or as a watch. */
public final class Discovery {
    private static final Pattern CALL =
            Pattern.compile("GET /discovery/hosts(?:\\?index=(\\d+)&wait=(\\d+))? HTTP/1\\.1\r\n");
    private final EventLoop loop;
    private final Scheduler scheduler;
    private final Function<String, String> dial;
    private final Port port;
    /** Every server as last told, with the number at which that was. */
    private final Map<String, Router.Member> hosts = new LinkedHashMap<>();

    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private final List<Call> watches = new ArrayList<>();
    private long seq;

    /** {@code dial}: the address, as text, at which this pooler reaches a server. */
    public Discovery(
            EventLoop loop, Scheduler scheduler, Cluster cluster, Function<String, String> dial, InetSocketAddress at)
            throws IOException {
        this.loop = loop;
        this.scheduler = scheduler;
        this.dial = dial;
        cluster.all().forEach(s -> hosts.put(s.id, Cluster.entry(s)));
        port = new Port(loop, at, Call::new);
    }

    public InetSocketAddress address() {
        return port.address();
    }

    public void close() {
        port.close();
    }

    /** The agent hears of a change, and tells whoever watches. */
    public void hears(Router.Member member) {
        hosts.put(member.id(), member);
        changedAt.put(member.id(), ++seq);
        for (Call watch : List.copyOf(watches)) {
            watch.answer(changes(watch.index));
        }
    }

    /** Every server as last told. */
    public List<Router.Member> members() {
        return List.copyOf(hosts.values());
    }

    /** The whole list, as a pooler's configuration has it as known. */
    public JSONObject whole() {
        return list(
                true,
                hosts.values().stream()
                        .filter(m -> m.state() != Router.State.GONE)
                        .toList());
    }

    private JSONObject changes(long since) {
        return list(
                false,
                hosts.values().stream()
                        .filter(m -> changedAt.getOrDefault(m.id(), 0L) > since)
                        .toList());
    }

    private JSONObject list(boolean whole, List<Router.Member> members) {
        JSONArray entries = new JSONArray();
        for (Router.Member m : members) {
            entries.put(new JSONObject()
                    .put("host", m.id())
                    .put("dial", dial.apply(m.id()))
                    .put("site", "z" + m.zone())
                    .put("class", "m")
                    .put("block", m.group())
                    .put(
                            "health",
                            switch (m.state()) {
                                case UP -> "Ready";
                                case DRAINING -> "Terminating";
                                case GONE -> "Gone";
                            })
                    .put("share", 1.0)
                    .put("born_ms", m.startedUs() / 1000)
                    .put("role", m.primary() ? "primary" : "replica"));
        }
        return new JSONObject().put("seq", seq).put("whole", whole).put("hosts", entries);
    }

    /** One connection, with at most one call on it. */
    private final class Call implements SocketStream.Handler {
        private final SocketStream stream;
        private final StringBuilder head = new StringBuilder();
        private long index;
        private long number;

        Call(StreamConnection connection) {
            stream = new SocketStream(loop, connection, this);
            stream.resumeReads();
        }

        @Override
        public void received(ByteBuffer in) {
            head.append(StandardCharsets.US_ASCII.decode(in));
            int end = head.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            Matcher call = CALL.matcher(head);
            if (!call.lookingAt()) {
                stream.close();
                return;
            }
            index = call.group(1) == null ? -1 : Long.parseLong(call.group(1));
            long waitUs = call.group(1) == null ? 0 : Long.parseLong(call.group(2)) * 1000;
            head.delete(0, end + 4);
            if (index < 0 || index > seq) {
                answer(whole());
            } else if (index < seq) {
                answer(changes(index));
            } else {
                long mine = ++number;
                watches.add(this);
                scheduler.after(waitUs, () -> {
                    if (number == mine && watches.contains(this)) {
                        answer(changes(index));
                    }
                });
            }
        }

        void answer(JSONObject list) {
            watches.remove(this);
            byte[] body = list.toString().getBytes(StandardCharsets.UTF_8);
            stream.write(
                    ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            stream.write(body);
        }

        @Override
        public void ended() {
            watches.remove(this);
        }
    }
}
