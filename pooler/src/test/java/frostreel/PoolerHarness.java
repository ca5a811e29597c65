package frostreel;

import frostreel.config.Config;
import frostreel.control.CommandExecutor;
import frostreel.operation.ServingLifecycle;
import frostreel.settings.OperatorSettings;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** A pooler between scripted peers on loopback; every wait is for an event, bounded only against a hang. */
final class PoolerHarness {
    static final int PATIENCE_S = 20;
    /** Of 128 descriptors 64 are the program's own, and usual clients leave servers a quarter of the rest. */
    static final int MAX_CLIENTS = 48;
    /** Of 128 descriptors, usual clients hold a third at most. */
    static final int USUAL_CLIENTS = 42;
    /** The decisions let any number wait, so that clients can hold all places by requests in hand. */
    boolean unlimitedConcurrency;
    /** Beyond three eighths of the places of usual clients, whoever waits unsent makes room. */
    static final int MOST_WAITING = USUAL_CLIENTS * 3 / 8;
    /** Of 128 descriptors 64 are the program's own, and usual clients leave servers a quarter of the rest. */
    static final int MAX_SERVERS = 16;

    static final String SETTINGS = """
            {"zones":["dc"],"machineTypes":["m"],"zone":0,"roundS":0.005,
            "caps":{"maxAttempts":4,"probes":true,"cancel":true,"retryAfter":true,"maxRetryAfterS":2,
            "connectTimeoutS":5,"idleCloseS":30,"streamsPerConn":1,"maxOpen":1000},
            "classes":[{"name":"look","deadlineS":10,"onTimeS":5,"repeat":"retryable","worth":1,
            "lateWorth":0.5},
            {"name":"post","deadlineS":10,"onTimeS":5,"repeat":"dedup","group":"cell","repeatWindowS":3,
            "worth":2}],
            "familyInfo":{"freshness":["any","write"],"listRole":"late",
            "positions":true,"serverChecks":"wait",
            "holdsForS":0.05,"writeMarks":"carried","baseTimeS":0},
            "stats":{"how":"piggyback","names":["x0","x1","load_share"]},
            "rules":{"answerSlackS":0.02,"coldFrom":0.2,"fallMultiple":3,"fallS":2,"stopSendingWithinS":1,
            "warmAfterS":15}}""";

    /** What a scripted peer does with one message, on the connection it came by. */
    interface Script {
        void answer(String text, Link link) throws IOException;
    }

    /** One connection, seen by a scripted peer or by a client. */
    static final class Link implements AutoCloseable {
        final Socket socket;
        final DataInputStream in;
        final DataOutputStream out;

        Link(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_S * 1000);
            in = new DataInputStream(socket.getInputStream());
            out = new DataOutputStream(socket.getOutputStream());
        }

        void send(byte[]... parts) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] part : parts) {
                all.writeBytes(part);
            }
            out.write(all.toByteArray());
        }

        /** Takes the next message; its type and its text, fields split by '|'. */
        String take() throws IOException {
            char type = (char) in.readUnsignedByte();
            byte[] body = in.readNBytes(in.readInt() - 4);
            return type + new String(body, StandardCharsets.ISO_8859_1).replace('\0', '|');
        }

        /** An answer up to ReadyForQuery, without it. */
        List<String> takeAnswer() throws IOException {
            List<String> messages = new ArrayList<>();
            for (String message = take(); !message.startsWith("Z"); message = take()) {
                messages.add(message);
            }
            return messages;
        }

        List<String> ask(String sql) throws IOException {
            send(query(sql));
            return takeAnswer();
        }

        /** Whether the other side ends the connection. */
        boolean endsNext() throws IOException {
            try {
                return in.read() < 0;
            } catch (java.net.SocketException reset) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A server or discovery, played by a script. */
    static final class Peer {
        final ServerSocket listener;
        final BlockingQueue<String> received = new LinkedBlockingQueue<>();
        final BlockingQueue<String> closedConnections = new LinkedBlockingQueue<>();
        final AtomicInteger connections = new AtomicInteger();
        volatile Script script;
        /** What a database does with the startup message. */
        volatile Script handshake = (text, link) -> link.send(bytes('R', new byte[4]), READY);

        private final Thread acceptor;

        Peer(boolean database, Script script) throws IOException {
            this(database, script, 0);
        }

        /** At that port; 0 for any that is free. */
        Peer(boolean database, Script script, int port) throws IOException {
            this.script = script;
            listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
            acceptor = spawn(() -> {
                while (true) {
                    Link link = new Link(listener.accept());
                    connections.incrementAndGet();
                    spawn(() -> {
                        try (link) {
                            serve(link, database);
                        } finally {
                            closedConnections.add("closed");
                        }
                    });
                }
            });
        }

        private void serve(Link link, boolean database) throws IOException {
            link.socket.setSoTimeout(0);
            if (database) {
                link.in.readNBytes(link.in.readInt() - 4);
                handshake.answer("", link);
            }
            while (true) {
                String text = database ? link.take() : requestLine(link.in);
                if (!text.equals("QSHOW load|")) { // Probes come when the module likes.
                    received.add(text);
                }
                script.answer(text, link);
            }
        }

        /** The request line, once its head has come. */
        private static String requestLine(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("ended");
                }
                head.append((char) next);
            }
            return head.substring(0, head.indexOf("\r\n"));
        }

        String next() throws InterruptedException {
            return received.poll(PATIENCE_S, TimeUnit.SECONDS);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        /** From its return on, connections are refused: while its thread accepts, the port stays open. */
        void close() throws Exception {
            listener.close();
            acceptor.join();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static final byte[] READY = bytes('Z', new byte[] {'I'});
    final List<Peer> peers = new ArrayList<>();
    final BlockingQueue<String> lists = new LinkedBlockingQueue<>();
    /** One for each list that discovery has written. */
    final BlockingQueue<String> sentLists = new LinkedBlockingQueue<>();

    final Peer discovery;
    Pooler pooler;
    OperatorSettings operators = OperatorSettings.DEFAULT;
    /** How long the list known from the start waits for discovery; a test of that wait makes it endless. */
    long configuredListPatienceUs = EndpointSource.CONFIGURED_LIST_PATIENCE_US;
    /** How long clients are waited for whose connections were ended; the same. */
    long lingerUs = ServingLifecycle.LINGER_US;
    /** The settings of the pooler that is started. */
    String settings = SETTINGS;

    PoolerHarness() throws IOException {
        discovery = discovery(lists);
    }

    /** Answers each call with the next of the lists, and waits for one. */
    Peer discovery(BlockingQueue<String> lists) throws IOException {
        Peer peer = new Peer(false, (text, link) -> {
            try {
                link.send(http(lists.take()));
                sentLists.add("sent");
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        });
        peers.add(peer);
        return peer;
    }

    static Thread spawn(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                return; // The peer's other side went away, or the test is over.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits in a peer's script. */
    static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    Peer server(Script script) throws IOException {
        Peer peer = new Peer(true, script);
        peers.add(peer);
        return peer;
    }

    /** Something that is asked over HTTP. */
    Peer agent(Script script) throws IOException {
        Peer peer = new Peer(false, script);
        peers.add(peer);
        return peer;
    }

    static byte[] http(String head, String body) {
        return ("HTTP/1.1 200 OK\r\n" + head + "\r\n" + body).getBytes(StandardCharsets.UTF_8);
    }

    static byte[] http(String body) {
        return http("Content-Length: " + body.length() + "\r\n", body);
    }

    /** The id of the request that a peer received; a text without one stands for itself. */
    static String requestId(String received) {
        return received.replaceAll(".*id=(\\w+),.*", "$1").replace("|", "");
    }

    /** The time left, in milliseconds, that the request which a peer received states. */
    static int remainingMs(String received) {
        return Integer.parseInt(received.replaceAll(".*,d=(\\d+),.*", "$1").replace("|", ""));
    }

    /** The value of a counter. */
    long counter(String name) {
        return Long.parseLong(pooler.counters().replaceAll(".* " + name + "=(\\d+) .*", "$1"));
    }

    /** Waits until the counters show this. */
    void awaitCounter(String counter) {
        while (!pooler.counters().contains(" " + counter + " ")) {
            Thread.onSpinWait();
        }
    }

    static String host(String id, Peer server, String role, String health) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + server.address()
                + "\",\"site\":\"dc\",\"class\":\"m\",\"block\":2,"
                + "\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0,\"role\":\"" + role + "\"}";
    }

    static String list(int seq, boolean whole, String... hosts) {
        return "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    static Map<String, String> environment(String json) throws IOException {
        Path file = Files.createTempFile("frostreel", ".json");
        file.toFile().deleteOnExit();
        return Map.of("GW_CONFIG", Files.writeString(file, json).toString());
    }

    /** Starts the pooler knowing these; the same is discovery's first answer. */
    void start(String... hosts) throws Exception {
        lists.add(list(1, true, hosts));
        startSilent(hosts);
        untilReady();
    }

    void startSilent(String... hosts) throws Exception {
        Config config = Config.load(environment(configured(discovery.address(), hosts)));
        pooler = new Pooler(unlimitedConcurrency ? withUnlimitedConcurrency(config) : config, operators, configuredListPatienceUs, lingerUs);
    }

    private static Config withUnlimitedConcurrency(Config config) {
        return new Config(
                config.name(),
                config.listen(),
                config.control(),
                config.inherits(),
                config.orders(),
                config.discovery(),
                config.maxClients(),
                config.usualClients(),
                config.maxServerConnections(),
                config.maxOpen(),
                config.known(),
                config.zones(),
                config.kinds(),
                config.settings().onSockets(0),
                config.source());
    }

    /** SIGHUP, with a file that names another discovery. */
    void reload(Peer discovery) throws Exception {
        pooler.reload(Config.load(environment(configured(discovery.address()))));
    }

    private String configured(String discovery, String... hosts) {
        return configuration(discovery, hosts).replace(SETTINGS, settings);
    }

    /**
     * The I/O thread stands still meanwhile, in the middle of what it found on its sockets; all that is due
     * or has come by then, it finds at once behind it.
     */
    void whileLoopIsBlocked(Task task) throws Exception {
        whileLoopIsBlocked(CommandExecutor.class, () -> spawn(() -> call("STATUS")), task); // That is logged.
    }

    /** The same at what a class next logs, after this cause of it. */
    void whileLoopIsBlocked(Class<?> logger, Task cause, Task task) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        Handler stop = new StreamHandler() {
            @Override
            public void publish(LogRecord entry) {
                blocked.countDown();
                try {
                    release.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        Logger log = Logger.getLogger(logger.getName());
        log.addHandler(stop);
        try {
            cause.run();
            blocked.await();
            task.run();
        } finally {
            log.removeHandler(stop);
            release.countDown();
        }
    }

    /** Returns once so long a time has passed since then, by {@link System#nanoTime}; longer is as good. */
    static void awaitElapsed(long sinceNanos, long ms) {
        while (System.nanoTime() - sinceNanos < ms * 1_000_000) {
            Thread.onSpinWait();
        }
    }

    static String configuration(String discovery, String... hosts) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + discovery
                + "\",\"control\":\"127.0.0.1:0\",\"seed\":\"8c1f\",\"limits\":{\"sockets\":128},"
                + "\"known\":" + list(0, true, hosts) + ",\"settings\":" + SETTINGS + "}";
    }

    void untilReady() throws Exception {
        try (Link client = client()) {
            while (!client.ask("").equals(List.of("I"))) {
                Thread.onSpinWait();
            }
        }
    }

    Link client() throws Exception {
        Link client = new Link(connect());
        client.send(startup());
        client.takeAnswer();
        return client;
    }

    /** A connection to a process that listens at this port. */
    static Link connect(int port) throws IOException {
        return new Link(new Socket("127.0.0.1", port));
    }

    /** A client, past its startup, of a process that listens at this port. */
    static Link client(int port) throws IOException {
        Link client = connect(port);
        client.send(startup());
        client.takeAnswer();
        return client;
    }

    Socket connect() throws Exception {
        InetSocketAddress address = pooler.address();
        return new Socket(address.getAddress(), address.getPort());
    }

    /** One operator's call: its line, and the line that answers it. */
    String call(String command) throws Exception {
        InetSocketAddress address = pooler.callsAt();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(PATIENCE_S * 1000);
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    static byte[] startup() {
        byte[] words = "\0\3\0\0user\0svc\0database\0main\0\0".getBytes(StandardCharsets.ISO_8859_1);
        byte[] out = new byte[words.length + 4];
        out[3] = (byte) out.length;
        System.arraycopy(words, 0, out, 4, words.length);
        return out;
    }

    static byte[] bytes(char type, byte[] body) {
        int length = body.length + 4;
        byte[] out = new byte[length + 1];
        byte[] head = {(byte) type, (byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length};
        System.arraycopy(head, 0, out, 0, head.length);
        System.arraycopy(body, 0, out, head.length, body.length);
        return out;
    }

    static byte[] bytes(char type, String text) {
        return bytes(type, text.replace('|', '\0').getBytes(StandardCharsets.ISO_8859_1));
    }

    static byte[] query(String sql) {
        return bytes('Q', sql + "|");
    }

    static String look(String id, int patienceMs) {
        return "SELECT v FROM records WHERE k = '7f3a' /* id=" + id + ",c=look,d=" + patienceMs + ",cluster=2 */";
    }

    static String post(String id, int patienceMs) {
        return "INSERT INTO records (k, v) VALUES ('7f3a', '\\x9f03') RETURNING v /* id=" + id + ",c=post,d="
                + patienceMs + ",k=5c0f,cluster=2 */";
    }

    /** A server's row with its role, without ReadyForQuery. */
    static byte[] row(String value, String role) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(bytes('T', "\0\1v|" + "|".repeat(18)));
        out.writeBytes(
                bytes('D', "\0\1" + "\0\0" + (char) (value.length() >> 8) + (char) (value.length() & 255) + value));
        out.writeBytes(bytes('C', "SELECT 1|"));
        out.writeBytes(bytes('S', "role|" + role + "|"));
        out.writeBytes(bytes('S', "applied_ms|" + System.currentTimeMillis() + "|"));
        return out.toByteArray();
    }

    static byte[] error(String code) {
        return bytes('E', "SERROR|C" + code + "|Mno||");
    }

    static Script rows(String value, String role) {
        return (text, link) -> link.send(row(value, role), READY);
    }

    static Script errors(String code, String role) {
        return (text, link) -> link.send(error(code), bytes('S', "role|" + role + "|"), READY);
    }

    void close() throws Exception {
        for (Peer peer : peers) {
            peer.close();
        }
        if (pooler != null) {
            pooler.stop();
            pooler.close();
        }
    }
}
