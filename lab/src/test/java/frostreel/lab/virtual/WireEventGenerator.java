package frostreel.lab.virtual;

import static frostreel.lab.virtual.WireFormat.message;
import static frostreel.lab.virtual.WireFormat.micros;
import static frostreel.lab.virtual.WireFormat.seconds;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.json.JSONObject;

/**
 * The simulator's side of the wire, generated from a seed: servers, clients and faults that answer the actions of
 * the adapter under test. The adapter reads its batches from this stream and writes its replies to
 * {@link #replies()}; each batch is generated when the adapter asks for it, from the replies so far, so that all
 * runs on one thread. The servers are as simple as possible while still leading the decisions into every state; no
 * score is computed.
 */
final class WireEventGenerator extends InputStream {
    private static final long AFTER_LAST_ARRIVAL_US = 9_000_000;

    private final GeneratedDeployment deployment;
    private final GeneratedTimeline timeline;
    private final GeneratedPoolers poolers;
    private final GeneratedClients clients;
    private final GeneratedBackEnd backEnd;
    private final StringBuilder batch = new StringBuilder();
    private final ByteArrayOutputStream replies = new ByteArrayOutputStream();
    private final ByteArrayOutputStream allReplies = new ByteArrayOutputStream();
    private final Map<String, Integer> actions = new TreeMap<>();
    private byte[] unread = new byte[0];
    private int position;

    /**
     * A generator before its first batch.
     *
     * @param settings of a pooler, as the simulator hands them over
     * @param members of each group of servers
     * @param requestsPerSecond at all poolers together
     * @param durationUs for how long clients send requests
     */
    WireEventGenerator(
            JSONObject settings, int groups, int members, double requestsPerSecond, long durationUs, long seed) {
        deployment = new GeneratedDeployment(settings, groups, members, durationUs, seed);
        timeline = deployment.timeline;
        // Each schedules its first events: their order is part of what a seed determines.
        poolers = new GeneratedPoolers(deployment, batch);
        clients = new GeneratedClients(deployment, poolers, requestsPerSecond);
        new GeneratedFaults(deployment, poolers).begin();
        backEnd = new GeneratedBackEnd(deployment, clients);
    }

    /** Where the adapter writes. */
    ByteArrayOutputStream replies() {
        return replies;
    }

    /** All that the adapter wrote, whole batches only. */
    byte[] allReplies() {
        return allReplies.toByteArray();
    }

    /** The number of actions that the adapter took, by name. */
    Map<String, Integer> actions() {
        return actions;
    }

    @Override
    public int read() {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] to, int offset, int length) {
        if (position == unread.length) {
            reactToReplies();
            if (timeline.isEmpty() || timeline.nowUs() > deployment.lastArrivalUs + AFTER_LAST_ARRIVAL_US) {
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
        timeline.advance(deployment.roundUs());
        batch.setLength(0);
        batch.append(message("Clock").put("timeS", seconds(timeline.nowUs()))).append('\n');
        timeline.runDue();
        return batch.append("{\"t\":\"EofBatch\"}\n").toString();
    }

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
        GeneratedPooler pooler = poolers.byName(action.getString("i"));
        switch (type) {
            case "PassOn" -> backEnd.send(request(action), server(action), micros(action.getDouble("tryForS")));
            case "StopAttempt" -> backEnd.cancel(request(action).attempts.get(action.getInt("leg")));
            case "OverloadReply" -> clients.onRejected(pooler, request(action), action.getDouble("coolDownS"));
            case "Surrender" -> clients.onFailed(request(action));
            case "SetTimer" -> setTimer(pooler, micros(action.getDouble("inS")), action.getString("ctx"));
            case "HealthCheck" -> backEnd.checkHealth(pooler, server(action));
            case "StreamChanges" -> poolers.answerSubscription(pooler);
            case "JournalLine" -> {}
            default -> throw new IllegalStateException("unexpected action: " + action);
        }
    }

    private GeneratedRequest request(JSONObject action) {
        return clients.request(action.getString("xid"));
    }

    private GeneratedServer server(JSONObject action) {
        return deployment.server(action.getString("member"));
    }

    private void setTimer(GeneratedPooler pooler, long inUs, String context) {
        timeline.after(Math.max(1, inUs), () -> pooler.receive(message("Fired").put("ctx", context)));
    }
}
