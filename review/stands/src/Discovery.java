import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A stand-in for the discovery agent: the whole list, and watches that wait for a newer version. */
final class Discovery implements Closeable {
    private record Entry(long version, String json) {}

    private final ServerSocket listener;
    private final Map<String, Entry> hosts = new LinkedHashMap<>();
    private long version = 40;
    private volatile boolean closed;

    Discovery() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Net.daemon("discovery", this::acceptAll);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Adds or changes a server; those who watch are told at once. */
    synchronized void put(DbServer server, int cluster, String health, String role) {
        String json = "{\"host\":\"" + server.name + "\",\"dial\":\"127.0.0.1:" + server.port()
                + "\",\"site\":\"dc\",\"class\":\"standard\",\"block\":" + cluster + ",\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0" + (role == null ? "" : ",\"role\":\"" + role + "\"") + "}";
        putJson(server.name, json);
    }

    synchronized void putJson(String name, String json) {
        hosts.put(name, new Entry(++version, json));
        notifyAll();
    }

    /** The whole list, also for the configuration. */
    synchronized String whole() {
        return list(-1);
    }

    private String list(long after) {
        StringBuilder json = new StringBuilder();
        for (Entry entry : hosts.values()) {
            if (entry.version > after) {
                json.append(json.length() == 0 ? "" : ",").append(entry.json);
            }
        }
        return "{\"seq\":" + version + ",\"whole\":" + (after < 0) + ",\"hosts\":[" + json + "]}";
    }

    private synchronized String await(long after, long waitMs) throws InterruptedException {
        long until = System.currentTimeMillis() + waitMs;
        while (version <= after && System.currentTimeMillis() < until) {
            wait(Math.max(1, until - System.currentTimeMillis()));
        }
        return list(after);
    }

    private void acceptAll() throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            Net.daemon("discovery connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String path = line.split(" ")[1];
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                String body = path.contains("index=") ? await(number(path, "index="), number(path, "wait=")) : whole();
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                        + "\r\n\r\n";
                socket.getOutputStream().write(Net.concat(head.getBytes(StandardCharsets.US_ASCII), bytes));
            }
        }
    }

    private static long number(String path, String name) {
        int from = path.indexOf(name);
        return from < 0 ? 0 : Long.parseLong(path.substring(from + name.length()).split("&")[0]);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
