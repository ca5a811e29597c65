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

/**
 * Stand-in for the discovery agent of one pooler's machine: serves the endpoint list over HTTP, in full or as a
 * watch. Used by the event loop's thread alone.
 */
public final class DiscoveryAgent {
    private static final Pattern REQUEST =
            Pattern.compile("GET /discovery/hosts(?:\\?index=(\\d+)&wait=(\\d+))? HTTP/1\\.1\r\n");
    private static final String HEAD_END = "\r\n\r\n";
    /** In place of a request's index: the full list is requested. */
    private static final long NO_INDEX = -1;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final Function<String, String> dialAddress;
    private final Port port;
    /** The endpoint list: each server as last published. */
    private final Map<String, Router.Member> endpoints = new LinkedHashMap<>();
    /** By server: the list's index at its last change. */
    private final Map<String, Long> changedAt = new LinkedHashMap<>();

    private final List<Connection> watches = new ArrayList<>();
    private long index;

    /**
     * Listens, with the cluster's present state as its list.
     *
     * @param dialAddress the address, as text, at which this pooler reaches a server of the given id
     * @param bind where to listen; port 0 takes a free one
     */
    public DiscoveryAgent(
            EventLoop loop,
            Scheduler scheduler,
            Cluster cluster,
            Function<String, String> dialAddress,
            InetSocketAddress bind)
            throws IOException {
        this.loop = loop;
        this.scheduler = scheduler;
        this.dialAddress = dialAddress;
        cluster.all().forEach(server -> endpoints.put(server.id, Cluster.entry(server)));
        port = new Port(loop, bind, Connection::new);
    }

    /** The address at which the agent listens. */
    public InetSocketAddress address() {
        return port.address();
    }

    /** Stops listening; open connections stay. */
    public void close() {
        port.close();
    }

    /** Publishes a change of one server, and answers all pending watches. */
    public void publish(Router.Member member) {
        endpoints.put(member.id(), member);
        changedAt.put(member.id(), ++index);
        for (Connection watch : List.copyOf(watches)) {
            watch.answer(changesSince(watch.knownIndex));
        }
    }

    /** The endpoint list: each server as last published. */
    public List<Router.Member> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /** The full list, in the form in which a pooler's configuration contains it. */
    public JSONObject fullList() {
        return list(
                true,
                endpoints.values().stream()
                        .filter(member -> member.state() != Router.State.GONE)
                        .toList());
    }

    private JSONObject changesSince(long since) {
        return list(
                false,
                endpoints.values().stream()
                        .filter(member -> changedAt.getOrDefault(member.id(), 0L) > since)
                        .toList());
    }

    private JSONObject list(boolean full, List<Router.Member> members) {
        JSONArray hosts = new JSONArray();
        members.forEach(member -> hosts.put(host(member)));
        return new JSONObject().put("seq", index).put("whole", full).put("hosts", hosts);
    }

    private JSONObject host(Router.Member member) {
        return new JSONObject()
                .put("host", member.id())
                .put("dial", dialAddress.apply(member.id()))
                .put("site", "z" + member.zone())
                .put("class", "m")
                .put("block", member.group())
                .put("health", health(member.state()))
                .put("share", 1.0)
                .put("born_ms", member.startedUs() / 1000)
                .put("role", member.primary() ? "primary" : "replica");
    }

    private static String health(Router.State state) {
        return switch (state) {
            case UP -> "Ready";
            case DRAINING -> "Terminating";
            case GONE -> "Gone";
        };
    }

    /** One connection, with at most one request in progress. */
    private final class Connection implements SocketStream.Handler {
        private final SocketStream stream;
        private final StringBuilder head = new StringBuilder();
        /** The index up to which the pooler knows the list. */
        private long knownIndex;
        /** The number of watches begun on this connection, by which the timer of an earlier one is ignored. */
        private long watchesBegun;

        Connection(StreamConnection connection) {
            stream = new SocketStream(loop, connection, this);
            stream.resumeReads();
        }

        @Override
        public void received(ByteBuffer in) {
            head.append(StandardCharsets.US_ASCII.decode(in));
            int end = head.indexOf(HEAD_END);
            if (end < 0) {
                return;
            }
            Matcher request = REQUEST.matcher(head);
            if (!request.lookingAt()) {
                stream.close();
                return;
            }
            boolean watches = request.group(1) != null;
            knownIndex = watches ? Long.parseLong(request.group(1)) : NO_INDEX;
            long waitUs = watches ? Long.parseLong(request.group(2)) * 1000 : 0;
            head.delete(0, end + HEAD_END.length());
            if (knownIndex == NO_INDEX || knownIndex > index) {
                answer(fullList());
            } else if (knownIndex < index) {
                answer(changesSince(knownIndex));
            } else {
                watch(waitUs);
            }
        }

        private void watch(long waitUs) {
            long number = ++watchesBegun;
            watches.add(this);
            scheduler.after(waitUs, () -> {
                if (watchesBegun == number && watches.contains(this)) {
                    answer(changesSince(knownIndex));
                }
            });
        }

        void answer(JSONObject list) {
            watches.remove(this);
            byte[] body = list.toString().getBytes(StandardCharsets.UTF_8);
            String responseHead =
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + HEAD_END;
            stream.write(responseHead.getBytes(StandardCharsets.US_ASCII));
            stream.write(body);
        }

        @Override
        public void ended() {
            watches.remove(this);
        }
    }
}
