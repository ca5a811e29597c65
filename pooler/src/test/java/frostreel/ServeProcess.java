package frostreel;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The command {@code serve} in a separate process, controlled by signals and observed through its log. */
final class ServeProcess implements AutoCloseable {
    /** The exit code after a graceful shutdown by SIGTERM: 128 plus the number of the signal. */
    static final int EXIT_BY_SIGTERM = 143;

    private final Process process;
    private final BufferedReader log;

    private ServeProcess(List<String> command, Map<String, String> environment) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        process = builder.start();
        log = process.errorReader();
    }

    /** Starts the process with these options of {@code serve}. */
    static ServeProcess start(Map<String, String> environment, String... options) throws IOException {
        return new ServeProcess(command(List.of(), options), environment);
    }

    /** Starts the process in a JVM with these options. */
    static ServeProcess startWithJvmOptions(List<String> jvmOptions, Map<String, String> environment)
            throws IOException {
        return new ServeProcess(command(jvmOptions), environment);
    }

    /** Starts the process with SIGHUP ignored, as by nohup. */
    static ServeProcess startWithSighupIgnored(Map<String, String> environment) throws IOException {
        List<String> command = new ArrayList<>(List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
        command.addAll(command(List.of()));
        return new ServeProcess(command, environment);
    }

    private static List<String> command(List<String> jvmOptions, String... options) {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElseThrow());
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "frostreel.cli.Main", "serve"));
        command.addAll(List.of(options));
        return command;
    }

    /** Reads the log up to the next line that contains this text, and returns the line. */
    String awaitLog(String text) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            if (line.contains(text)) {
                return line;
            }
        }
        throw new EOFException("the log ended without a line with: " + text);
    }

    /** Waits for the log line with the port for clients, and returns the port. */
    int awaitPort() throws IOException {
        return port(awaitLog(": listening on /127.0.0.1:"));
    }

    /** Waits for the log line with the port of the admin endpoint, and returns the port. */
    int awaitAdminPort() throws IOException {
        return port(awaitLog("admin endpoint listening on /127.0.0.1:"));
    }

    private static int port(String line) {
        return Integer.parseInt(line.replaceAll(".*127.0.0.1:(\\d+).*", "$1"));
    }

    void awaitReady() throws IOException {
        awaitLog("ready");
    }

    long pid() {
        return process.pid();
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    }

    /** Suspends the process and waits until none of its threads runs. */
    void suspend() throws IOException, InterruptedException {
        signal("STOP");
        while (!Files.readString(Path.of("/proc/" + pid() + "/stat")).contains(") T ")) {
            Thread.onSpinWait();
        }
    }

    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    int awaitExit() throws InterruptedException {
        return process.waitFor();
    }

    /** Kills the process if it still runs. */
    @Override
    public void close() throws IOException {
        process.destroyForcibly().onExit().join();
        log.close();
    }
}
