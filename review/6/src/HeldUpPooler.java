import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A pooler that is held up now and then, while the list changes and db servers close idle connections early. */
final class HeldUpPooler extends Case {
    private static final int CLUSTERS = 4;
    private static final int MEMBERS = 3;
    private static final int CLIENTS = 100;
    private static final int PERIOD_MS = 250;
    private static final int WORK_MS = 42;
    /** An idle connection is closed after this time; the settings say 30 s at the latest. */
    private static final int IDLE_MS = 5;
    /** Servers of other clusters, which are replaced one after the other by new ones with new ids. */
    private static final int OTHER_SERVERS = 120;
    private static final long BETWEEN_CHANGES_MS = 40;
    private static final long HELD_UP_MS = 135;
    /** Shown in ticks of 10 ms: what shows 140 was under 150. */
    private static final double ALLOWED_MS = 140;
    private static final int HELD_UP_IN_A_ROW = 8;
    private static final long BETWEEN_ROWS_MS = 300;
    private static final long SLICE_MS = 8;
    private static final long PLAY_MS = 85_000;
    /** The run ends with the first write that has run twice, or after so many answers, with the hold-ups as without. */
    private static final int ENOUGH = 1;
    private static final int ANSWERS = 17_000;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger twice = new AtomicInteger();
    private volatile boolean over;
    private PoolerProcess pooler;

    HeldUpPooler() throws IOException {}

    public static void main(String[] args) throws Exception {
        new HeldUpPooler().main();
    }

    @Override
    boolean play() throws Exception {
        Settings settings = new Settings().add("order-write", "fragile", 0.5, 3.0, "write", 0);
        settings.serverChecks = "silent";
        settings.writeMarks = "remembered";
        settings.listRole = "start";
        settings.reports = "silent";
        settings.stopSendingS = 0.25;
        Discovery discovery = new Discovery();
        for (int i = 0; i < CLUSTERS * MEMBERS; i++) {
            String role = i % MEMBERS == 0 ? "primary" : "replica";
            discovery.put(new DbServer("s-" + i, role, this::run), i / MEMBERS, "Ready", role);
        }
        pooler = startReady(settings, discovery);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int cluster = i % CLUSTERS;
            Net.daemon("client " + i, () -> {
                try {
                    post(cluster);
                } finally {
                    done.countDown();
                }
            });
        }
        if (trouble) {
            Net.daemon("replacements", () -> replaceOthers(discovery));
        }
        Thread.sleep(2000);
        int heldUp = 0;
        double longestMs = 0;
        for (long until = System.nanoTime() + PLAY_MS * 1_000_000;
                System.nanoTime() < until && twice.get() < ENOUGH && answers.get() < ANSWERS; ) {
            Thread.sleep(BETWEEN_ROWS_MS + ThreadLocalRandom.current().nextInt(30));
            if (trouble) {
                longestMs = Math.max(longestMs, holdUp());
                heldUp += HELD_UP_IN_A_ROW;
            }
        }
        over = true;
        require(done.await(10, TimeUnit.SECONDS), "clients do not end");
        require(pooler.process.isAlive(), "the pooler has ended");
        record.say("answers " + answers + ", served " + served + "; held up " + heldUp + " times, " + longestMs
                + " ms at most; writes run twice " + twice);
        require(longestMs <= ALLOWED_MS, "a hold-up was longer than the page names");
        require(twice.get() > 0 || served.get() > 5000, "too little was served for a judgement");
        return twice.get() == 0;
    }

    /** Stops the pooler and lets it go on, several times in a row; returns the longest hold in milliseconds. */
    private double holdUp() throws IOException, InterruptedException {
        Process row = new ProcessBuilder(
                        "perl",
                        PoolerProcess.root().resolve("review/stands/hold-up.pl").toString(),
                        Long.toString(pooler.process.pid()),
                        Integer.toString(HELD_UP_IN_A_ROW),
                        Long.toString(HELD_UP_MS),
                        Long.toString(SLICE_MS))
                .start();
        String longest = new String(row.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).trim();
        require(row.waitFor() == 0, "the pooler could not be held up");
        return Double.parseDouble(longest);
    }

    private void run(DbServer.Connection connection, DbServer.Statement statement)
            throws IOException, InterruptedException {
        if (connection.server.role.equals("replica")) {
            connection.error("25006", "not the primary");
            return;
        }
        int run = runs.computeIfAbsent(statement.id, id -> new AtomicInteger()).incrementAndGet();
        record.line(connection.server.name + ", connection " + connection.socket.getPort() + ": runs " + statement.id
                + (run > 1 ? " AGAIN, run " + run : ""));
        if (run > 1) {
            twice.incrementAndGet();
        }
        Thread.sleep(WORK_MS);
        connection.serve(new byte[64]);
        connection.socket.setSoTimeout(IDLE_MS);
    }

    private void post(int cluster) throws IOException, InterruptedException {
        Client client = new Client(pooler.port).start();
        while (!over) {
            long beganNs = System.nanoTime();
            String id = Client.newId();
            Client.Answer answer =
                    client.ask(Client.write(id, "account-" + id, "9f03", "order-write", 3000, cluster));
            record.line("client: " + id + " " + answer);
            answers.incrementAndGet();
            served.addAndGet(answer.served() ? 1 : 0);
            if (answer.kind().equals("closed")) {
                client.close();
                client = new Client(pooler.port).start();
            }
            long tookMs = (System.nanoTime() - beganNs) / 1_000_000;
            Thread.sleep(Math.max(0, PERIOD_MS - 50 + ThreadLocalRandom.current().nextInt(100) - tookMs));
        }
        client.close();
    }

    /** Each server drains, is gone, and a new one with another id takes its place. */
    private void replaceOthers(Discovery discovery) throws InterruptedException {
        String[] steps = {"Ready", "Terminating", "Gone"};
        for (int n = 0; !over; n++) {
            int place = n % OTHER_SERVERS;
            int round = n / OTHER_SERVERS;
            String name = "t-" + round / steps.length + "-" + place;
            discovery.putJson(
                    name,
                    "{\"host\":\"" + name + "\",\"dial\":\"127.9.0." + (place + 1)
                            + ":6543\",\"site\":\"dc\",\"class\":\"standard\",\"block\":" + (CLUSTERS + place / 4)
                            + ",\"health\":\"" + steps[round % steps.length]
                            + "\",\"share\":1.0,\"born_ms\":0,\"role\":\"replica\"}");
            Thread.sleep(BETWEEN_CHANGES_MS);
        }
    }
}
