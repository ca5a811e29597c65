import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The frame of a case: a temporary folder, the record, an end in bounded time, and the exit code. */
abstract class Case {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int CANNOT_RUN = 2;
    private static final long LIMIT_MS = 110_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final RunRecord record;
    final List<PoolerProcess> poolers = new ArrayList<>();
    Platform platform;

    Case() throws IOException {
        folder = Files.createTempDirectory("frostreel-review");
        record = new RunRecord(Path.of(System.getProperty("record", "record.txt")));
    }

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    PoolerProcess start(String name, int port, Path config, java.util.Map<String, String> more) throws IOException {
        PoolerProcess pooler = PoolerProcess.start(folder, name, port, config, more);
        poolers.add(pooler);
        return pooler;
    }

    /** Writes the configuration, starts the pooler with it and waits until it is ready. */
    PoolerProcess startReady(Settings settings, Discovery discovery) throws Exception {
        int port = Net.freePort();
        Path config = folder.resolve("config.json");
        Files.writeString(config, settings.config(port, discovery.port(), discovery.whole()));
        PoolerProcess pooler =
                start("n1", port, config, java.util.Map.of("GW_DISCOVERY", "127.0.0.1:" + discovery.port()));
        require(pooler.awaitReady(20_000), "the pooler is not ready");
        return pooler;
    }

    /** Ends the case with 2: it says nothing about the rule. */
    static void require(boolean condition, String what) {
        if (!condition) {
            throw new IllegalStateException(what);
        }
    }

    void main() {
        Net.daemon("limit", () -> {
            Thread.sleep(LIMIT_MS);
            record.say("the case has taken too long");
            end(CANNOT_RUN);
        });
        int code;
        try {
            record.say(getClass().getSimpleName() + (trouble ? "" : " without the disruption"));
            code = play() ? HELD : BROKEN;
        } catch (Exception e) {
            record.say("cannot run: " + e);
            code = CANNOT_RUN;
        }
        end(code);
    }

    private synchronized void end(int code) {
        for (PoolerProcess pooler : poolers) {
            try {
                pooler.kill();
            } catch (InterruptedException e) {
                record.say("at the end: " + e);
            }
        }
        try {
            if (platform != null) {
                platform.end();
            }
            recordLogs();
        } catch (IOException | InterruptedException e) {
            record.say("at the end: " + e);
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            record.say("at the end: " + e);
        }
        record.say("exit " + code);
        Runtime.getRuntime().halt(code);
    }

    private void recordLogs() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path log : files.filter(file -> file.toString().endsWith(".log")).sorted().toList()) {
                for (String line : Files.readAllLines(log)) {
                    record.line("log " + log.getFileName() + ": " + line);
                }
            }
        }
    }
}
