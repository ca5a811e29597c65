import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Sessions write through the old process of an upgrade and read their writes through the new one. */
final class UpgradeForgetsRoles extends Case {
    private static final int CLUSTERS = 4;
    private static final int MEMBERS = 3;
    private static final int WRITE_WORK_MS = 150;
    private static final int READ_WORK_MS = 50;
    /** From its write to the read of a session, as the site's page gives it in the mean: 250 to 600 ms. */
    private static final int GAP_MS = 400;
    /** How much more slowly replicas apply the log during the trouble; the page says 4.3 to 20 times. */
    private static final int SLOWER = 5;

    /** What a cluster has committed: the latest commit of each key, in Unix milliseconds. */
    private final Map<String, Long> commits = new ConcurrentHashMap<>();
    private final AtomicInteger stale = new AtomicInteger();
    private final AtomicInteger fresh = new AtomicInteger();
    private volatile long slowSinceMs;

    UpgradeForgetsRoles() throws IOException {}

    public static void main(String[] args) throws Exception {
        new UpgradeForgetsRoles().main();
    }

    /** Where a replica stands: 10 ms behind, and further behind while it applies the log slowly. */
    private long replicaMs() {
        long now = System.currentTimeMillis() - 10;
        return slowSinceMs == 0 ? now : slowSinceMs + (now - slowSinceMs) / SLOWER;
    }

    private void run(DbServer.Connection connection, DbServer.Statement statement)
            throws IOException, InterruptedException {
        DbServer server = connection.server;
        boolean primary = server.role.equals("primary");
        if (!primary) {
            server.appliedMs = replicaMs();
        }
        record.line(server.name + " (" + server.role + ") gets " + statement.sql);
        if (statement.write && !primary) {
            connection.error("25006", "not the primary");
            return;
        }
        Thread.sleep(statement.write ? WRITE_WORK_MS : READ_WORK_MS);
        String key = statement.sql.split("'")[1];
        long commit;
        if (statement.write) {
            commit = System.currentTimeMillis();
            commits.put(key, commit);
        } else {
            long latest = commits.getOrDefault(key, 0L);
            commit = primary || latest <= server.appliedMs ? latest : 0;
        }
        connection.serve(Long.toString(commit).getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    boolean play() throws Exception {
        Settings settings = new Settings()
                .add("my-orders", "retryable", 0.4, 1.5, "session", 0)
                .add("event-browse", "retryable", 0.4, 1.2, "any", 0)
                .add("order-write", "dedup", 0.5, 3.0, "write", 0);
        settings.serverChecks = "silent";
        settings.writeMarks = "remembered";
        settings.listRole = "start";
        settings.reports = "silent";
        settings.stopSendingS = 0.25;
        Discovery discovery = new Discovery();
        for (int i = 0; i < CLUSTERS * MEMBERS; i++) {
            // The list names the first member, which was primary when the day began; since then the second one is.
            boolean listed = i % MEMBERS == 0;
            DbServer server = new DbServer("s-" + (char) ('a' + i), i % MEMBERS == 1 ? "primary" : "replica", this::run);
            discovery.put(server, i / MEMBERS, "Ready", listed ? "primary" : "replica");
        }
        platform = new Platform(folder);
        Path config = folder.resolve("config.json");
        Files.writeString(config, settings.config(platform.port, discovery.port(), discovery.whole()));
        int control = Net.freePort();
        ProcessHandle old = platform.start("old", config, control);
        require(Platform.awaitYes(control, 20_000), "the old process is not ready");

        List<Client> clients = new ArrayList<>();
        for (int cluster = 0; cluster < CLUSTERS; cluster++) {
            clients.add(new Client(platform.port).start());
        }
        // The old process learns the roles: each session writes, and reads what it wrote.
        for (int cluster = 0; cluster < CLUSTERS; cluster++) {
            require(write(clients.get(cluster), cluster) > 0, "a write before the upgrade was not served");
            judge(clients.get(cluster), cluster, commits.get(key(cluster)));
        }
        require(stale.get() == 0, "stale before the upgrade");
        slowSinceMs = System.currentTimeMillis();
        Thread.sleep(2000);
        if (trouble) {
            int secondControl = Net.freePort();
            platform.start("new", config, secondControl);
            require(Platform.awaitYes(secondControl, 20_000), "the new process is not ready");
        } else {
            Thread.sleep(1000);
        }
        CountDownLatch done = new CountDownLatch(CLUSTERS);
        for (int i = 0; i < CLUSTERS; i++) {
            int cluster = i;
            Net.daemon("session " + cluster, () -> {
                writeThenRead(clients.get(cluster), cluster);
                done.countDown();
            });
        }
        Thread.sleep(WRITE_WORK_MS / 3);
        if (trouble) {
            record.line("SIGTERM to the old process");
            Platform.signal(old, "TERM");
        }
        require(done.await(15, TimeUnit.SECONDS), "a session does not end");
        record.say("reads that saw the session's write: " + fresh + ", that did not: " + stale);
        return stale.get() == 0;
    }

    private void writeThenRead(Client client, int cluster) throws IOException, InterruptedException {
        long commit = write(client, cluster);
        if (commit == 0) {
            return;
        }
        Thread.sleep(GAP_MS);
        if (trouble) {
            // The old process has closed the connection after its answer.
            client.close();
            client = new Client(platform.port).start();
        }
        judge(client, cluster, commit);
    }

    private static String key(int cluster) {
        return "account-" + cluster;
    }

    /** Returns the commit, 0 if the write was not served. */
    private long write(Client client, int cluster) throws IOException {
        Client.Answer answer =
                client.ask(Client.write(Client.newId(), key(cluster), "9f03", "order-write", 3000, cluster));
        record.line("client: write of " + key(cluster) + " " + answer);
        return answer.served() ? Long.parseLong(new String(answer.value(), StandardCharsets.US_ASCII)) : 0;
    }

    private void judge(Client client, int cluster, long commit) throws IOException {
        Client.Answer answer = client.ask(Client.read(Client.newId(), key(cluster), "my-orders", 1500, cluster, ""));
        if (!answer.served()) {
            record.line("client: read of " + key(cluster) + " " + answer);
            return;
        }
        long seen = Long.parseLong(new String(answer.value(), StandardCharsets.US_ASCII));
        boolean sees = seen >= commit;
        (sees ? fresh : stale).incrementAndGet();
        record.line("client: read of " + key(cluster) + " sees the write of " + seen + ", its own is of " + commit
                + (sees ? "" : ": STALE"));
    }
}
