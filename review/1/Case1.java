import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that ask once, a write with a value of 64 KiB, and keep their connection. */
public final class Case1 {
    /** Within a third of the 1,024 descriptors, together with the readers. */
    private static final int CLIENTS = 320;
    private static final int READERS = 8;
    /** Below the deployment's 22% of 360 requests a second. */
    private static final int WRITES_PER_S = 50;
    private static final String VALUE = "a7".repeat(65536);

    public static void main(String[] args) {
        Small.run(Case1::play);
    }

    private static void play() throws Exception {
        Small small = new Small(110);
        small.startPooler(Kit.settings(), Map.of());
        List<Kit.Client> kept = new CopyOnWriteArrayList<>();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger ended = new AtomicInteger();
        for (int i = 0; i < READERS; i++) {
            int reader = i;
            Kit.start("reader", () -> read(small, reader));
        }
        for (int i = 0; i < CLIENTS && small.pooler.process.isAlive(); i++) {
            int number = i;
            Kit.start("client", () -> {
                String id = String.format("%016x", 0x1000 + number);
                String sql = Kit.write("k" + number, VALUE, id, "payment-post", 3000, "f" + id, number % 3 + 1);
                try {
                    Kit.Client client = new Kit.Client(small.port, 10_000);
                    Kit.note(id + " payment-post, 64 KiB: sent");
                    Kit.Answer answer = client.ask(sql);
                    Kit.note(id + " payment-post, 64 KiB: " + answer.kind() + " " + answer.code());
                    switch (answer.kind()) {
                        case "served" -> served.incrementAndGet();
                        case "refused", "failed" -> refused.incrementAndGet();
                        default -> unanswered.incrementAndGet();
                    }
                    if (Kit.TROUBLE) {
                        kept.add(client);
                    } else {
                        client.close();
                    }
                } finally {
                    ended.incrementAndGet();
                }
            });
            Thread.sleep(1000 / WRITES_PER_S);
        }
        double until = Kit.ms() + 12_000;
        while (Kit.ms() < until && small.pooler.process.isAlive()) {
            Thread.sleep(50);
            if (ended.get() == CLIENTS && Kit.ms() < until - 3000) {
                until = Kit.ms() + 3000;
            }
        }
        boolean alive = small.pooler.process.isAlive();
        String counts = served + " served, " + refused + " refused or failed, " + unanswered
                + " without an answer, " + kept.size() + " connections kept by clients";
        for (Db db : small.dbs) {
            db.begun.stream()
                    .filter(begun -> begun.sql().startsWith("INSERT"))
                    .forEach(begun -> Kit.note(db.name + " ran " + Kit.field(begun.sql(), "id") + " at "
                            + String.format("%.1f", begun.atMs())));
        }
        Kit.note(counts);
        small.pooler.logTail(12);
        if (alive) {
            Kit.end(0, "the pooler ran on; " + counts);
        }
        Kit.end(1, "the pooler exited by itself with code " + small.pooler.process.exitValue() + "; " + counts);
    }

    /** A client with a kept connection that reads ten times a second. */
    private static void read(Small small, int reader) throws Exception {
        Kit.Client client = new Kit.Client(small.port, 5000);
        for (int i = 0; i < 400; i++) {
            String id = String.format("%08x%08x", 0xabc0 + reader, i);
            Kit.Answer answer =
                    client.ask(Kit.read("r" + reader, id, "history-lookup", 600, reader % 3 + 1, ""));
            if (!answer.kind().equals("served")) {
                Kit.note(id + " history-lookup: " + answer.kind() + " " + answer.code());
            }
            if (answer.kind().equals("closed")) {
                client.close();
                client = new Kit.Client(small.port, 5000);
            }
            Thread.sleep(100);
        }
    }
}
