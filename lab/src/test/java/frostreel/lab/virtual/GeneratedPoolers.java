package frostreel.lab.virtual;

import static frostreel.lab.virtual.WireFormat.message;

import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;

/** The poolers under test, and the endpoint lists that they receive. */
final class GeneratedPoolers {
    private static final int LIST_BUFFERS = 16;

    private final GeneratedDeployment deployment;
    private final StringBuilder batch;
    /** By number: the present incarnation. */
    private final GeneratedPooler[] poolers;

    private long listsSent;

    /** Schedules the start of all poolers; {@code batch} takes the messages to them. */
    GeneratedPoolers(GeneratedDeployment deployment, StringBuilder batch) {
        this.deployment = deployment;
        this.batch = batch;
        poolers = new GeneratedPooler[deployment.poolers()];
        for (int i = 0; i < poolers.length; i++) {
            int number = i;
            deployment.timeline.at(GeneratedDeployment.START_US, () -> create(number));
        }
    }

    GeneratedPooler drawOne() {
        return poolers[deployment.random.nextInt(poolers.length)];
    }

    /** The pooler of a name in an action. */
    GeneratedPooler byName(String name) {
        return poolers[Integer.parseInt(name.substring("proxy/".length()))];
    }

    private void create(int number) {
        GeneratedPooler pooler = new GeneratedPooler(number, batch);
        poolers[number] = pooler;
        JSONObject options = deployment.settings().put("me", number).put("zone", number % deployment.zones());
        pooler.receive(message("Create")
                .put("initSeed", deployment.random.nextLong(1L << 53))
                .put("options", options));
        sendFullList(pooler, "warm_copy");
    }

    void sendFullList(GeneratedPooler pooler, String scope) {
        sendList(
                pooler,
                scope,
                deployment.servers.stream().filter(server -> server.up).toList());
    }

    private void sendList(GeneratedPooler pooler, String scope, List<GeneratedServer> listed) {
        long buffer = listsSent++ % LIST_BUFFERS;
        JSONArray entries = new JSONArray();
        String listRole = deployment.familyInfo().getString("listRole");
        listed.forEach(server -> entries.put(server.entry(listRole)));
        batch.append(message("Register").put("buffer", buffer).put("membersList", entries))
                .append('\n');
        pooler.receive(
                message("Endpoints").put("scope", scope).put("seqNo", listsSent).put("buffer", buffer));
    }

    /** Publishes a server's change to each pooler, with a delay of its own. */
    void publish(GeneratedServer changed) {
        for (GeneratedPooler pooler : poolers) {
            long delayUs = 50_000 + deployment.random.nextLong(900_000);
            deployment.timeline.after(delayUs, () -> sendList(pooler, "incr", List.of(changed)));
        }
    }

    /** Kills one pooler, unless it is down, and starts it again a little later. */
    void restartOne() {
        GeneratedPooler pooler = drawOne();
        if (pooler.isDown()) {
            return;
        }
        pooler.stop();
        long downUs = 2 * deployment.roundUs() + deployment.random.nextLong(800_000);
        deployment.timeline.after(downUs, () -> create(pooler.number));
    }

    /** Answers a pooler's subscription to the list, at times by its loss. */
    void answerSubscription(GeneratedPooler pooler) {
        deployment.timeline.after(20_000, () -> {
            if (deployment.random.nextInt(4) == 0) {
                pooler.receive(message("Endpoints").put("scope", "lost"));
            } else {
                sendFullList(pooler, "total");
            }
        });
    }
}
