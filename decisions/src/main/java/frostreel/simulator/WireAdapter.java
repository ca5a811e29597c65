package frostreel.simulator;

import frostreel.routing.ChainRouter;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import frostreel.wire.SettingsReader;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import org.json.JSONException;
import org.json.JSONObject;
import org.json.JSONParserConfiguration;
import org.json.JSONTokener;

/** Translates the bench's wire to and from {@link Router}; one ChainRouter an instance. It decides nothing. */
public final class WireAdapter {
    /** One instance: its module, and the actions it takes while an event is handed in. */
    private static final class Instance implements Router.Actions {
        final String name;
        final StringBuilder out;
        Router router;
        long baseUs;
        boolean reportsRole;
        int classes;

        Instance(String name, StringBuilder out) {
            this.name = name;
            this.out = out;
        }

        private Instance begin(String type) {
            out.append("{\"t\":\"").append(type).append("\",\"i\":");
            return quote(name);
        }

        private Instance quote(String text) {
            out.append(JSONObject.quote(text));
            return this;
        }

        private Instance text(String key, String value) {
            out.append(",\"").append(key).append("\":");
            return quote(value);
        }

        private Instance seconds(String key, long us) {
            out.append(",\"")
                    .append(key)
                    .append("\":")
                    .append(BigDecimal.valueOf(us, 6).toPlainString());
            return this;
        }

        private void end() {
            out.append("}\n");
        }

        @Override
        public void send(String requestId, String memberId, long timeoutUs) {
            begin("PassOn")
                    .text("xid", requestId)
                    .text("member", memberId)
                    .seconds("tryForS", timeoutUs)
                    .end();
        }

        @Override
        public void reject(String requestId, long retryAfterUs) {
            begin("OverloadReply")
                    .text("xid", requestId)
                    .seconds("coolDownS", retryAfterUs)
                    .end();
        }

        @Override
        public void fail(String requestId) {
            begin("Surrender").text("xid", requestId).end();
        }

        @Override
        public void cancel(String requestId, int attempt) {
            begin("StopAttempt").text("xid", requestId);
            out.append(",\"leg\":").append(attempt);
            end();
        }

        @Override
        public void probe(String memberId) {
            begin("HealthCheck").text("member", memberId).end();
        }

        @Override
        public void setTimer(long inUs, String timer) {
            begin("SetTimer").seconds("inS", inUs).text("ctx", timer).end();
        }

        @Override
        public void log(String line) {
            begin("JournalLine").text("bodyText", line).end();
        }

        @Override
        public void subscribe() {
            begin("StreamChanges");
            out.append(",\"active\":true");
            end();
        }
    }

    private static final JSONParserConfiguration STRICT = new JSONParserConfiguration().withStrictMode(true);
    private static final long FAR = MessageFields.MAX_EXACT_INTEGER;
    private final StringBuilder out = new StringBuilder(1 << 16);
    private final Map<String, Instance> instances = new HashMap<>();
    private final Map<Long, List<Router.Member>> lists = new HashMap<>();
    private final BiFunction<Router.Settings, Router.Actions, Router> maker;
    private boolean faulted;

    private WireAdapter(BiFunction<Router.Settings, Router.Actions, Router> maker) {
        this.maker = maker;
    }

    /** Plays batches until the input ends; returns the exit status. */
    public static int run(InputStream in, PrintStream out, PrintStream err) throws IOException {
        return run(in, out, err, ChainRouter::new);
    }

    static int run(
            InputStream in, PrintStream out, PrintStream err, BiFunction<Router.Settings, Router.Actions, Router> maker)
            throws IOException {
        return new WireAdapter(maker).play(new BufferedInputStream(in, 1 << 16), out, err);
    }

    private int play(InputStream in, OutputStream to, PrintStream err) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream(1 << 12);
        long lineNumber = 0;
        long now = 0;
        boolean inBatch = false;
        while (readLine(in, line)) {
            lineNumber++;
            if (line.size() == 0) {
                continue;
            }
            try {
                MessageFields f = decode(line.toByteArray());
                String type = f.text("t");
                if (type.equals("Clock")) {
                    if (inBatch) {
                        throw new MalformedMessageException("field 't': Clock inside a batch");
                    }
                    now = f.micros("timeS");
                    inBatch = true;
                } else if (!inBatch) {
                    throw new MalformedMessageException("field 't': " + type + " outside a batch");
                } else if (type.equals("EofBatch")) {
                    inBatch = false;
                    out.append("{\"t\":\"Ack\"}\n");
                    to.write(out.toString().getBytes(StandardCharsets.UTF_8));
                    to.flush();
                    out.setLength(0);
                    if (faulted) {
                        return 1;
                    }
                } else if (!faulted) {
                    event(type, now, f);
                }
            } catch (MalformedMessageException | JSONException e) {
                String what = e instanceof JSONException ? "not JSON: " + e.getMessage() : e.getMessage();
                err.println("frostreel: line " + lineNumber + ": " + what);
                return 1;
            }
        }
        if (inBatch) {
            err.println("frostreel: line " + (lineNumber + 1)
                    + ": the input ends inside a batch, before a 't' of EofBatch");
            return 1;
        }
        return 0;
    }

    private static boolean readLine(InputStream in, ByteArrayOutputStream line) throws IOException {
        line.reset();
        int c;
        while ((c = in.read()) >= 0) {
            if (c == '\n') {
                return true;
            }
            line.write(c);
        }
        return line.size() > 0;
    }

    private static MessageFields decode(byte[] bytes) throws MalformedMessageException {
        JSONTokener p = new JSONTokener(new String(bytes, StandardCharsets.UTF_8), STRICT);
        Object v = p.nextValue();
        if (!(v instanceof JSONObject o) || p.nextClean() != 0) {
            throw new MalformedMessageException("field 't': the line is not one object");
        }
        return new MessageFields(o.toMap());
    }

    private void event(String type, long now, MessageFields f) throws MalformedMessageException {
        if (type.equals("Register")) {
            register(f);
            return;
        }
        String name = f.text("i");
        Instance to = instances.get(name);
        if (type.equals("Create")) {
            to = new Instance(name, out);
            instances.put(name, to);
        } else if (to == null) {
            throw new MalformedMessageException("field 'i': no instance '" + name + "' was created");
        }
        try {
            hand(type, now, f, to);
        } catch (RuntimeException e) {
            faulted = true;
            String at = "";
            for (StackTraceElement frame : e.getStackTrace()) {
                if (frame.getClassName().startsWith("frostreel.")) {
                    at = " at " + frame;
                    break;
                }
            }
            to.begin("Fault").text("bodyText", type + ": " + e + at).end();
        }
    }

    private void hand(String type, long now, MessageFields f, Instance to) throws MalformedMessageException {
        switch (type) {
            case "Create" -> create(f, to);
            case "Endpoints" -> {
                Router.ListKind kind = new Router.ListKind[] {
                            Router.ListKind.CHANGES,
                            Router.ListKind.FULL,
                            Router.ListKind.CACHED,
                            Router.ListKind.FAILED
                        }
                        [f.oneOf("scope", "incr", "total", "warm_copy", "lost")];
                List<Router.Member> list = List.of();
                if (kind != Router.ListKind.FAILED) {
                    list = lists.get(f.whole("buffer", 0, 15, 0));
                    if (list == null) {
                        throw new MalformedMessageException("field 'buffer': no list was registered under this number");
                    }
                }
                to.router.onMembers(now, kind, list);
            }
            case "Ingress" ->
                to.router.onRequest(
                        now,
                        new Router.Request(
                                f.text("xid"),
                                (int) f.whole("category", 0, to.classes - 1, 0),
                                f.whole("sess", 0, FAR, -1),
                                (int) f.whole("clusterNo", 0, Integer.MAX_VALUE, 0),
                                f.micros("expiresS"),
                                Math.round(f.number("tokenAgeMs", 0) * 1000),
                                (f.whole("attrs", 0, FAR, 0) & 2) != 0));
            case "Answer" -> {
                long mark = f.whole("mark", 0, FAR, 0);
                to.router.onOutcome(
                        now,
                        f.text("xid"),
                        (int) f.whole("leg", 0, 1 << 20, 0),
                        f.text("member"),
                        outcome(f),
                        f.flag("finished"),
                        f.micros("waitTimeS", 0),
                        role(mark & 3),
                        mark >> 2 == 0 ? 0 : to.baseUs + (mark >> 2) * 1000,
                        report(f, to));
            }
            case "StatusBack" ->
                to.router.onProbe(
                        now, f.text("member"), outcome(f) == Outcome.OK, f.micros("waitTimeS", 0), report(f, to));
            case "Fired" -> to.router.onTimer(now, f.text("ctx"));
            case "ClientGone" -> to.router.onClientDisconnected(now, f.text("xid"));
            case "Down" -> instances.remove(to.name);
            case "Accepted", "Datagram" -> {}
            default -> throw new MalformedMessageException("field 't': unknown message " + type);
        }
    }

    private static Router.Role role(long bits) {
        return bits == 1 ? Router.Role.PRIMARY : bits == 2 ? Router.Role.REPLICA : Router.Role.UNKNOWN;
    }

    private static Outcome outcome(MessageFields f) throws MalformedMessageException {
        return switch ((int) f.whole("outcome", 0, 1000, 0)) {
            case 0 -> Outcome.OK;
            case 13 -> Outcome.ERROR;
            case 8 -> Outcome.REJECTED;
            case 4 -> Outcome.TIMEOUT;
            case 14 -> Outcome.CONNECT_FAILED;
            case 10 -> Outcome.RESET;
            case 1 -> Outcome.CANCELLED;
            case 9 -> Outcome.NOT_SENT;
            case 5 -> Outcome.WRONG_ROLE_OR_STALE;
            default -> throw new MalformedMessageException("field 'outcome' is not a known outcome");
        };
    }

    private static Router.Report report(MessageFields f, Instance to) throws MalformedMessageException {
        if (!f.has("healthInfo")) {
            return null;
        }
        MessageFields r = f.object("healthInfo");
        if (r.map().isEmpty()) {
            return null;
        }
        long position = r.has("x0") ? to.baseUs + (long) Math.floor(r.number("x0") * 1e6) : 0;
        Router.Role role = !to.reportsRole
                ? Router.Role.UNKNOWN
                : r.number("x1", 0) == 1 ? Router.Role.PRIMARY : Router.Role.REPLICA;
        return new Router.Report(
                position,
                role,
                r.number("load_share", Double.NaN),
                r.number("depth", Double.NaN),
                r.number("concurrent", Double.NaN));
    }

    @SuppressWarnings("unchecked")
    private void register(MessageFields f) throws MalformedMessageException {
        List<Router.Member> members = new ArrayList<>();
        for (Object o : f.list("membersList")) {
            if (!(o instanceof Map)) {
                throw new MalformedMessageException("field 'membersList' is not a list of objects");
            }
            MessageFields m = new MessageFields((Map<String, Object>) o);
            Router.State state = m.has("status")
                    ? new Router.State[] {Router.State.UP, Router.State.DRAINING, Router.State.GONE}
                            [m.oneOf("status", "U", "L", "D")]
                    : Router.State.UP;
            members.add(new Router.Member(
                    m.text("member"),
                    (int) m.whole("site", 0, 1 << 20, 0),
                    (int) m.whole("hw", 0, 1 << 20, 0),
                    (int) m.whole("set", 0, Integer.MAX_VALUE, 0),
                    m.number("leads", 0) == 1,
                    state,
                    m.number("scale", 1),
                    m.micros("cameUpS", 0)));
        }
        lists.put(f.whole("buffer", 0, 15, 0), List.copyOf(members));
    }

    private void create(MessageFields f, Instance to) throws MalformedMessageException {
        MessageFields options = f.object("options");
        MessageFields info = options.object("familyInfo");
        to.baseUs = info.micros("baseTimeS", 0);
        to.reportsRole = options.has("stats")
                && options.object("stats").has("names")
                && options.object("stats").list("names").contains("x1");
        Router.Settings settings = SettingsReader.read(f.whole("initSeed", -FAR, Long.MAX_VALUE), options);
        to.classes = settings.classes().size();
        to.router = maker.apply(settings, to);
    }
}
