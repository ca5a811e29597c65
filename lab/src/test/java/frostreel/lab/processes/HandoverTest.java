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
 * Two processes of the built program as an upgrade has them, but that each has a socket of its own, so that
 * the test says which of them a request goes through. The replica lags, and says so; nothing checks it.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HandoverTest {
    private static final Path PROGRAM =
            Path.of("../pooler/target/frostreel.jar").toAbsolutePath();
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f",
            "settings":{"zones":["dc"],"machineTypes":["m"],"zone":0,"roundS":0.005,
            "caps":{"maxAttempts":4,"connectTimeoutS":20,"idleCloseS":30},
            "classes":[{"name":"look","deadlineS":60,"onTimeS":50,"repeat":"retryable"},
            {"name":"post","deadlineS":60,"onTimeS":50,"repeat":"dedup","group":"cell","repeatWindowS":3}],
            "familyInfo":{"freshness":["session","write"],"listRole":"start","positions":true,
            "serverChecks":"silent","writeMarks":"remembered"},"rules":{}}}""";
    private final List<AutoCloseable> open = new ArrayList<>();
    private final long beganMs = System.currentTimeMillis();
    /** Where it is set, writes have come there and get no answer. */
    private volatile CountDownLatch held;

    private JSONArray hosts;

    @TempDir
    Path dir;

    @BeforeEach
    void raise() throws Exception {
        hosts = new JSONArray().put(server("primary")).put(server("replica"));
    }

    @AfterEach
    void strike() throws Exception {
        for (AutoCloseable o : open) {
            o.close();
        }
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    /** A server that answers with its role, and with how far it is: now, or not since the test began. */
    private JSONObject server(String role) throws IOException {
        ServerSocket listener = new ServerSocket(0, 9, InetAddress.getByName("127.0.0.1"));
        open.add(listener);
        daemon(() -> {
            while (true) {
                Socket link = listener.accept();
                daemon(() -> serve(link, role));
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

    private void serve(Socket link, String role) throws IOException {
        DataInputStream in = new DataInputStream(link.getInputStream());
        OutputStream out = link.getOutputStream();
        in.skipNBytes(in.readInt() - Integer.BYTES);
        out.write(Messages.welcome(1, 1));
        while (true) {
            in.readUnsignedByte();
            byte[] sql = in.readNBytes(in.readInt() - Integer.BYTES);
            if (held != null && sql[0] == 'I') {
                held.countDown();
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
                return; // The other side has gone, or the test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A process, and one client of it. */
    private final class Life {
        final SharedSocket socket = new SharedSocket("127.0.0.1");
        final ProcessHandle process;
        final Socket client;
        final DataInputStream in;
        final Path log = dir.resolve(open.size() + ".log");
        private int asked;

        Life() throws IOException {
            this("exec \"$@\"");
        }

        /** The shell's line has the program's command as its words. */
        Life(String line) throws IOException {
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
                            line,
                            "sh",
                            ProcessHandle.current().info().command().orElseThrow(),
                            "-jar",
                            PROGRAM.toString(),
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
            answer();
        }

        /** The value of the answer, or its error. */
        private String answer() throws IOException {
            String value = "";
            for (int type = 0; type != 'Z'; ) {
                type = in.readUnsignedByte();
                byte[] body = in.readNBytes(in.readInt() - Integer.BYTES);
                value = type == 'D'
                        ? new String(body, 6, body.length - 6, StandardCharsets.US_ASCII)
                        : type == 'E' ? new String(body, StandardCharsets.US_ASCII) : value;
            }
            return value;
        }

        void send(String sql, String comment) throws IOException {
            String id = Integer.toHexString(hashCode()) + "x" + ++asked;
            client.getOutputStream()
                    .write(Messages.query((sql + " /* id=" + id + ",d=50000,cluster=2," + comment + " */\0")
                            .getBytes(StandardCharsets.US_ASCII)));
        }

        void post(String session) throws IOException {
            send("INSERT INTO records (k, v) VALUES ('" + session + "', '\\x9f') RETURNING v", "c=post,k=5c0f");
        }

        String look(String session) throws IOException {
            send("SELECT v FROM records WHERE k = '" + session + "'", "c=look");
            return answer();
        }

        void end() throws Exception {
            process.destroyForcibly();
            process.onExit().join();
            socket.close();
        }
    }

    @Test
    void whatWentThroughOneProcessIsSeenThroughTheOtherAlsoAfterItsEnd() throws Exception {
        Life before = new Life();
        before.post("7f3a");
        assertThat(before.answer()).isEqualTo("primary");
        Life after = new Life();
        assertThat(after.look("aaaa")).as("a session that wrote nothing").isEqualTo("replica");
        assertThat(after.look("7f3a")).as("written through the old one").isEqualTo("primary");
        after.post("7f3b");
        assertThat(after.answer()).isEqualTo("primary");
        assertThat(before.look("7f3b")).as("written through the new one").isEqualTo("primary");
        held = new CountDownLatch(1);
        before.post("7f3c");
        held.await();
        before.process.destroyForcibly();
        before.process.onExit().join();
        assertThat(after.look("7f3a")).as("answered by one that was killed").isEqualTo("primary");
        long since = System.nanoTime();
        while (System.nanoTime() - since < 150_000_000) { // Longer is as good.
            Thread.onSpinWait();
        }
        assertThat(after.look("7f3c")).as("in hand at its end").isEqualTo("primary");
    }

    /** The system ends each writing to a file beyond that size as it does on a disk that is full. */
    @Test
    void whereTheFileCannotBeMadeAsLargeAsNeededItServesAsWithNoFolder() throws Exception {
        Life full = new Life("ulimit -f 40; exec \"$@\"");
        assertThat(full.look("aaaa")).as("anyone's commits may be the other's").isEqualTo("primary");
        full.post("7f3a");
        assertThat(full.answer()).isEqualTo("primary");
        assertThat(full.look("7f3a")).isEqualTo("primary");
        assertThat(Files.readString(full.log))
                .containsOnlyOnce("commits of peer processes unknown: java.io.IOException: File too large");
        try (Stream<Path> left = Files.list(dir.resolve("frostreel-orders"))) {
            assertThat(left.map(f -> f.getFileName().toString()))
                    .as("nothing half made is left")
                    .containsExactly("clock");
        }
        assertThat(new Life().look("aaaa")).as("the next one has room").isEqualTo("replica");
    }
}
