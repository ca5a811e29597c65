import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client of the pooler, as PROTOCOL describes it. */
final class Client implements Closeable {
    /** The end of one request as the client sees it. */
    record Answer(String kind, String code, byte[] value) {
        boolean served() {
            return kind.equals("served");
        }

        @Override
        public String toString() {
            return kind + (code == null ? "" : " " + code) + (value == null ? "" : " " + value.length + " bytes");
        }
    }

    private static final AtomicLong IDS = new AtomicLong();
    private static final String RUN = Long.toHexString(System.nanoTime() & 0xffffffL);

    final Socket socket = new Socket();
    private final DataInputStream in;

    Client(int port) throws IOException {
        this(port, 0);
    }

    Client(int port, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 5000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 1 << 14));
    }

    /** Writes the startup message and waits until the pooler is ready for a query. */
    Client start() throws IOException {
        byte[] parameters = Net.concat(
                Net.text("user"), Net.text("svc"), Net.text("database"), Net.text("main"), new byte[1]);
        send(ByteBuffer.allocate(8 + parameters.length)
                .putInt(8 + parameters.length)
                .putInt(196608)
                .put(parameters)
                .array());
        answer();
        return this;
    }

    static String newId() {
        return RUN + String.format("%010x", IDS.incrementAndGet());
    }

    static String read(String id, String key, String requestClass, long timeoutMs, int cluster, String more) {
        return "SELECT v FROM records WHERE k = '" + key + "' /* id=" + id + ",c=" + requestClass + ",d=" + timeoutMs
                + ",cluster=" + cluster + more + " */";
    }

    static String write(String id, String key, String hex, String requestClass, long timeoutMs, int cluster) {
        return "INSERT INTO records (k, v) VALUES ('" + key + "', '\\x" + hex + "') RETURNING v /* id=" + id + ",c="
                + requestClass + ",d=" + timeoutMs + ",k=" + id + ",cluster=" + cluster + " */";
    }

    static byte[] query(String sql) {
        return Net.message('Q', Net.text(sql));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    Answer ask(String sql) throws IOException {
        send(query(sql));
        return answer();
    }

    /** Reads up to ReadyForQuery or a fatal error; the end of the connection before that is "closed". */
    Answer answer() throws IOException {
        String kind = "ready";
        String code = null;
        byte[] value = null;
        while (true) {
            int type;
            byte[] body;
            try {
                type = in.read();
                if (type < 0) {
                    return new Answer("closed", code, null);
                }
                body = in.readNBytes(in.readInt() - 4);
            } catch (IOException e) {
                if (e instanceof java.net.SocketTimeoutException) {
                    throw e;
                }
                return new Answer("closed", e.getMessage(), null);
            }
            switch (type) {
                case 'D' -> value = java.util.Arrays.copyOfRange(body, 6, body.length);
                case 'C' -> kind = "served";
                case 'I' -> kind = "empty";
                case 'E' -> {
                    code = field(body, 'C');
                    kind = code.equals("53300") || code.equals("57P03") ? "refused" : "failed";
                    if ("FATAL".equals(field(body, 'S'))) {
                        return new Answer(kind, code, null);
                    }
                }
                case 'Z' -> {
                    return new Answer(kind, code, kind.equals("served") ? value : null);
                }
                default -> {}
            }
        }
    }

    private static String field(byte[] body, char name) {
        for (String field : new String(body, StandardCharsets.ISO_8859_1).split("\0")) {
            if (!field.isEmpty() && field.charAt(0) == name) {
                return field.substring(1);
            }
        }
        return "";
    }

    /** One request line at the address for operators, with its reply. */
    static String operator(int port, String line) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).trim();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
