import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that write a dozen payments at once on one connection, and wait for the answers in their order. */
final class ManyCommandsAtOnce extends Case {
    private static final int CLIENTS = 4;
    private static final int COMMANDS = 12;
    private static final int CLUSTERS = 2;
    private static final int MEMBERS = 4;
    private static final int WORK_MS = 50;
    private static final String HEX = "9f".repeat(1 << 16);

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger otherAnswers = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();

    ManyCommandsAtOnce() throws IOException {}

    public static void main(String[] args) throws Exception {
        new ManyCommandsAtOnce().main();
    }

    @Override
    boolean play() throws Exception {
        Settings settings = new Settings().add("payment-post", "dedup", 0.6, 3.0, "write", 0);
        Discovery discovery = new Discovery();
        for (int i = 0; i < CLUSTERS * MEMBERS; i++) {
            String role = i % MEMBERS == 0 ? "primary" : "replica";
            DbServer server = new DbServer("s-" + i, role, (connection, statement) -> {
                if (connection.server.role.equals("replica")) {
                    connection.error("25006", "not the primary");
                    return;
                }
                Thread.sleep(WORK_MS);
                runs.merge(statement.id, 1, Integer::sum);
                record.line(connection.server.name + " has run " + statement.id);
                connection.serve(new byte[1 << 16]);
            });
            discovery.put(server, i / MEMBERS, "Ready", role);
        }
        PoolerProcess pooler = startReady(settings, discovery);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Net.daemon("client " + i, () -> {
                try (Client client = new Client(pooler.port).start()) {
                    client.socket.setSoTimeout(20_000);
                    post(client, number);
                } finally {
                    done.countDown();
                }
            });
        }
        require(done.await(60, TimeUnit.SECONDS), "a client does not end");
        record.say(CLIENTS * COMMANDS + " payments: served " + served + ", other answers " + otherAnswers
                + ", connection ended by the pooler with no answer " + lost);
        require(served.get() + otherAnswers.get() + lost.get() == CLIENTS * COMMANDS, "payments are missing");
        return lost.get() == 0;
    }

    private void post(Client client, int number) throws IOException {
        List<String> ids = new ArrayList<>();
        List<byte[]> commands = new ArrayList<>();
        for (int i = 0; i < COMMANDS; i++) {
            String id = Client.newId();
            ids.add(id);
            commands.add(Client.query(
                    Client.write(id, "account-" + id, HEX, "payment-post", 3000, number % CLUSTERS)));
        }
        if (trouble) {
            client.send(Net.concat(commands.toArray(new byte[0][])));
            record.line("client " + number + " has written " + COMMANDS + " payments, the last byte too");
        }
        for (int i = 0; i < COMMANDS; i++) {
            if (!trouble) {
                client.send(commands.get(i));
            }
            Client.Answer answer = client.answer();
            record.line("client " + number + ", payment " + (i + 1) + " " + ids.get(i) + ": " + answer
                    + ", run " + runs.getOrDefault(ids.get(i), 0) + " times");
            switch (answer.kind()) {
                case "closed" -> lost.incrementAndGet();
                case "served" -> served.incrementAndGet();
                default -> otherAnswers.incrementAndGet();
            }
        }
    }
}
