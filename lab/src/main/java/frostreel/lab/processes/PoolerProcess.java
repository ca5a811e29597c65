package frostreel.lab.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.json.JSONObject;

/** A process of the built program, under one name and address over all its incarnations. */
final class PoolerProcess {
    private static final List<String> JVM_OPTIONS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData");
    private static final String HOST_NAME = "HOSTNAME";
    final int number;
    final InetSocketAddress listen;
    private final Path jar;
    private final Path folder;
    /** Null where each incarnation listens by itself and has no admin endpoint. */
    private final SharedSocket sharedSocket;
    /** Null where none of its system calls are made to fail. */
    private SystemFaults faults;

    private ProcessHandle process;
    /** The old process during an upgrade; null at other times. */
    private ProcessHandle old;

    private int incarnations;
    /** The admin endpoint of the newest incarnation. */
    private InetSocketAddress adminAddress;

    PoolerProcess(int number, InetSocketAddress listen, Path jar, Path folder) {
        this(number, listen, null, jar, folder);
    }

    /** With a socket that all incarnations share: each has an admin endpoint, and may get a successor beside it. */
    PoolerProcess(int number, SharedSocket sharedSocket, Path jar, Path folder) {
        this(number, sharedSocket.address(), sharedSocket, jar, folder);
    }

    private PoolerProcess(int number, InetSocketAddress listen, SharedSocket sharedSocket, Path jar, Path folder) {
        this.number = number;
        this.listen = listen;
        this.sharedSocket = sharedSocket;
        this.jar = jar;
        this.folder = folder;
    }

    /** From the next incarnation on, its system calls can be made to fail. */
    void injectFaults(SystemFaults injected) {
        faults = injected;
    }

    SystemFaults faults() {
        return faults;
    }

    /** The folder for temporary files that all its incarnations share. */
    Path temporary() {
        return folder.resolve(name() + ".tmp");
    }

    /** The admin endpoint of the newest incarnation. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** Starts a successor beside the running process, which serves on until {@link #terminateOld}. */
    void startSuccessor(JSONObject config, String discovery, Path settings) throws IOException {
        ProcessHandle running = process;
        start(config, discovery, settings);
        old = running;
    }

    /** SIGTERM to the process that has a successor; {@code then} runs once it has ended. */
    @SuppressWarnings("FutureReturnValueIgnored") // The runnable is the only use of it.
    void terminateOld(Runnable then) {
        old.onExit().thenRun(then);
        old.destroy();
    }

    /** SIGKILL to the process that has a successor, where it still runs. */
    void killOld() {
        if (old != null) {
            old.destroyForcibly();
        }
    }

    /** SIGKILL to the successor; the old process is the current one again. */
    void killSuccessor() {
        process.destroyForcibly();
        process = old;
        old = null;
    }

    String name() {
        return "p" + number;
    }

    /**
     * Starts a new incarnation, whose log is a file of its own.
     *
     * @param config the platform's configuration as it is now
     * @param discovery the address of the discovery agent
     * @param settings the operators' file; null for none
     */
    void start(JSONObject config, String discovery, Path settings) throws IOException {
        Path configFile = Files.writeString(folder.resolve(name() + ".json"), config.toString());
        Path log = folder.resolve(name() + "-" + ++incarnations + ".log");
        Map<String, String> environment = environment(configFile, discovery);
        process = sharedSocket == null
                ? startChild(command(settings), environment, log)
                : startOnSharedSocket(command(settings), environment, log);
    }

    private List<String> command(Path settings) {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        if (settings != null) {
            command.addAll(List.of("--settings", settings.toString()));
        }
        return command;
    }

    private Map<String, String> environment(Path configFile, String discovery) {
        Map<String, String> environment = new TreeMap<>();
        environment.put("GW_CONFIG", configFile.toString());
        environment.put("GW_NAME", name());
        environment.put("GW_LISTEN", hostAndPort(listen));
        environment.put("GW_DISCOVERY", discovery);
        if (faults != null) {
            environment.putAll(faults.environment());
        }
        return environment;
    }

    private ProcessHandle startChild(List<String> command, Map<String, String> environment, Path log)
            throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().remove(HOST_NAME); // A platform's environment has none, as a rule.
        builder.environment().putAll(environment);
        return builder.start().toHandle();
    }

    private ProcessHandle startOnSharedSocket(List<String> command, Map<String, String> environment, Path log)
            throws IOException {
        adminAddress = freePort(listen.getAddress());
        Files.createDirectories(temporary());
        environment.put("GW_CONTROL", hostAndPort(adminAddress));
        environment.put("GW_FD", "0");
        environment.put("TMPDIR", temporary().toString());
        return sharedSocket.start(command, environment, log);
    }

    /** A port that is free now. */
    static InetSocketAddress freePort(InetAddress host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, host)) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** A {@code SHOW} page of the newest process that accepts; blocks until it has come. */
    String page(String page) throws IOException {
        return ShowPage.read(listen, page);
    }

    /** SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    /** SIGTERM; {@code then} runs once the process has ended, on another thread. */
    @SuppressWarnings("FutureReturnValueIgnored") // The runnable is the only use of it.
    void terminate(Runnable then) {
        process.onExit().thenRun(then);
        process.destroy();
    }

    /** SIGSTOP or SIGCONT. */
    void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
    }

    /** Kills all its processes and waits until they have ended. */
    void end() throws InterruptedException {
        for (ProcessHandle handle : new ProcessHandle[] {old, process}) {
            if (handle != null) {
                handle.destroyForcibly();
                handle.onExit().join();
            }
        }
        if (sharedSocket != null) {
            sharedSocket.close();
        }
    }
}
