package frostreel;

import frostreel.config.Config;
import frostreel.control.CommandExecutor;
import frostreel.operation.ServingLifecycle;
import frostreel.settings.OperatorSettings;
import java.io.BufferedReader;
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
    boolean allMayWait;
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
            for (String m = take(); !m.startsWith("Z"); m = take()) {
                messages.add(m);
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
        final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        final BlockingQueue<String> ended = new LinkedBlockingQueue<>();
        final AtomicInteger links = new AtomicInteger();
        volatile Script script;
        /** What a database does with the startup message. */
        volatile Script welcome = (text, link) -> link.send(bytes('R', new byte[4]), READY);

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
                    links.incrementAndGet();
                    spawn(() -> {
                        try (link) {
                            serve(link, database);
                        } finally {
                            ended.add("ended");
                        }
                    });
                }
            });
        }

        private void serve(Link link, boolean database) throws IOException {
            link.socket.setSoTimeout(0);
            if (database) {
                link.in.readNBytes(link.in.readInt() - 4);
                welcome.answer("", link);
            }
            while (true) {
                String text = database ? link.take() : line(link.in);
                if (!text.equals("QSHOW load|")) { // Probes come when the module likes.
                    heard.add(text);
                }
                script.answer(text, link);
            }
        }

        /** The request line, once its head has come. */
        private static String line(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int c = in.read();
                if (c < 0) {
                    throw new IOException("ended");
                }
                head.append((char) c);
            }
            return head.substring(0, head.indexOf("\r\n"));
        }

        String next() throws InterruptedException {
            return heard.poll(PATIENCE_S, TimeUnit.SECONDS);
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
    final BlockingQueue<String> told = new LinkedBlockingQueue<>();

    final Peer discovery;
    Pooler pooler;
    OperatorSettings operators = OperatorSettings.DEFAULT;
    /** How long the list known from the start waits for discovery; a test of that wait makes it endless. */
    long knownPatienceUs = Pooler.KNOWN_PATIENCE_US;
    /** How long clients are waited for whose connections were ended; the same. */
    long lingerUs = ServingLifecycle.LINGER_US;
    /** The settings of the pooler that is started. */
    String settings = SETTINGS;

    PoolerHarness() throws IOException {
        discovery = discovery(lists);
    }

    /** Answers each call with the next of the lists, and waits for one. */
    Peer discovery(BlockingQueue<String> lists) throws IOException {
        Peer p = new Peer(false, (text, link) -> {
            try {
                link.send(http(lists.take()));
                told.add("told");
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        });
        peers.add(p);
        return p;
    }

    static Thread spawn(Task task) {
        Thread t = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                return; // The peer's other side went away, or the test is over.
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }

    Peer server(Script script) throws IOException {
        Peer p = new Peer(true, script);
        peers.add(p);
        return p;
    }

    /** Something that is asked over HTTP. */
    Peer agent(Script script) throws IOException {
        Peer p = new Peer(false, script);
        peers.add(p);
        return p;
    }

    static byte[] http(String head, String body) {
        return ("HTTP/1.1 200 OK\r\n" + head + "\r\n" + body).getBytes(StandardCharsets.UTF_8);
    }

    static byte[] http(String body) {
        return http("Content-Length: " + body.length() + "\r\n", body);
    }

    /** Waits until the counters show this. */
    void shows(String counter) {
        while (!pooler.counters().contains(" " + counter + " ")) {
            Thread.onSpinWait();
        }
    }

    static String host(String id, Peer at, String role, String health) {
        return "{\"host\":\"" + id + "\",\"dial\":\"" + at.address()
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
        Config c = Config.load(environment(configured(discovery.address(), hosts)));
        pooler = new Pooler(
                allMayWait ? c.withSettings(c.settings().onSockets(0)) : c, operators, knownPatienceUs, lingerUs);
    }

    /** SIGHUP, with a file that names another discovery. */
    void hangUp(Peer discovery) throws Exception {
        pooler.reload(Config.load(environment(configured(discovery.address()))));
    }

    private String configured(String discovery, String... hosts) {
        return configuration(discovery, hosts).replace(SETTINGS, settings);
    }

    /** What happens while something else stands still. */
    interface Deed {
        void happen() throws Exception;
    }

    /**
     * The I/O thread stands still meanwhile, in the middle of what it found on its sockets; all that is due
     * or has come by then, it finds at once behind it.
     */
    void whileItStandsStill(Deed deed) throws Exception {
        whileItStandsStill(CommandExecutor.class, () -> spawn(() -> call("STATUS")), deed); // That is logged.
    }

    /** The same at what a class next logs, after this cause of it. */
    void whileItStandsStill(Class<?> logger, Deed cause, Deed deed) throws Exception {
        CountDownLatch stands = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        Handler stop = new StreamHandler() {
            @Override
            public void publish(LogRecord r) {
                stands.countDown();
                try {
                    over.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        Logger log = Logger.getLogger(logger.getName());
        log.addHandler(stop);
        try {
            cause.happen();
            stands.await();
            deed.happen();
        } finally {
            log.removeHandler(stop);
            over.countDown();
        }
    }

    /** Returns once so long a time has passed since then, by {@link System#nanoTime}; longer is as good. */
    static void pass(long sinceNanos, long ms) {
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
        try (Link c = client()) {
            while (!c.ask("").equals(List.of("I"))) {
                Thread.onSpinWait();
            }
        }
    }

    Link client() throws Exception {
        Link c = new Link(connect());
        c.send(startup());
        c.takeAnswer();
        return c;
    }

    Socket connect() throws Exception {
        InetSocketAddress at = pooler.address();
        return new Socket(at.getAddress(), at.getPort());
    }

    /** One operator's call: its line, and the line that answers it. */
    String call(String line) throws Exception {
        InetSocketAddress at = pooler.callsAt();
        try (Socket s = new Socket(at.getAddress(), at.getPort())) {
            s.setSoTimeout(PATIENCE_S * 1000);
            s.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
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
        int n = body.length + 4;
        byte[] out = new byte[n + 1];
        byte[] head = {(byte) type, (byte) (n >> 24), (byte) (n >> 16), (byte) (n >> 8), (byte) n};
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

    /** The program as its own process, with these options of {@code serve}. */
    static Process program(Map<String, String> environment, String... options) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElseThrow(),
                "-cp",
                System.getProperty("java.class.path"),
                "frostreel.cli.Main",
                "serve"));
        command.addAll(List.of(options));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        return builder.start();
    }

    static void hangUp(Process program) throws Exception {
        signal(program, "HUP");
    }

    static void signal(Process program, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(program.pid()))
                .start()
                .waitFor();
    }

    static String await(BufferedReader log, String text) throws Exception {
        String line = log.readLine();
        while (!line.contains(text)) {
            line = log.readLine();
        }
        return line;
    }

    void strike() throws Exception {
        for (Peer p : peers) {
            p.close();
        }
        if (pooler != null) {
            pooler.stop();
            pooler.close();
        }
    }
}
