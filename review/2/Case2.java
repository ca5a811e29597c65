import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Two new configurations within the time in which clients still follow the one before the first. */
public final class Case2 {
    private static final int REFUNDS = 24;
    /** One refund in this many has its connection reset once it has run. */
    private static final int RESET_EVERY = 3;

    public static void main(String[] args) {
        Small.run(Case2::play);
    }

    private static String settings(String effect, int maxAttempts) {
        return Kit.settings(
                "\"repeatWindowS\": 3.0, \"streamed\": false, \"worth\": 4.0}]",
                "\"repeatWindowS\": 3.0, \"streamed\": false, \"worth\": 4.0},"
                        + " {\"deadlineS\": 3.0, \"group\": \"all\", \"lateWorth\": 0.3, \"name\": \"refund-post\","
                        + " \"onTimeS\": 0.6, \"repeat\": \"" + effect + "\", \"repeatWindowS\": 3.0,"
                        + " \"streamed\": false, \"worth\": 4.0}]",
                "\"any\", \"any\", \"write\"]",
                "\"any\", \"any\", \"write\", \"write\"]",
                "[0.8, 0.0, 0.0, 0.0]",
                "[0.8, 0.0, 0.0, 0.0, 0.0]",
                "\"maxAttempts\": 10",
                "\"maxAttempts\": " + maxAttempts);
    }

    private static void play() throws Exception {
        Small small = new Small(60);
        Map<String, Integer> seen = new HashMap<>();
        for (Db db : small.dbs) {
            db.resetAfter = sql -> {
                synchronized (seen) {
                    String id = Kit.field(sql, "id");
                    boolean reset = Integer.parseInt(id, 16) % RESET_EVERY == 0 && seen.merge(id, 1, Integer::sum) == 1;
                    if (reset) {
                        Kit.note(db.name + " ran " + id + " and resets its connection");
                    }
                    return reset;
                }
            };
        }
        small.startPooler(settings("fragile", 10), Map.of());
        Thread.sleep(1500);
        Map<String, Kit.Answer> answers = new ConcurrentHashMap<>();
        double first = Kit.ms();
        replace(small, settings("retryable", 10));
        Thread.sleep(400);
        if (Kit.TROUBLE) {
            replace(small, settings("retryable", 8));
        }
        Thread.sleep(200);
        // From 0.6 s to about 1 s after the first SIGHUP: clients use the new class 1.2 s after it.
        CountDownLatch ended = new CountDownLatch(REFUNDS);
        double lastSent = 0;
        for (int i = 0; i < REFUNDS; i++) {
            int number = i;
            Kit.start("client", () -> {
                String id = String.format("%016x", 0x4000 + number);
                try (Kit.Client client = new Kit.Client(small.port, 10_000)) {
                    Kit.note(id + " refund-post sent, of the class that may not be repeated, "
                            + String.format("%.0f", Kit.ms() - first) + " ms after the first SIGHUP");
                    Kit.Answer answer = client.ask(
                            Kit.write("k" + number, "a7", id, "refund-post", 3000, null, number % 3 + 1));
                    answers.put(id, answer);
                    Kit.note(id + " refund-post: " + answer.kind() + " " + answer.code());
                } finally {
                    ended.countDown();
                }
            });
            lastSent = Kit.ms() - first;
            Thread.sleep(15);
        }
        if (!ended.await(10, TimeUnit.SECONDS)) {
            Kit.end(2, "a client did not end");
        }
        if (lastSent > 1150) {
            Kit.end(2, "the last refund was sent " + lastSent + " ms after the first SIGHUP, when clients use the new class");
        }
        Thread.sleep(300);
        Map<String, Integer> runs = new TreeMap<>();
        for (Db db : small.dbs) {
            for (Db.Begun begun : db.begun) {
                if (db.primary) {
                    runs.merge(Kit.field(begun.sql(), "id"), 1, Integer::sum);
                    Kit.note(db.name + " ran " + Kit.field(begun.sql(), "id") + " at " + String.format("%.1f", begun.atMs()));
                }
            }
        }
        long twice = runs.values().stream().filter(count -> count > 1).count();
        small.pooler.logTail(30);
        if (runs.size() < REFUNDS / 2) {
            Kit.end(2, "only " + runs.size() + " refunds reached a primary");
        }
        Kit.end(twice > 0 ? 1 : 0, twice + " of " + runs.size() + " refunds ran more than once");
    }

    private static void replace(Small small, String settings) throws Exception {
        Path next = small.folder.resolve("config.next");
        Files.writeString(next, Kit.config(small.port, small.agent.port, small.agent.whole(), settings));
        Files.move(next, small.folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
        small.pooler.signal("HUP");
    }
}
