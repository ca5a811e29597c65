import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: messages of the protocol, the agent of discovery, the pooler as a process, the record. */
public final class Kit {
    private Kit() {}

    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static PrintWriter record;
    private static final long START_NS = System.nanoTime();

    /** Milliseconds since the start of the case. */
    public static double ms() {
        return (System.nanoTime() - START_NS) / 1e6;
    }

    public static synchronized void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
        note("trouble " + (TROUBLE ? "on" : "off"));
    }

    public static synchronized void note(String text) {
        if (record != null) {
            record.printf("%10.1f %s%n", ms(), text);
        }
    }

    private static final int EXIT_BASE = 10;

    /** Writes the verdict and ends: 0 the rule held, 1 it was broken, 2 the case could not run; run.sh expects 10 more. */
    public static void end(int code, String text) {
        note("verdict " + code + ": " + text);
        System.out.println((code == 0 ? "held: " : code == 1 ? "broken: " : "could not run: ") + text);
        System.exit(EXIT_BASE + code);
    }

    public static Thread start(String name, Body body) {
        Thread thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (Exception e) {
                // The peer has gone, or the case is over.
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public interface Body {
        void run() throws Exception;
    }

    private static final java.util.Set<Integer> GIVEN = new java.util.HashSet<>();

    /** A free port that this case has not been given before. */
    public static synchronized int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                if (GIVEN.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    // ---- PostgreSQL's messages. ----

    public static byte[] message(char type, byte[] body) {
        byte[] out = new byte[body.length + 5];
        out[0] = (byte) type;
        putInt(out, 1, body.length + 4);
        System.arraycopy(body, 0, out, 5, body.length);
        return out;
    }

    public static void putInt(byte[] out, int at, int value) {
        out[at] = (byte) (value >> 24);
        out[at + 1] = (byte) (value >> 16);
        out[at + 2] = (byte) (value >> 8);
        out[at + 3] = (byte) value;
    }

    public static byte[] query(String sql) {
        return message('Q', (sql + "\0").getBytes(StandardCharsets.US_ASCII));
    }

    public static byte[] startup() {
        byte[] text = "user\0svc\0database\0main\0\0".getBytes(StandardCharsets.US_ASCII);
        byte[] out = new byte[text.length + 8];
        putInt(out, 0, out.length);
        putInt(out, 4, 196608);
        System.arraycopy(text, 0, out, 8, text.length);
        return out;
    }

    public static byte[] join(byte[]... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    public static byte[] welcome() {
        return join(message('R', new byte[4]), ready());
    }

    public static byte[] ready() {
        return message('Z', new byte[] {'I'});
    }

    public static byte[] parameter(String name, String value) {
        return message('S', (name + "\0" + value + "\0").getBytes(StandardCharsets.US_ASCII));
    }

    public static byte[] error(String code, String text) {
        return message('E', ("SERROR\0C" + code + "\0M" + text + "\0\0").getBytes(StandardCharsets.US_ASCII));
    }

    /** RowDescription of one binary column, the row, CommandComplete. */
    public static byte[] row(byte[] value, boolean write) {
        byte[] name = "v\0".getBytes(StandardCharsets.US_ASCII);
        byte[] description = new byte[2 + name.length + 18];
        description[1] = 1;
        System.arraycopy(name, 0, description, 2, name.length);
        int at = 2 + name.length;
        putInt(description, at + 6, 17);
        description[at + 10] = -1;
        description[at + 11] = -1;
        putInt(description, at + 12, -1);
        description[at + 17] = 1;
        byte[] data = new byte[6 + value.length];
        data[1] = 1;
        putInt(data, 2, value.length);
        System.arraycopy(value, 0, data, 6, value.length);
        String tag = write ? "INSERT 0 1\0" : "SELECT 1\0";
        return join(message('T', description), message('D', data), message('C', tag.getBytes(StandardCharsets.US_ASCII)));
    }

    public static String read(String key, String id, String cls, int timeoutMs, int cluster, String more) {
        return "SELECT v FROM records WHERE k = '" + key + "' /* id=" + id + ",c=" + cls + ",d=" + timeoutMs
                + ",cluster=" + cluster + more + " */";
    }

    public static String write(String key, String hex, String id, String cls, int timeoutMs, String idem, int cluster) {
        return "INSERT INTO records (k, v) VALUES ('" + key + "', '\\x" + hex + "') RETURNING v /* id=" + id + ",c="
                + cls + ",d=" + timeoutMs + (idem == null ? "" : ",k=" + idem) + ",cluster=" + cluster + " */";
    }

    /** The value of a field in a statement's comment, or null. */
    public static String field(String sql, String name) {
        int from = sql.lastIndexOf("/*");
        Matcher found = Pattern.compile("[ ,]" + name + "=([^, ]*)").matcher(sql.substring(Math.max(0, from)));
        return found.find() ? found.group(1) : null;
    }

    /** A message of a stream: its type and body. */
    public record Msg(char type, byte[] body) {
        public String text() {
            return new String(body, StandardCharsets.US_ASCII);
        }
    }

    public static Msg next(DataInputStream in) throws IOException {
        int type = in.read();
        if (type < 0) {
            throw new EOFException();
        }
        int length = in.readInt();
        byte[] body = new byte[length - 4];
        in.readFully(body);
        return new Msg((char) type, body);
    }

    public static void skipStartup(DataInputStream in) throws IOException {
        in.skipNBytes(in.readInt() - 4);
    }

    // ---- A client. ----

    /** An answer: kind "served", "refused", "failed" or "closed" (the connection ended with no answer). */
    public record Answer(String kind, String code, byte[] value, double tookMs) {}

    /** A connection of a client to the pooler. */
    public static final class Client implements AutoCloseable {
        public final Socket socket = new Socket();
        public final DataInputStream in;
        public final OutputStream out;

        public Client(int port, int timeoutMs) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 8192));
            out = socket.getOutputStream();
            out.write(startup());
            while (next(in).type() != 'Z') {
                // Authentication, parameters, key data.
            }
        }

        public void send(String sql) throws IOException {
            out.write(query(sql));
        }

        /** Reads the answer of one command. */
        public Answer answer(double sentMs) {
            String code = null;
            byte[] value = null;
            boolean complete = false;
            boolean empty = false;
            try {
                while (true) {
                    Msg message = next(in);
                    switch (message.type()) {
                        case 'D' -> value = java.util.Arrays.copyOfRange(message.body(), 6, message.body().length);
                        case 'C' -> complete = true;
                        case 'I' -> empty = true;
                        case 'E' -> code = sqlState(message.body());
                        default -> {}
                    }
                    if (message.type() == 'Z') {
                        String kind = code != null
                                ? (code.equals("53300") || code.equals("57P03") ? "refused" : "failed")
                                : complete ? "served" : empty ? "empty" : "closed";
                        return new Answer(kind, code, value, ms() - sentMs);
                    }
                }
            } catch (java.net.SocketTimeoutException e) {
                return new Answer("silent", code, value, ms() - sentMs);
            } catch (IOException e) {
                return new Answer(code != null ? "failed" : "closed", code, value, ms() - sentMs);
            }
        }

        public Answer ask(String sql) {
            double sent = ms();
            try {
                send(sql);
            } catch (IOException e) {
                return new Answer("closed", null, null, ms() - sent);
            }
            return answer(sent);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
        }
    }

    private static String sqlState(byte[] body) {
        for (String field : new String(body, StandardCharsets.US_ASCII).split("\0")) {
            if (field.startsWith("C")) {
                return field.substring(1);
            }
        }
        return "?";
    }

    // ---- Discovery. ----

    /** The kind of machine by host; "standard" for all others. */
    public static final Map<String, String> KINDS = new java.util.concurrent.ConcurrentHashMap<>();

    /** An entry of the list. */
    public record Host(String host, String dial, int block, String health, String role, long bornMs) {
        public String json() {
            return "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"kamloops-dc\",\"class\":\"" + KINDS.getOrDefault(host, "standard") + "\","
                    + "\"block\":" + block + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs
                    + ",\"role\":\"" + role + "\"}";
        }
    }

    /** The agent of discovery on the pooler's machine. */
    public static final class Agent {
        private final Map<String, Host> hosts = new LinkedHashMap<>();
        private final Map<String, Long> changed = new LinkedHashMap<>();
        private long seq = 41;
        public final int port;
        private final ServerSocket server;

        public Agent(List<Host> initial) throws IOException {
            initial.forEach(host -> hosts.put(host.host(), host));
            server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
            port = server.getLocalPort();
            start("agent", () -> {
                while (true) {
                    Socket socket = server.accept();
                    start("watch", () -> serve(socket));
                }
            });
        }

        public synchronized String whole() {
            List<String> entries = new ArrayList<>();
            hosts.values().stream().filter(h -> !h.health().equals("Gone")).forEach(h -> entries.add(h.json()));
            return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", entries) + "]}";
        }

        public synchronized void publish(Host host) {
            hosts.put(host.host(), host);
            changed.put(host.host(), ++seq);
            note("discovery tells " + host.json());
            notifyAll();
        }

        private synchronized String changes(long since, long waitMs) throws InterruptedException {
            long until = System.nanoTime() + waitMs * 1_000_000;
            while (seq <= since && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            List<String> entries = new ArrayList<>();
            hosts.values().stream()
                    .filter(h -> changed.getOrDefault(h.host(), 0L) > since)
                    .forEach(h -> entries.add(h.json()));
            return "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + String.join(",", entries) + "]}";
        }

        private void serve(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (true) {
                int c = in.read();
                if (c < 0) {
                    socket.close();
                    return;
                }
                head.append((char) c);
                if (head.indexOf("\r\n\r\n") < 0) {
                    continue;
                }
                Matcher watch = Pattern.compile("index=(\\d+)&wait=(\\d+)").matcher(head);
                String body = watch.find()
                        ? changes(Long.parseLong(watch.group(1)), Long.parseLong(watch.group(2)))
                        : whole();
                head.setLength(0);
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                                        + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
            }
        }
    }

    // ---- The pooler. ----

    /** The pooler, started by the line `run` of the deploy file. */
    public static final class Pooler {
        public final Process process;
        public final int port;
        public final Path folder;
        public final Path log;

        public Pooler(Path root, Path folder, int port, String config, Map<String, String> more) throws Exception {
            this.port = port;
            this.folder = folder;
            Path file = folder.resolve("config.json");
            Files.writeString(file, config);
            Path temporary = Files.createDirectories(folder.resolve("tmp"));
            log = folder.resolve("pooler.log");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root)).directory(root.toFile());
            builder.environment().put("GW_CONFIG", file.toString());
            builder.environment().put("TMPDIR", temporary.toString());
            builder.environment().putAll(more);
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            note("pooler started, process " + process.pid());
        }

        public static String runLine(Path root) throws IOException {
            Matcher line = Pattern.compile("(?m)^run *= *\"(.*)\"$")
                    .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!line.find()) {
                throw new IOException("no line run in the deploy file");
            }
            return line.group(1);
        }

        public boolean awaitReady(int withinMs) throws Exception {
            double until = ms() + withinMs;
            while (ms() < until && process.isAlive()) {
                try (Client client = new Client(port, 1000)) {
                    if (client.ask("").kind().equals("empty")) {
                        note("pooler ready");
                        return true;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                Thread.sleep(50);
            }
            return false;
        }

        public void signal(String name) throws Exception {
            note("signal " + name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        public void logTail(int lines) throws IOException {
            List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
            all.subList(Math.max(0, all.size() - lines), all.size()).forEach(line -> note("pooler: " + line));
        }
    }

    /** A temporary folder, removed at the end together with the processes. */
    public static Path workFolder(List<Process> processes) throws IOException {
        Path folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            processes.forEach(Process::destroyForcibly);
            try {
                for (Process process : processes) {
                    process.waitFor(5, TimeUnit.SECONDS);
                }
                try (var files = Files.walk(folder)) {
                    files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
                }
            } catch (Exception e) {
                // Left behind in the temporary folder.
            }
        }));
        return folder;
    }

    /** Ends the case as one that could not run, should it exceed its time. */
    public static void limit(int seconds) {
        start("limit", () -> {
            Thread.sleep(seconds * 1000L);
            end(2, "over " + seconds + " s");
        });
    }

    /** The settings of the page on the wire for billing-kamloops, with replacements (from, to). */
    public static String settings(String... replacements) {
        String text = "{\"caps\": {\"cancel\": true, \"connectTimeoutS\": 0.25, \"cpuUsPerRequest\": 0.0,"
                + " \"cpuUsPerS\": 806821, \"idleCloseS\": 30.0, \"maxAttempts\": 10, \"maxOpen\": 32272,"
                + " \"maxRetryAfterS\": 2.0, \"peers\": false, \"probes\": true, \"retryAfter\": true,"
                + " \"secondCopies\": false, \"streamsPerConn\": 1},"
                + "\"classes\": [{\"deadlineS\": 1.0, \"group\": \"all\", \"lateWorth\": 0.0, \"name\": \"account-view\","
                + " \"onTimeS\": 0.3, \"repeat\": \"retryable\", \"repeatWindowS\": 5.0, \"streamed\": false, \"worth\": 2.0},"
                + " {\"deadlineS\": 0.6, \"group\": \"all\", \"lateWorth\": 0.2, \"name\": \"history-lookup\","
                + " \"onTimeS\": 0.2, \"repeat\": \"retryable\", \"repeatWindowS\": 5.0, \"streamed\": false, \"worth\": 3.0},"
                + " {\"deadlineS\": 8.0, \"group\": \"all\", \"lateWorth\": 0.2, \"name\": \"arrears-report\","
                + " \"onTimeS\": 4.0, \"repeat\": \"retryable\", \"repeatWindowS\": 5.0, \"streamed\": false, \"worth\": 6.0},"
                + " {\"deadlineS\": 3.0, \"group\": \"cell\", \"lateWorth\": 0.3, \"name\": \"payment-post\","
                + " \"onTimeS\": 0.6, \"repeat\": \"dedup\", \"repeatWindowS\": 3.0, \"streamed\": false, \"worth\": 4.0}],"
                + "\"clients\": {\"marksRetry\": true}, \"family\": \"replicas\","
                + "\"familyInfo\": {\"baseTimeS\": 0, \"commitWaits\": true,"
                + " \"freshness\": [\"bounded\", \"any\", \"any\", \"write\"], \"holdsForS\": 0.05,"
                + " \"lagAllowedS\": [0.8, 0.0, 0.0, 0.0], \"listRole\": \"late\", \"positions\": true,"
                + " \"serverChecks\": \"wait\", \"writeMarks\": \"carried\"},"
                + "\"instances\": 1, \"machineTypes\": [\"standard\", \"small\"], \"me\": 0,"
                + "\"membershipMode\": \"automatic\", \"roundS\": 0.005,"
                + "\"rules\": {\"answerSlackS\": 0.02, \"askWithinS\": 10.0, \"coldFrom\": 0.22, \"fallMultiple\": 3.0,"
                + " \"fallS\": 2.0, \"stopSendingWithinS\": 1.0, \"warmAfterS\": 15.0},"
                + "\"stats\": {\"how\": \"piggyback\", \"names\": [\"x0\", \"x1\", \"load_share\"]},"
                + "\"tenants\": [], \"weights\": \"silent\", \"worthBy\": \"request\", \"zone\": 0,"
                + "\"zones\": [\"kamloops-dc\"]}";
        for (int i = 0; i < replacements.length; i += 2) {
            if (!text.contains(replacements[i])) {
                throw new IllegalArgumentException(replacements[i]);
            }
            text = text.replace(replacements[i], replacements[i + 1]);
        }
        return text;
    }

    public static String config(int port, int discovery, String known, String settings) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + known + ",\"settings\":" + settings + "}";
    }

    public static OutputStream buffered(Socket socket) throws IOException {
        return new BufferedOutputStream(socket.getOutputStream(), 1 << 17);
    }
}
