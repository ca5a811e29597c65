package frostreel.lab.processes;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONObject;

/** A process of the built program, under one name and address over all its lives. */
final class PoolerProcess {
    private static final List<String> JAVA = List.of("-Djava.net.preferIPv4Stack=true", "-Xmx64m",
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");
    final int number;
    final InetSocketAddress listen;
    private final Path jar;
    private final Path folder;
    private Process process;
    private int lives;

    PoolerProcess(int number, InetSocketAddress listen, Path jar, Path folder) {
        this.number = number;
        this.listen = listen;
        this.jar = jar;
        this.folder = folder;
    }

    String name() {
        return "p" + number;
    }

    /** Starts it, with the platform's configuration as it is now; its log goes to a file of its own. */
    void start(JSONObject config, String discovery) throws IOException {
        Path file = folder.resolve(name() + ".json");
        Files.writeString(file, config.toString());
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(JAVA);
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(folder.resolve(name() + "-" + ++lives + ".log").toFile());
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("GW_NAME", name());
        builder.environment().put("GW_LISTEN", text(listen));
        builder.environment().put("GW_DISCOVERY", discovery);
        process = builder.start();
    }

    static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    /** SIGTERM; {@code then} runs once it has ended, on a thread of its own. */
    void terminate(Runnable then) {
        process.onExit().thenRun(then);
        process.destroy();
    }

    /** SIGSTOP or SIGCONT. */
    void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    }

    /** Ends it, however it stands, and waits until it has. */
    void end() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }
}
