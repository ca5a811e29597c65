package frostreel.lab.processes;

import frostreel.pg.Messages;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONObject;

/** A process of the built program, under one name and address over all its lives. */
final class PoolerProcess {
    private static final List<String> JAVA = List.of("-Djava.net.preferIPv4Stack=true", "-Xmx64m",
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:-UsePerfData");
    private static final int PAGE_MS = 20_000;
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

    /** A page that it shows on a connection of its own, as on-call staff ask; waits for it. */
    String page(String page) throws IOException {
        try (Socket staff = new Socket(listen.getAddress(), listen.getPort())) {
            staff.setSoTimeout(PAGE_MS);
            DataInputStream in = new DataInputStream(staff.getInputStream());
            staff.getOutputStream().write(Messages.startup());
            answer(in);
            staff.getOutputStream().write(Messages.query(("SHOW " + page + "\0").getBytes(
                    StandardCharsets.US_ASCII)));
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
