package frostreel.lab.virtual;

import static frostreel.lab.virtual.WireFormat.message;
import static frostreel.lab.virtual.WireFormat.micros;
import static frostreel.lab.virtual.WireFormat.seconds;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.json.JSONObject;

/** The clients of a {@link WireEventGenerator}: their requests, retries and disconnects. */
final class GeneratedClients {
    private static final long START_US = GeneratedDeployment.START_US + 100_000;
    private static final int SESSIONS = 30;
    private static final double MIN_PATIENCE = 0.4;
    private static final double EARLY_DISCONNECT_SHARE = 0.02;
    private static final double RETRY_SHARE = 0.5;

    private final GeneratedDeployment deployment;
    private final SplittableRandom random;
    private final GeneratedTimeline timeline;
    private final GeneratedPoolers poolers;
    private final double meanGapUs;
    private final Map<String, GeneratedRequest> requests = new HashMap<>();
    /** By session: when its last write was answered, 0 for never. */
    private final long[] lastCommitUs = new long[SESSIONS];

    private long requestsMade;

    /** Schedules the first request; {@code requestsPerSecond}: at all poolers together. */
    GeneratedClients(GeneratedDeployment deployment, GeneratedPoolers poolers, double requestsPerSecond) {
        this.deployment = deployment;
        this.poolers = poolers;
        random = deployment.random;
        timeline = deployment.timeline;
        meanGapUs = 1e6 / requestsPerSecond;
        timeline.at(START_US, this::arrive);
    }

    private void arrive() {
        if (!deployment.isActive()) {
            return;
        }
        timeline.after((long) (-StrictMath.log(1 - random.nextDouble()) * meanGapUs), this::arrive);
        int category = random.nextInt(deployment.classes().length());
        submit(poolers.drawOne(), category, random.nextInt(SESSIONS), false);
    }

    private void submit(GeneratedPooler pooler, int category, int session, boolean isRetry) {
        if (pooler.isDown()) {
            return;
        }
        double deadlineS = deployment.classes().getJSONObject(category).getDouble("deadlineS");
        double patience = MIN_PATIENCE + (1 - MIN_PATIENCE) * random.nextDouble();
        long expiresUs = timeline.nowUs() + micros(deadlineS * patience);
        String id = "r-" + Long.toString(++requestsMade, 36);
        GeneratedRequest request =
                new GeneratedRequest(pooler::receive, id, category, session % deployment.groups(), session, expiresUs);
        requests.put(id, request);
        pooler.receive(ingress(request, isRetry));
        scheduleDisconnect(request);
    }

    private JSONObject ingress(GeneratedRequest request, boolean isRetry) {
        String access = deployment.access(request.category);
        boolean write = access.equals("write");
        JSONObject message = message("Ingress")
                .put("xid", request.id)
                .put("category", request.category)
                .put("expiresS", seconds(request.expiresUs))
                .put("clusterNo", request.group)
                .put("attrs", (isRetry ? 2 : 0) + (write ? 4 : 0));
        if (write || access.equals("session")) {
            message.put("sess", request.session);
        }
        if (access.equals("session") && lastCommitUs[request.session] > 0) {
            message.put("tokenAgeMs", (timeline.nowUs() - lastCommitUs[request.session]) / 1e3);
        }
        return message;
    }

    private void scheduleDisconnect(GeneratedRequest request) {
        long leftUs = request.expiresUs - timeline.nowUs();
        long staysUs = random.nextDouble() < EARLY_DISCONNECT_SHARE ? random.nextLong(leftUs) : leftUs + 20_000;
        timeline.after(staysUs, () -> disconnect(request));
    }

    private void disconnect(GeneratedRequest request) {
        if (!request.finished) {
            request.finished = true;
            request.pooler.accept(message("ClientGone").put("xid", request.id));
        }
    }

    GeneratedRequest request(String id) {
        return requests.get(id);
    }

    /** A request was rejected; some clients send it again after the time that the pooler asked for. */
    void onRejected(GeneratedPooler pooler, GeneratedRequest request, double retryAfterS) {
        request.finished = true;
        if (random.nextDouble() < RETRY_SHARE) {
            long waitUs = 20_000 + micros(retryAfterS);
            timeline.after(waitUs, () -> submit(pooler, request.category, request.session, true));
        }
    }

    void onFailed(GeneratedRequest request) {
        request.finished = true;
    }

    /** A request was served, unless it had ended before. */
    void onServed(GeneratedRequest request) {
        if (request.finished) {
            return;
        }
        request.finished = true;
        if (deployment.access(request.category).equals("write")) {
            lastCommitUs[request.session] = timeline.nowUs();
        }
    }

    /** When the session of a request last had a write answered, 0 for never. */
    long lastCommitUs(GeneratedRequest request) {
        return lastCommitUs[request.session];
    }
}
