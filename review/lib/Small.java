import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A small deployment: nine db servers in three clusters of three, discovery, and one pooler. */
public final class Small {
    public static final int CLUSTERS = 3;
    public final List<Db> dbs = new ArrayList<>();
    public final List<Process> processes = new ArrayList<>();
    public final Path root;
    public final Path folder;
    public final Kit.Agent agent;
    public final int port = Kit.freePort();
    public final int control = Kit.freePort();
    public Kit.Pooler pooler;

    /** Opens the record in the working folder, the case's own, and starts the servers and the agent. */
    public Small(int limitS) throws IOException {
        Path here = Path.of("").toAbsolutePath();
        root = here.getParent().getParent();
        Kit.openRecord(here.resolve("record.txt"));
        Kit.limit(limitS);
        folder = Kit.workFolder(processes);
        List<Kit.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 3 * CLUSTERS; i++) {
            Db db = new Db("s-" + i, i % 3 == 0, i / 3 + 1);
            dbs.add(db);
            hosts.add(db.host("Ready"));
        }
        agent = new Kit.Agent(hosts);
    }

    /** Starts the pooler with these settings; ends the case if it is not ready in 30 s, the time that the pages give. */
    public void startPooler(String settings, Map<String, String> environment) throws Exception {
        pooler = new Kit.Pooler(
                root, folder, port, Kit.config(port, agent.port, agent.whole(), settings), environment);
        processes.add(pooler.process);
        if (!pooler.awaitReady(30_000)) {
            pooler.logTail(20);
            Kit.end(2, "the pooler did not become ready");
        }
    }

    public Db primaryOf(int cluster) {
        return dbs.get((cluster - 1) * 3);
    }

    /** Runs a case; whatever it throws means that it could not run. */
    public static void run(Kit.Body body) {
        try {
            body.run();
            Kit.end(2, "no verdict");
        } catch (Throwable e) {
            Kit.end(2, e.toString());
        }
    }
}
