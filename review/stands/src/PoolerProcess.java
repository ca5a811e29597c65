import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The program as it is deployed: the line {@code run} of the deploy file, by the shell, from the root. */
final class PoolerProcess {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final int port;
    final Process process;
    final Path log;

    private PoolerProcess(int port, Process process, Path log) {
        this.port = port;
        this.process = process;
        this.log = log;
    }

    static Path root() {
        return Path.of(System.getProperty("root")).toAbsolutePath().normalize();
    }

    static String runLine() throws IOException {
        Matcher run = RUN.matcher(Files.readString(root().resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no line run");
        }
        return run.group(1);
    }

    /** Starts a pooler; {@code more} is added to its environment. */
    static PoolerProcess start(Path folder, String name, int port, Path config, Map<String, String> more)
            throws IOException {
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
        builder.directory(root().toFile()).redirectErrorStream(true).redirectOutput(log.toFile());
        Path temporary = Files.createDirectories(folder.resolve("tmp-" + name));
        builder.environment().put("TMPDIR", temporary.toString());
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
        builder.environment().putAll(more);
        PoolerProcess pooler = new PoolerProcess(port, builder.start(), log);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> pooler.process.destroyForcibly()));
        return pooler;
    }

    /** Waits until an empty query is answered with EmptyQueryResponse. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until && process.isAlive()) {
            try (Client client = new Client(port)) {
                client.socket.setSoTimeout(2000);
                if (client.start().ask("").kind().equals("empty")) {
                    return true;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(50);
        }
        return false;
    }

    void signal(String signal) throws IOException, InterruptedException {
        Net.signal(process.pid(), signal);
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }
}
