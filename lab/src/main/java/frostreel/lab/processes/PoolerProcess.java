package frostreel.lab.processes;

import frostreel.pg.Messages;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.json.JSONObject;

/** A process of the built program, under one name and address over all its incarnations. */
final class PoolerProcess {
    private static final List<String> JAVA = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:-UsePerfData");
    private static final int PAGE_MS = 20_000;
    private static final String HOST_NAME = "HOSTNAME";
    final int number;
    final InetSocketAddress listen;
    private final Path jar;
    private final Path folder;
    /** Null where each incarnation listens by itself, and operators do not call. */
    private final SharedSocket sharedSocket;
    /** Null where none of its system calls is to fail. */
    private SystemFaults faults;

    private ProcessHandle process;
    /** The old process during an upgrade; null at other times. */
    private ProcessHandle old;

    private int incarnations;
    /** Where operators call the newest incarnation. */
    private InetSocketAddress adminAddress;

    PoolerProcess(int number, InetSocketAddress listen, Path jar, Path folder) {
        this(number, listen, null, jar, folder);
    }

    /** With a socket that all incarnations share: operators call, and a successor may be started beside it. */
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

    /** Where operators call the newest incarnation. */
    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    /** Starts a successor beside the running process, which goes on until {@link #terminateOld}. */
    void startSuccessor(JSONObject config, String discovery, Path settings) throws IOException {
        ProcessHandle running = process;
        start(config, discovery, settings);
        old = running;
    }

    /** SIGTERM to the process that has a successor; {@code then} runs once it has ended. */
    @SuppressWarnings("FutureReturnValueIgnored") // The runnable is all that is wanted of it.
    void terminateOld(Runnable then) {
        old.onExit().thenRun(then);
        old.destroy();
    }

    /** SIGKILL to the process that has a successor, where it has not ended; whether it was there. */
    boolean killOld() {
        return old != null && old.destroyForcibly();
    }

    /** SIGKILL to the successor; the old process is the one that runs again. */
    void killSuccessor() {
        process.destroyForcibly();
        process = old;
        old = null;
    }

    String name() {
        return "p" + number;
    }

    /**
     * Starts it, with the platform's configuration as it is now and the operators' file, null for none; its
     * log goes to a file of its own.
     */
    void start(JSONObject config, String discovery, Path settings) throws IOException {
        Path file = folder.resolve(name() + ".json");
        Files.writeString(file, config.toString());
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(JAVA);
        command.addAll(List.of("-jar", jar.toString(), "serve"));
        if (settings != null) {
            command.addAll(List.of("--settings", settings.toString()));
        }
        Path log = folder.resolve(name() + "-" + ++incarnations + ".log");
        Map<String, String> environment = new TreeMap<>(Map.of(
                "GW_CONFIG",
                file.toString(),
                "GW_NAME",
                name(),
                "GW_LISTEN",
                hostAndPort(listen),
                "GW_DISCOVERY",
                discovery));
        if (faults != null) {
            environment.putAll(faults.environment());
        }
        if (sharedSocket != null) {
            adminAddress = freePort(listen.getAddress());
            Files.createDirectories(temporary());
            environment.putAll(Map.of(
                    "GW_CONTROL",
                    hostAndPort(adminAddress),
                    "GW_FD",
                    "0",
                    "TMPDIR",
                    temporary().toString()));
            process = sharedSocket.start(command, environment, log);
            return;
        }
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().remove(HOST_NAME); // A platform's environment has none, as a rule.
        builder.environment().putAll(environment);
        process = builder.start().toHandle();
    }

    /** A port that nobody has now. */
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

    /** A page that it shows on a connection of its own, as on-call staff ask; waits for it. */
    String page(String page) throws IOException {
        try (Socket staff = new Socket(listen.getAddress(), listen.getPort())) {
            staff.setSoTimeout(PAGE_MS);
            DataInputStream in = new DataInputStream(staff.getInputStream());
            staff.getOutputStream().write(Messages.startup());
            answer(in);
            staff.getOutputStream().write(Messages.query(("SHOW " + page + "\0").getBytes(StandardCharsets.US_ASCII)));
            return answer(in);
        }
    }

    /** The text of an answer's only row, empty where it has none. */
    private static String answer(DataInputStream in) throws IOException {
        String text = "";
        for (int type = in.readUnsignedByte(); ; type = in.readUnsignedByte()) {
            byte[] body = in.readNBytes(in.readInt() - Integer.BYTES);
            if (type == 'D') {
                int head = Short.BYTES + Integer.BYTES;
                text = new String(body, head, body.length - head, StandardCharsets.UTF_8);
            } else if (type == 'Z') {
                return text;
            }
        }
    }

    /** SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    /** SIGTERM; {@code then} runs once it has ended, on a thread of its own. */
    @SuppressWarnings("FutureReturnValueIgnored") // The runnable is all that is wanted of it.
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
