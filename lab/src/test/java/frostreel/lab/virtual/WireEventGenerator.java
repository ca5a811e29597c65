package frostreel.lab.virtual;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * The simulator's side of the wire, made up from a seed: servers, clients and faults that answer the actions of the
 * adapter under test. The adapter reads its batches here and writes its replies to {@link #replies()}; each batch is
 * made when the adapter asks for it, from what it has replied so far, so that all runs on one thread. Servers are as
 * simple as they can be and still lead the decisions into every state; no score comes of this.
 */
final class WireEventGenerator extends InputStream {
    private static final long START_US = 1_000_000_000L;
    private static final long CLIENTS_START_US = 100_000;
    private static final long AFTER_LAST_ARRIVAL_US = 9_000_000;
    private static final long MEAN_FAULT_GAP_US = 700_000;
    private static final int LISTS = 16;
    private static final int SESSIONS = 30;
    private static final double LEAST_PATIENCE = 0.4;
    private static final double CLIENT_LEAVES_EARLY = 0.02;
    private static final double CLIENT_RETRIES = 0.5;
    /** The wire's numbers of outcomes. */
    private static final int OK = 0;

    private static final int CANCELLED = 1;
    private static final int TIMEOUT = 4;
    private static final int WRONG_ROLE_OR_STALE = 5;
    private static final int REJECTED = 8;
    private static final int NOT_SENT = 9;
    private static final int RESET = 10;
    private static final int ERROR = 13;
    private static final int CONNECT_FAILED = 14;

    /** Something that happens at a time; equal times keep the order in which they were set. */
    private record Event(long dueUs, long order, Runnable happens) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(dueUs, other.dueUs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** One pooler under its name; a restart makes a new one. */
    private final class Instance {
        final int number;
        final String name;
        boolean down;

        Instance(int number) {
            this.number = number;
            name = "proxy/" + number;
        }

        void receives(JSONObject message) {
            if (!down) {
                batch.append(message.put("i", name)).append('\n');
            }
        }
    }

    private final SplittableRandom random;
    private final JSONObject settings;
    private final JSONArray classes;
    private final JSONArray freshness;
    private final long roundUs;
    private final long baseUs;
    private final long lastArrivalUs;
    private final double arrivalGapUs;
    private final List<GeneratedServer> servers = new ArrayList<>();
    private final Instance[] instances;
    private final Map<String, GeneratedRequest> requests = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final long[] lastCommitUs = new long[SESSIONS];
    private final ByteArrayOutputStream replies = new ByteArrayOutputStream();
    private final ByteArrayOutputStream allReplies = new ByteArrayOutputStream();
    private final Map<String, Integer> actions = new TreeMap<>();
    private final StringBuilder batch = new StringBuilder();
    private byte[] unread = new byte[0];
    private int position;
    private long nowUs = START_US;
    private long eventsSet;
    private long requestsMade;
    private long listsSent;

    /**
     * @param settings of a pooler, as the simulator hands them over
     * @param groups of servers, each of so many {@code members}
     * @param requestsPerSecond that all instances together get
     */
    WireEventGenerator(
            JSONObject settings, int groups, int members, double requestsPerSecond, long durationUs, long seed) {
        this.settings = new JSONObject(settings.toString());
        random = new SplittableRandom(seed);
        classes = settings.getJSONArray("classes");
        freshness = settings.getJSONObject("familyInfo").getJSONArray("freshness");
        roundUs = micros(settings.getDouble("roundS"));
        baseUs = START_US - 5_000_000;
        this.settings.getJSONObject("familyInfo").put("baseTimeS", seconds(baseUs));
        lastArrivalUs = START_US + durationUs;
        arrivalGapUs = 1e6 / requestsPerSecond;
        int zones = settings.getJSONArray("zones").length();
        for (int group = 0; group < groups; group++) {
            for (int member = 0; member < members; member++) {
                servers.add(
                        new GeneratedServer("10.0." + group + "." + member + ":5432", group, member % zones, member));
            }
        }
        instances = new Instance[settings.getInt("instances")];
        for (int i = 0; i < instances.length; i++) {
            int number = i;
            at(START_US, () -> create(number));
        }
        at(START_US + CLIENTS_START_US, this::arrivals);
        at(START_US + CLIENTS_START_US, this::faults);
    }

    /** Where the adapter writes. */
    ByteArrayOutputStream replies() {
        return replies;
    }

    /** All that the adapter wrote, whole batches only. */
    byte[] allReplies() {
        return allReplies.toByteArray();
    }

    /** How many actions of each name the adapter took. */
    Map<String, Integer> actions() {
        return actions;
    }

    // ---- The adapter's input: a batch at a time. ----

    @Override
    public int read() {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] to, int offset, int length) {
        if (position == unread.length) {
            reactToReplies();
            if (events.isEmpty() || nowUs > lastArrivalUs + AFTER_LAST_ARRIVAL_US) {
                return -1;
            }
            unread = nextBatch().getBytes(StandardCharsets.UTF_8);
            position = 0;
        }
        int count = Math.min(length, unread.length - position);
        System.arraycopy(unread, position, to, offset, count);
        position += count;
        return count;
    }

    private String nextBatch() {
        nowUs = Math.max(nowUs + roundUs, events.element().dueUs);
        batch.setLength(0);
        batch.append(new JSONObject().put("t", "Clock").put("timeS", seconds(nowUs)))
                .append('\n');
        while (!events.isEmpty() && events.element().dueUs <= nowUs) {
            events.remove().happens.run();
        }
        return batch.append("{\"t\":\"EofBatch\"}\n").toString();
    }

    private void at(long dueUs, Runnable happens) {
        events.add(new Event(dueUs, eventsSet++, happens));
    }

    private void after(long delayUs, Runnable happens) {
        at(nowUs + delayUs, happens);
    }

    // ---- Poolers and what discovery tells them. ----

    private void create(int number) {
        Instance instance = new Instance(number);
        instances[number] = instance;
        JSONObject options = new JSONObject(settings.toString())
                .put("me", number)
                .put("zone", number % settings.getJSONArray("zones").length());
        instance.receives(
                message("Create").put("initSeed", random.nextLong(1L << 53)).put("options", options));
        tellWhole(instance, "warm_copy");
    }

    private void tellWhole(Instance instance, String scope) {
        tellList(instance, scope, servers.stream().filter(server -> server.up).toList());
    }

    private void tellList(Instance instance, String scope, List<GeneratedServer> listed) {
        long buffer = listsSent++ % LISTS;
        JSONArray entries = new JSONArray();
        listed.forEach(server ->
                entries.put(server.entry(settings.getJSONObject("familyInfo").getString("listRole"))));
        batch.append(message("Register").put("buffer", buffer).put("membersList", entries))
                .append('\n');
        instance.receives(
                message("Endpoints").put("scope", scope).put("seqNo", listsSent).put("buffer", buffer));
    }

    /** Every pooler is told late, each with a delay of its own. */
    private void tellAll(GeneratedServer changed) {
        for (Instance instance : instances) {
            after(50_000 + random.nextLong(900_000), () -> tellList(instance, "incr", List.of(changed)));
        }
    }

    private void restartInstance() {
        Instance instance = instances[random.nextInt(instances.length)];
        if (instance.down) {
            return;
        }
        instance.receives(message("Down"));
        instance.down = true;
        after(2 * roundUs + random.nextLong(800_000), () -> create(instance.number));
    }

    // ---- Clients. ----

    private void arrivals() {
        if (nowUs > lastArrivalUs) {
            return;
        }
        after((long) (-StrictMath.log(1 - random.nextDouble()) * arrivalGapUs), this::arrivals);
        int category = random.nextInt(classes.length());
        submit(instances[random.nextInt(instances.length)], category, random.nextInt(SESSIONS), false);
    }

    private void submit(Instance instance, int category, int session, boolean again) {
        if (instance.down) {
            return;
        }
        JSONObject requestClass = classes.getJSONObject(category);
        String read = freshness.getString(category);
        double patience = LEAST_PATIENCE + (1 - LEAST_PATIENCE) * random.nextDouble();
        long expiresUs = nowUs + micros(requestClass.getDouble("deadlineS") * patience);
        int group = session % (servers.get(servers.size() - 1).group + 1);
        String id = "r-" + Long.toString(++requestsMade, 36);
        GeneratedRequest request = new GeneratedRequest(instance::receives, id, category, group, session, expiresUs);
        requests.put(id, request);
        JSONObject message = message("Ingress")
                .put("xid", id)
                .put("category", category)
                .put("expiresS", seconds(expiresUs))
                .put("clusterNo", group)
                .put("attrs", (again ? 2 : 0) + (read.equals("write") ? 4 : 0));
        if (read.equals("write") || read.equals("session")) {
            message.put("sess", session);
        }
        if (read.equals("session") && lastCommitUs[session] > 0) {
            message.put("tokenAgeMs", (nowUs - lastCommitUs[session]) / 1e3);
        }
        instance.receives(message);
        long staysUs = random.nextDouble() < CLIENT_LEAVES_EARLY
                ? random.nextLong(expiresUs - nowUs)
                : expiresUs - nowUs + 20_000;
        after(staysUs, () -> clientLeaves(request));
    }

    private void clientLeaves(GeneratedRequest request) {
        if (!request.finished) {
            request.finished = true;
            request.pooler.accept(message("ClientGone").put("xid", request.id));
        }
    }

    // ---- What the adapter replied. ----

    private void reactToReplies() {
        allReplies.writeBytes(replies.toByteArray());
        replies.toString(StandardCharsets.UTF_8).lines().forEach(line -> react(new JSONObject(line)));
        replies.reset();
    }

    private void react(JSONObject action) {
        String type = action.getString("t");
        actions.merge(type, 1, Integer::sum);
        if (type.equals("Ack")) {
            return;
        }
        Instance instance = instances[Integer.parseInt(action.getString("i").substring("proxy/".length()))];
        switch (type) {
            case "PassOn" -> send(requests.get(action.getString("xid")), action);
            case "StopAttempt" -> {
                GeneratedRequest.Attempt attempt =
                        requests.get(action.getString("xid")).attempts.get(action.getInt("leg"));
                after(1_000, () -> end(attempt, CANCELLED, 0));
            }
            case "OverloadReply" -> {
                GeneratedRequest request = requests.get(action.getString("xid"));
                request.finished = true;
                if (random.nextDouble() < CLIENT_RETRIES) {
                    long waitUs = 20_000 + micros(action.getDouble("coolDownS"));
                    after(waitUs, () -> submit(instance, request.category, request.session, true));
                }
            }
            case "Surrender" -> requests.get(action.getString("xid")).finished = true;
            case "SetTimer" ->
                after(
                        Math.max(1, micros(action.getDouble("inS"))),
                        () -> instance.receives(message("Fired").put("ctx", action.getString("ctx"))));
            case "HealthCheck" -> check(instance, server(action.getString("member")));
            case "StreamChanges" ->
                after(20_000, () -> {
                    if (random.nextInt(4) == 0) {
                        instance.receives(message("Endpoints").put("scope", "lost"));
                    } else {
                        tellWhole(instance, "total");
                    }
                });
            case "JournalLine" -> {}
            default -> throw new IllegalStateException("unexpected action: " + action);
        }
    }

    private GeneratedServer server(String id) {
        return servers.stream().filter(s -> s.id.equals(id)).findFirst().orElseThrow();
    }

    private void send(GeneratedRequest request, JSONObject action) {
        GeneratedServer server = server(action.getString("member"));
        GeneratedRequest.Attempt attempt = new GeneratedRequest.Attempt(request, server, nowUs);
        request.attempts.add(attempt);
        if (request.finished
                || request.attempts.size() > settings.getJSONObject("caps").getInt("maxAttempts")) {
            after(1, () -> end(attempt, NOT_SENT, 0));
            return;
        }
        long patienceUs = micros(action.getDouble("tryForS"));
        long leftUs = request.expiresUs - nowUs;
        after(Math.max(1, patienceUs > 0 ? Math.min(patienceUs, leftUs) : leftUs), () -> end(attempt, TIMEOUT, 0));
        if (!server.up) {
            long refusedUs =
                    server.silent ? micros(settings.getJSONObject("caps").getDouble("connectTimeoutS")) : 400;
            after(refusedUs, () -> end(attempt, CONNECT_FAILED, 0));
        } else if (server.full()) {
            after(500, () -> end(attempt, REJECTED, 0));
        } else {
            serve(attempt);
        }
    }

    private void serve(GeneratedRequest.Attempt attempt) {
        GeneratedServer server = attempt.server;
        String read = freshness.getString(attempt.request.category);
        boolean write = read.equals("write");
        boolean checked =
                !settings.getJSONObject("familyInfo").getString("serverChecks").equals("silent");
        boolean tooOld = checked && !write && server.positionUs(nowUs) < neededUs(attempt.request, read);
        if (tooOld || (write && !server.primary)) {
            after(600, () -> end(attempt, WRONG_ROLE_OR_STALE, mark(server, false)));
            return;
        }
        double aimUs = classes.getJSONObject(attempt.request.category).getDouble("onTimeS") * 1e6;
        long workUs = server.begins(aimUs / 8, random);
        int life = server.life;
        after(workUs, () -> {
            boolean same = server.life == life && server.up;
            server.ends(same);
            boolean answerLost = server.losesAnswers && random.nextInt(3) == 0;
            boolean fails = random.nextDouble() < server.errorRate || (write && !server.primary);
            if (!same) {
                end(attempt, RESET, 0);
            } else if (!answerLost) { // Where it is lost, the attempt's time-out ends it.
                end(attempt, fails ? ERROR : OK, mark(server, write && !fails));
            }
        });
    }

    private long neededUs(GeneratedRequest request, String read) {
        return switch (read) {
            case "bounded" ->
                nowUs
                        - micros(settings.getJSONObject("familyInfo")
                                .getJSONArray("lagAllowedS")
                                .getDouble(request.category));
            case "session" -> lastCommitUs[request.session];
            case "fresh" -> nowUs - 1_000;
            default -> 0;
        };
    }

    /** Positions are told in milliseconds, rounded down, and commits up. */
    private long mark(GeneratedServer server, boolean commit) {
        boolean told = settings.getJSONObject("familyInfo").getBoolean("positions");
        long positionMs = (server.positionUs(nowUs) - baseUs + (commit ? 999 : 0)) / 1_000;
        return 4 * (commit || told ? positionMs : 0) + (server.primary ? 1 : 2);
    }

    private void end(GeneratedRequest.Attempt attempt, int outcome, long mark) {
        GeneratedRequest request = attempt.request;
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (outcome == OK && !request.finished) {
            request.finished = true;
            if (freshness.getString(request.category).equals("write")) {
                lastCommitUs[request.session] = nowUs;
            }
        }
        JSONObject message = message("Answer")
                .put("xid", request.id)
                .put("leg", attempt.number)
                .put("waitTimeS", seconds(nowUs - attempt.sentUs))
                .put("member", attempt.server.id)
                .put("outcome", outcome);
        if (request.finished) {
            message.put("finished", true);
        }
        if (mark > 0) {
            message.put("mark", mark);
        }
        if (mark > 0 && settings.getJSONObject("stats").getString("how").equals("piggyback")) {
            message.put("healthInfo", report(attempt.server));
        }
        request.pooler.accept(message);
    }

    private void check(Instance instance, GeneratedServer server) {
        long tookUs = server.up ? 900 : 300_000;
        after(tookUs, () -> {
            JSONObject message = message("StatusBack")
                    .put("member", server.id)
                    .put("outcome", server.up ? OK : CONNECT_FAILED)
                    .put("waitTimeS", seconds(tookUs));
            if (server.up && !settings.getJSONObject("stats").getString("how").equals("silent")) {
                message.put("healthInfo", report(server));
            }
            instance.receives(message);
        });
    }

    private JSONObject report(GeneratedServer server) {
        JSONObject report = new JSONObject();
        for (Object name : settings.getJSONObject("stats").getJSONArray("names")) {
            switch ((String) name) {
                case "x0" -> report.put("x0", seconds(server.positionUs(nowUs) - baseUs));
                case "x1" -> report.put("x1", server.primary ? 1 : 0);
                case "load_share" -> report.put("load_share", server.utilisation());
                case "depth" -> report.put("depth", server.queued());
                default -> report.put((String) name, server.inFlight);
            }
        }
        return report;
    }

    // ---- Faults. ----

    private void faults() {
        if (nowUs > lastArrivalUs) {
            return;
        }
        after(random.nextLong(2 * MEAN_FAULT_GAP_US), this::faults);
        GeneratedServer server = servers.get(random.nextInt(servers.size()));
        long lastsUs = 200_000 + random.nextLong(3_000_000);
        switch (random.nextInt(10)) {
            case 0 -> stop(server, false, lastsUs);
            case 1 -> stop(server, true, lastsUs);
            case 2 -> drain(server, lastsUs);
            case 3 ->
                servers.stream().filter(s -> s.primary && s.up).findFirst().ifPresent(s -> stop(s, true, lastsUs));
            case 4 -> during(lastsUs, () -> server.applies(0.1, nowUs), () -> server.catchesUp(nowUs));
            case 5 -> during(lastsUs, () -> server.slowdown = 6, () -> server.slowdown = 1);
            case 6 -> during(lastsUs, () -> server.errorRate = 0.4, () -> server.errorRate = 0);
            case 7 -> during(lastsUs, () -> server.losesAnswers = true, () -> server.losesAnswers = false);
            case 8 -> restartInstance();
            default -> tellWhole(instances[random.nextInt(instances.length)], "total");
        }
    }

    private void during(long lastsUs, Runnable begins, Runnable ends) {
        begins.run();
        after(lastsUs, ends);
    }

    private void stop(GeneratedServer server, boolean silent, long awayUs) {
        if (!server.up) {
            return;
        }
        boolean ledItsGroup = server.primary;
        server.stop(silent, nowUs);
        tellAll(server);
        after(awayUs, () -> {
            server.start(nowUs);
            tellAll(server);
        });
        if (ledItsGroup) {
            after(300_000 + random.nextLong(2_000_000), () -> elect(server.group));
        }
    }

    private void drain(GeneratedServer server, long awayUs) {
        if (server.up && !server.draining) {
            server.draining = true;
            tellAll(server);
            after(1_200_000, () -> {
                server.draining = false;
                stop(server, false, awayUs);
            });
        }
    }

    /** The running replica that has most of the log takes over. */
    private void elect(int group) {
        GeneratedServer best = null;
        for (GeneratedServer server : servers) {
            if (server.group == group && server.primary && server.up) {
                return;
            }
            boolean newer = best == null || server.positionUs(nowUs) > best.positionUs(nowUs);
            best = server.group == group && server.up && newer ? server : best;
        }
        if (best == null) {
            after(500_000, () -> elect(group));
        } else {
            best.primary = true;
            tellAll(best);
        }
    }

    private static JSONObject message(String type) {
        return new JSONObject().put("t", type);
    }

    private static long micros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    private static BigDecimal seconds(long micros) {
        return BigDecimal.valueOf(micros, 6);
    }
}
