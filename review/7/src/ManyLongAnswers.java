import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * 330 clients, one request at a time each: most ask for reports of 64 KiB, some post payments with as much. From some
 * moment on the db servers write their answers in pieces.
 */
final class ManyLongAnswers extends Case {
    /** Under a third of the 1,024 descriptors that the configuration grants. */
    private static final int CLIENTS = 330;
    /** About 22% of requests are payments. */
    private static final int PAYING_CLIENTS = 72;
    private static final int CLUSTERS = 3;
    private static final int MEMBERS = 4;
    private static final byte[] VALUE = new byte[1 << 16];
    private static final String HEX = "9f".repeat(1 << 16);
    private static final long REPORT_WORK_MS = 450;
    private static final long PAYMENT_WORK_MS = 78;
    private static final long BETWEEN_PIECES_MS = 2000;
    private static final long QUIET_MS = 12_000;
    private static final long TROUBLE_MS = 6000;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();
    private volatile boolean inPieces;
    private volatile boolean over;
    private PoolerProcess pooler;

    ManyLongAnswers() throws IOException {}

    public static void main(String[] args) throws Exception {
        new ManyLongAnswers().main();
    }

    @Override
    boolean play() throws Exception {
        Settings settings = new Settings()
                .add("arrears-report", "retryable", 4.0, 8.0, "any", 0)
                .add("payment-post", "dedup", 0.6, 3.0, "write", 0);
        Discovery discovery = new Discovery();
        for (int i = 0; i < CLUSTERS * MEMBERS; i++) {
            String role = i % MEMBERS == 0 ? "primary" : "replica";
            discovery.put(new DbServer("s-" + i, role, this::run), i / MEMBERS, "Ready", role);
        }
        pooler = startReady(settings, discovery);
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int i = 0; i < CLIENTS; i++) {
            int cluster = i % CLUSTERS;
            boolean pays = i < PAYING_CLIENTS;
            Net.daemon("client " + i, () -> {
                try {
                    askOneByOne(cluster, pays);
                } finally {
                    done.countDown();
                }
            });
        }
        Thread.sleep(QUIET_MS);
        record.say("quiet time over, " + counts());
        inPieces = trouble;
        for (long until = System.nanoTime() + TROUBLE_MS * 1_000_000;
                System.nanoTime() < until && pooler.process.isAlive(); ) {
            Thread.sleep(50);
        }
        boolean crashed = !pooler.process.isAlive();
        record.say((crashed ? "the pooler has exited with " + pooler.process.exitValue() : "the pooler runs") + ", "
                + counts() + ", answers begun in pieces " + begun);
        over = true;
        if (crashed) {
            Thread.sleep(500);
            record.say("requests whose connection ended without an answer: " + lost);
            return false;
        }
        require(done.await(15, TimeUnit.SECONDS), "clients do not end");
        record.say("at the end " + counts());
        require(served.get() > 2000, "too little was served for a judgement");
        return lost.get() == 0;
    }

    private String counts() {
        return "served " + served + ", refused " + refused + ", failed " + failed;
    }

    private void run(DbServer.Connection connection, DbServer.Statement statement)
            throws IOException, InterruptedException {
        if (statement.write && connection.server.role.equals("replica")) {
            connection.error("25006", "not the primary");
            return;
        }
        Thread.sleep(statement.write ? PAYMENT_WORK_MS : REPORT_WORK_MS);
        if (!inPieces) {
            connection.serve(VALUE);
            return;
        }
        begun.incrementAndGet();
        connection.write(connection.rowHead(), connection.dataRow(VALUE));
        Thread.sleep(BETWEEN_PIECES_MS);
        connection.write(Net.message('C', Net.text("SELECT 1")), connection.status(), connection.ready());
    }

    private void askOneByOne(int cluster, boolean pays) throws IOException, InterruptedException {
        Client client = new Client(pooler.port).start();
        while (!over) {
            String id = Client.newId();
            String statement = pays
                    ? Client.write(id, "account-" + id, HEX, "payment-post", 3000, cluster)
                    : Client.read(id, "account-" + cluster, "arrears-report", 8000, cluster, "");
            Client.Answer answer = ask(client, statement);
            if (answer.kind().equals("closed") && pooler.process.isAlive()) {
                // The close crossed the request: once more on a new connection.
                client.close();
                client = new Client(pooler.port).start();
                answer = ask(client, statement);
            }
            record.line(id + " " + answer);
            switch (answer.kind()) {
                case "served" -> served.incrementAndGet();
                case "refused" -> {
                    refused.incrementAndGet();
                    Thread.sleep(200);
                }
                case "failed" -> failed.incrementAndGet();
                default -> {
                    lost.incrementAndGet();
                    return;
                }
            }
        }
        client.close();
    }

    private static Client.Answer ask(Client client, String statement) throws IOException {
        try {
            return client.ask(statement);
        } catch (IOException e) {
            return new Client.Answer("closed", e.getMessage(), null);
        }
    }
}
