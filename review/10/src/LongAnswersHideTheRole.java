import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A primary hangs in a quiet time and loses its role; afterwards its readers get values of more than 64 KiB. */
final class LongAnswersHideTheRole extends Case {
    /** Given up after 1.1 to 2.7 s, another takes over 1.5 to 3.6 s later; it hangs a little longer. */
    private static final long TAKEN_OVER_MS = 4000;
    private static final long HANG_MS = 4500;
    /** How fast a replica that is behind catches up: it is busy 30 to 60% of the time when it keeps pace. */
    private static final double CATCH_UP = 2.0;
    private static final int VALUE_BYTES = 100_000;
    private static final long KNOWN_AFTER_MS = 150;

    private DbServer former;
    private DbServer next;
    private volatile long hangsFromMs = Long.MAX_VALUE;
    private volatile long commitMs;

    LongAnswersHideTheRole() throws IOException {}

    public static void main(String[] args) throws Exception {
        new LongAnswersHideTheRole().main();
    }

    private void run(DbServer.Connection connection, DbServer.Statement statement)
            throws IOException, InterruptedException {
        DbServer server = connection.server;
        long now = System.currentTimeMillis();
        if (server == former && now >= hangsFromMs && now < hangsFromMs + HANG_MS) {
            Thread.sleep(hangsFromMs + HANG_MS - now);
            now = System.currentTimeMillis();
        }
        if (server.role.equals("replica")) {
            boolean behind = server == former && hangsFromMs != Long.MAX_VALUE;
            double resumedForMs = now - hangsFromMs - HANG_MS;
            server.appliedMs = behind
                    ? Math.min(now - 10, hangsFromMs + (long) (resumedForMs * CATCH_UP))
                    : now - 10;
        }
        if (statement.write && server.role.equals("replica")) {
            connection.error("25006", "not the primary");
            return;
        }
        Thread.sleep(50);
        long seen = commitMs <= server.positionMs() ? commitMs : 0;
        byte[] value = Arrays.copyOf(
                Long.toString(seen).getBytes(StandardCharsets.US_ASCII), VALUE_BYTES);
        record.line(server.name + " (" + server.role + ", stands at " + server.positionMs() + ") gives the commit "
                + seen + " for " + statement.sql);
        connection.serve(value);
    }

    @Override
    boolean play() throws Exception {
        Settings settings = new Settings()
                .add("order-status", "retryable", 0.4, 1.5, "fresh", 0)
                .add("event-browse", "retryable", 0.4, 1.2, "any", 0)
                .add("order-write", "dedup", 0.5, 3.0, "write", 0);
        settings.serverChecks = "silent";
        settings.writeMarks = "remembered";
        settings.listRole = "start";
        settings.reports = "silent";
        settings.stopSendingS = 0.25;
        Discovery discovery = new Discovery();
        former = new DbServer("s-a", "primary", this::run);
        next = new DbServer("s-b", "replica", this::run);
        DbServer third = new DbServer("s-c", "replica", this::run);
        discovery.put(former, 0, "Ready", "primary");
        discovery.put(next, 0, "Ready", "replica");
        discovery.put(third, 0, "Ready", "replica");
        PoolerProcess pooler = startReady(settings, discovery);
        Client client = new Client(pooler.port).start();
        commitMs = System.currentTimeMillis();
        require(read(client) >= commitMs, "not fresh before the trouble");
        Thread.sleep(1000);
        if (trouble) {
            hangsFromMs = System.currentTimeMillis();
            record.line("s-a hangs");
            Thread.sleep(TAKEN_OVER_MS);
            former.role = "replica";
            next.role = "primary";
            record.line("s-b has taken over");
        } else {
            Thread.sleep(TAKEN_OVER_MS);
        }
        Thread.sleep(300);
        commitMs = System.currentTimeMillis();
        record.line("a commit at " + commitMs + ", by another pooler");
        Thread.sleep(400);
        int stale = 0;
        long toldMs = Long.MAX_VALUE;
        for (int i = 0; i < 8; i++) {
            long sentMs = System.currentTimeMillis();
            boolean sees = read(client) >= commitMs;
            boolean excused = sentMs <= toldMs;
            toldMs = Math.min(toldMs, System.currentTimeMillis() + KNOWN_AFTER_MS);
            stale += sees || excused ? 0 : 1;
            record.line("read " + (i + 1) + (sees ? " sees the commit" : excused ? " is stale, excused" : " is STALE"));
            Thread.sleep(200);
        }
        record.say("reads without the latest commit, after an answer had told the role: " + stale);
        return stale == 0;
    }

    private long read(Client client) throws IOException {
        Client.Answer answer = client.ask(Client.read(Client.newId(), "account-1", "order-status", 1500, 0, ""));
        record.line("client: " + answer);
        return answer.served() ? Long.parseLong(new String(answer.value(), StandardCharsets.US_ASCII).trim()) : Long.MAX_VALUE;
    }
}
