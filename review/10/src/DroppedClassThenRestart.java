import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** A new configuration drops the class of a request that is out; then the pooler is told to end. */
final class DroppedClassThenRestart extends Case {
    /** A costly report: 600 ms of work, 5.4 times as much as usual. */
    private static final long WORK_MS = 3240;
    /** Of the settings that the request came under: 8 s, which count as 3 s, plus 0.7 s. */
    private static final long KILL_AFTER_MS = 3700;

    DroppedClassThenRestart() throws IOException {}

    public static void main(String[] args) throws Exception {
        new DroppedClassThenRestart().main();
    }

    private static Settings settings(boolean withReports) {
        Settings settings = new Settings()
                .add("account-view", "retryable", 0.3, 1.0, "bounded", 0.8)
                .add("history-lookup", "retryable", 0.2, 0.6, "any", 0);
        return withReports ? settings.add("arrears-report", "retryable", 4.0, 8.0, "any", 0) : settings;
    }

    @Override
    boolean play() throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < 8; i++) {
            String role = i % 4 == 0 ? "primary" : "replica";
            DbServer server = new DbServer("s-" + i, role, (connection, statement) -> {
                record.line(connection.server.name + " begins " + statement.id + ", d=" + statement.timeoutMs);
                Thread.sleep(WORK_MS);
                record.line(connection.server.name + " has run " + statement.id);
                connection.serve("report".getBytes(StandardCharsets.US_ASCII));
            });
            discovery.put(server, i / 4, "Ready", role);
        }
        PoolerProcess pooler = startReady(settings(true), discovery);
        Thread.sleep(1200);
        Client client = new Client(pooler.port).start();
        CountDownLatch done = new CountDownLatch(1);
        AtomicReference<Client.Answer> answer = new AtomicReference<>();
        String id = Client.newId();
        record.line("client sends arrears-report " + id + ", d=8000");
        long sentNs = System.nanoTime();
        Net.daemon("client", () -> {
            answer.set(client.ask(Client.read(id, "account-1", "arrears-report", 8000, 0, "")));
            record.line("client: " + answer.get());
            done.countDown();
        });
        Thread.sleep(200);
        if (trouble) {
            Path config = folder.resolve("config.json");
            Path next = folder.resolve("config.next");
            Files.writeString(next, settings(false).config(pooler.port, discovery.port(), discovery.whole()));
            Files.move(next, config, StandardCopyOption.ATOMIC_MOVE);
            record.line("SIGHUP: the new configuration has no class arrears-report");
            pooler.signal("HUP");
        }
        Thread.sleep(300);
        record.line("SIGTERM");
        pooler.signal("TERM");
        boolean ended = done.await(KILL_AFTER_MS, TimeUnit.MILLISECONDS);
        long afterMs = (System.nanoTime() - sentNs) / 1_000_000;
        record.say("the report: " + (ended ? answer.get() + " after " + afterMs + " ms" : "no answer before SIGKILL"));
        boolean exited = pooler.process.waitFor(300, TimeUnit.MILLISECONDS);
        record.say("the pooler " + (exited ? "has ended by itself with " + pooler.process.exitValue() : "still runs"));
        // What SIGKILL would find is not lost: the request came before SIGTERM.
        return !ended || !answer.get().kind().equals("closed");
    }
}
