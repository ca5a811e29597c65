package frostreel.lab.processes;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.pg.Messages;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
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
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Two processes of the built program that run side by side as in an upgrade. Each has a socket of its own, so that
 * the test chooses which of them serves a request. The replica reports that it lags; no server checks freshness.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HandoverTest {
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f",
            "settings":{"zones":["dc"],"machineTypes":["m"],"zone":0,"roundS":0.005,
            "caps":{"maxAttempts":4,"connectTimeoutS":20,"idleCloseS":30},
            "classes":[{"name":"look","deadlineS":60,"onTimeS":50,"repeat":"retryable"},
            {"name":"post","deadlineS":60,"onTimeS":50,"repeat":"dedup","group":"cell","repeatWindowS":3}],
            "familyInfo":{"freshness":["session","write"],"listRole":"start","positions":true,
            "serverChecks":"silent","writeMarks":"remembered"},"rules":{}}}""";
    /** How long to wait after a kill; longer does no harm. */
    private static final long PAUSE_NS = 150_000_000;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final long beganMs = System.currentTimeMillis();
    /** While set, the servers leave writes unanswered, and count them here. */
    private volatile CountDownLatch unanswered;

    private JSONArray hosts;

    @TempDir
    Path dir;

    @BeforeEach
    void startServers() throws Exception {
        hosts = new JSONArray().put(server("primary")).put(server("replica"));
    }

    @AfterEach
    void endAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    /** A server that answers with its role and its position: now for the primary, before the test for the replica. */
    private JSONObject server(String role) throws IOException {
        ServerSocket listener = new ServerSocket(0, 9, InetAddress.getByName("127.0.0.1"));
        open.add(listener);
        daemon(() -> {
            while (true) {
                Socket connection = listener.accept();
                daemon(() -> serve(connection, role));
            }
        });
        return new JSONObject(Map.of(
                "host",
                role,
                "dial",
                "127.0.0.1:" + listener.getLocalPort(),
                "site",
                "dc",
                "class",
                "m",
                "block",
                2,
                "health",
                "Ready",
                "share",
                1.0,
                "role",
                role));
    }

    private void serve(Socket connection, String role) throws IOException {
        DataInputStream in = new DataInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        in.skipNBytes(in.readInt() - Integer.BYTES);
        out.write(Messages.startupResponse(1, 1));
        while (true) {
            in.readUnsignedByte();
            byte[] sql = in.readNBytes(in.readInt() - Integer.BYTES);
            if (unanswered != null && sql[0] == 'I') {
                unanswered.countDown();
                continue;
            }
            long positionMs = role.equals("primary") ? System.currentTimeMillis() : beganMs - 1_000;
            out.write(status("role", role));
            out.write(status("applied_ms", Long.toString(positionMs)));
            out.write(Messages.row("v", role));
            out.write(Messages.readyForQuery());
        }
    }

    private static byte[] status(String name, String value) {
        String text = name + "\0" + value + "\0";
        char length = (char) (text.length() + Integer.BYTES);
        return ("S\0\0\0" + length + text).getBytes(StandardCharsets.US_ASCII);
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                return; // The pooler closed the connection, or the test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A pooler process, and a client that is connected to it. */
    private final class PoolerAndClient {
        final SharedSocket socket = new SharedSocket("127.0.0.1");
        final ProcessHandle process;
        final Socket client;
        final DataInputStream in;
        final Path log = dir.resolve(open.size() + ".log");
        private int requests;

        PoolerAndClient() throws IOException {
            this("exec \"$@\"");
        }

        /** The shell command has the program's command line as its arguments. */
        PoolerAndClient(String shellCommand) throws IOException {
            open.add(0, this::end);
            Path config = Files.writeString(
                    dir.resolve("pooler.json"),
                    new JSONObject(CONFIG)
                            .put("known", new JSONObject(Map.of("seq", 1, "whole", true, "hosts", hosts)))
                            .toString());
            InetSocketAddress control = PoolerProcess.freePort(InetAddress.getByName("127.0.0.1"));
            process = socket.start(
                    List.of(
                            "/bin/sh",
                            "-c",
                            shellCommand,
                            "sh",
                            ProcessHandle.current().info().command().orElseThrow(),
                            "-jar",
                            ExperimentPlay.PROGRAM.toString(),
                            "serve"),
                    Map.of(
                            "GW_CONFIG",
                            config.toString(),
                            "GW_FD",
                            "0",
                            "GW_CONTROL",
                            PoolerProcess.hostAndPort(control),
                            "TMPDIR",
                            dir.toString()),
                    log);
            client = new Socket(socket.address().getAddress(), socket.address().getPort());
            in = new DataInputStream(client.getInputStream());
            client.getOutputStream().write(Messages.startup());
            nextAnswer();
        }

        /** The value of the next answer, or its error. */
        private String nextAnswer() throws IOException {
            String value = "";
            while (true) {
                int type = in.readUnsignedByte();
                byte[] body = in.readNBytes(in.readInt() - Integer.BYTES);
                switch (type) {
                    case 'D' -> value = new String(body, 6, body.length - 6, StandardCharsets.US_ASCII);
                    case 'E' -> value = new String(body, StandardCharsets.US_ASCII);
                    case 'Z' -> {
                        return value;
                    }
                    default -> {}
                }
            }
        }

        void send(String sql, String comment) throws IOException {
            String id = Integer.toHexString(hashCode()) + "x" + ++requests;
            client.getOutputStream()
                    .write(Messages.query((sql + " /* id=" + id + ",d=50000,cluster=2," + comment + " */\0")
                            .getBytes(StandardCharsets.US_ASCII)));
        }

        void sendWrite(String session) throws IOException {
            send("INSERT INTO records (k, v) VALUES ('" + session + "', '\\x9f') RETURNING v", "c=post,k=5c0f");
        }

        String read(String session) throws IOException {
            send("SELECT v FROM records WHERE k = '" + session + "'", "c=look");
            return nextAnswer();
        }

        void end() throws Exception {
            process.destroyForcibly();
            process.onExit().join();
            socket.close();
        }
    }

    @Test
    void sessionsSeeTheirWritesThroughTheOtherProcessEvenAfterAKill() throws Exception {
        PoolerAndClient before = new PoolerAndClient();
        before.sendWrite("7f3a");
        assertThat(before.nextAnswer()).isEqualTo("primary");
        PoolerAndClient after = new PoolerAndClient();
        assertThat(after.read("aaaa")).as("a session without writes").isEqualTo("replica");
        assertThat(after.read("7f3a")).as("written through the old one").isEqualTo("primary");
        after.sendWrite("7f3b");
        assertThat(after.nextAnswer()).isEqualTo("primary");
        assertThat(before.read("7f3b")).as("written through the new one").isEqualTo("primary");
        unanswered = new CountDownLatch(1);
        before.sendWrite("7f3c");
        unanswered.await();
        before.process.destroyForcibly();
        before.process.onExit().join();
        assertThat(after.read("7f3a")).as("answered by the killed process").isEqualTo("primary");
        long killedNs = System.nanoTime();
        while (System.nanoTime() - killedNs < PAUSE_NS) {
            Thread.onSpinWait();
        }
        assertThat(after.read("7f3c")).as("in flight at the kill").isEqualTo("primary");
    }

    /** The limit on the size of files makes a write fail as on a full disk. */
    @Test
    void servesWithoutTheCommitTableWhereItsFileCannotGrow() throws Exception {
        PoolerAndClient full = new PoolerAndClient("ulimit -f 40; exec \"$@\"");
        assertThat(full.read("aaaa"))
                .as("any session may have commits through the other process")
                .isEqualTo("primary");
        full.sendWrite("7f3a");
        assertThat(full.nextAnswer()).isEqualTo("primary");
        assertThat(full.read("7f3a")).isEqualTo("primary");
        assertThat(Files.readString(full.log))
                .containsOnlyOnce("commits of peer processes unknown: java.io.IOException: File too large");
        try (Stream<Path> left = Files.list(dir.resolve("frostreel-orders"))) {
            assertThat(left.map(file -> file.getFileName().toString()))
                    .as("no incomplete file is left")
                    .containsExactly("clock");
        }
        assertThat(new PoolerAndClient().read("aaaa"))
                .as("the next process can create the file")
                .isEqualTo("replica");
    }
}
