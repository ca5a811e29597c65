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
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * Processes of the built program that run side by side as in an upgrade, and the servers of one replica group. Each
 * process has a socket of its own, so that the test chooses which of them serves a request. Replicas report that they
 * lag; no server checks freshness.
 */
final class UpgradeRig {
    private static final String CONFIG = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f",
            "settings":{"zones":["dc"],"machineTypes":["m"],"zone":0,"roundS":0.005,
            "caps":{"maxAttempts":4,"connectTimeoutS":20,"idleCloseS":30},
            "classes":[{"name":"look","deadlineS":60,"onTimeS":50,"repeat":"retryable"},
            {"name":"post","deadlineS":60,"onTimeS":50,"repeat":"dedup","group":"cell","repeatWindowS":3}],
            "familyInfo":{"freshness":["session","write"],"listRole":"start","positions":true,
            "serverChecks":"silent","writeMarks":"remembered"},"rules":{}}}""";
    private static final String HOST = "{'site':'dc','class':'m','block':2,'health':'Ready','share':1.0}";
    private static final String PRIMARY = "primary";
    private static final String REPLICA = "replica";
    private static final String NOT_PRIMARY = "25006";

    private final Path dir;
    private final List<AutoCloseable> open = new ArrayList<>();
    private final JSONArray hosts = new JSONArray();
    private final long beganMs = System.currentTimeMillis();
    private volatile CountDownLatch unanswered;

    /** {@code dir}: the folder that the processes share. */
    UpgradeRig(Path dir) {
        this.dir = dir;
    }

    /** From now on the servers leave writes unanswered; returns a latch that the first one opens. */
    CountDownLatch leaveWritesUnanswered() {
        unanswered = new CountDownLatch(1);
        return unanswered;
    }

    /** Ends all processes and servers. */
    void endAll() throws Exception {
        for (AutoCloseable each : open) {
            each.close();
        }
        assertThat(ProcessHandle.current().children()).isEmpty();
    }

    /** A server that answers with its name, its role and its position: now for a primary, long ago for a replica. */
    final class DatabaseServer {
        private final String name;
        private volatile String role;

        private DatabaseServer(String name, String role) {
            this.name = name;
            this.role = role;
        }

        void becomePrimary() {
            role = PRIMARY;
        }

        void becomeReplica() {
            role = REPLICA;
        }

        private void serve(Socket connection) throws IOException {
            DataInputStream in = new DataInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            in.skipNBytes(in.readInt() - Integer.BYTES);
            out.write(Messages.startupResponse(1, 1));
            while (true) {
                in.readUnsignedByte();
                byte[] sql = in.readNBytes(in.readInt() - Integer.BYTES);
                boolean isWrite = sql[0] == 'I';
                if (unanswered != null && isWrite) {
                    unanswered.countDown();
                    continue;
                }
                String present = role;
                boolean isPrimary = present.equals(PRIMARY);
                long positionMs = isPrimary ? System.currentTimeMillis() : beganMs - 1_000;
                out.write(status("role", present));
                out.write(status("applied_ms", Long.toString(positionMs)));
                out.write(
                        isWrite && !isPrimary
                                ? Messages.error(false, NOT_PRIMARY, "not the primary", null)
                                : Messages.row("v", name));
                out.write(Messages.readyForQuery());
            }
        }
    }

    private static byte[] status(String name, String value) {
        String text = name + "\0" + value + "\0";
        char length = (char) (text.length() + Integer.BYTES);
        return ("S\0\0\0" + length + text).getBytes(StandardCharsets.US_ASCII);
    }

    /** Starts a server that is listed as primary or not, and is the primary or not. */
    DatabaseServer startServer(String name, boolean isListedAsPrimary, boolean isPrimary) throws IOException {
        DatabaseServer server = new DatabaseServer(name, isPrimary ? PRIMARY : REPLICA);
        ServerSocket listener = new ServerSocket(0, 9, InetAddress.getByName("127.0.0.1"));
        open.add(listener);
        daemon(() -> {
            while (true) {
                Socket connection = listener.accept();
                daemon(() -> server.serve(connection));
            }
        });
        hosts.put(new JSONObject(HOST)
                .put("host", name)
                .put("dial", "127.0.0.1:" + listener.getLocalPort())
                .put("role", isListedAsPrimary ? PRIMARY : REPLICA));
        return server;
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

    /** Starts a process of the pooler. */
    PoolerAndClient startPooler() throws IOException {
        return startPooler("exec \"$@\"");
    }

    /** As {@link #startPooler()}, by a shell command that has the program's command line as its arguments. */
    PoolerAndClient startPooler(String shellCommand) throws IOException {
        return new PoolerAndClient(shellCommand);
    }

    /** A pooler process, and a client that is connected to it. */
    final class PoolerAndClient {
        final ProcessHandle process;
        final Path log = dir.resolve(open.size() + ".log");
        private final SharedSocket socket = new SharedSocket("127.0.0.1");
        private final Socket client;
        private final DataInputStream in;
        private int requests;

        private PoolerAndClient(String shellCommand) throws IOException {
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

        /** Returns the value of the next answer, or its error. */
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

        private String nextId() {
            return Integer.toHexString(hashCode()) + "x" + ++requests;
        }

        private void send(String id, String sql, String comment) throws IOException {
            client.getOutputStream()
                    .write(Messages.query((sql + " /* id=" + id + ",d=50000,cluster=2," + comment + " */\0")
                            .getBytes(StandardCharsets.US_ASCII)));
        }

        void sendWrite(String session) throws IOException {
            sendWrite(session, nextId());
        }

        /** Sends a write with an id that another one may have had. */
        void sendWrite(String session, String id) throws IOException {
            send(id, "INSERT INTO records (k, v) VALUES ('" + session + "', '\\x9f') RETURNING v", "c=post,k=5c0f");
        }

        /** Writes, and returns the name of the server that answers. */
        String write(String session) throws IOException {
            sendWrite(session);
            return nextAnswer();
        }

        /** As {@link #write(String)}, with an id that another write may have had. */
        String write(String session, String id) throws IOException {
            sendWrite(session, id);
            return nextAnswer();
        }

        /** Closes the client's connection. */
        void disconnectClient() throws IOException {
            client.close();
        }

        /** Reads what a session wrote, and returns the name of the server that answers. */
        String read(String session) throws IOException {
            send(nextId(), "SELECT v FROM records WHERE k = '" + session + "'", "c=look");
            return nextAnswer();
        }

        /** Asks the process to end, by SIGTERM. */
        void terminate() {
            process.destroy();
        }

        /** Kills the process. */
        void kill() {
            process.destroyForcibly();
            process.onExit().join();
        }

        private void end() throws Exception {
            kill();
            socket.close();
        }
    }
}
