import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** A db server: welcomes any user at once, runs one statement at a time on a connection, tells role, position, load. */
public class Db {
    public final String name;
    public final int port;
    public final int cluster;
    public volatile boolean primary;
    /** Milliseconds of work of a statement. */
    public volatile int workMs = 40;
    /** How far behind the present its position stands; 0 for a primary. */
    public volatile long lagMs;
    public volatile boolean hung;
    public volatile byte[] value = new byte[32];

    /** Which statements, once they have run, end with a reset of their connection. */
    public volatile Predicate<String> resetAfter = sql -> false;

    public record Begun(double atMs, String sql) {}

    public final List<Begun> begun = new CopyOnWriteArrayList<>();
    public final AtomicInteger connections = new AtomicInteger();
    public final AtomicInteger peak = new AtomicInteger();
    protected final ServerSocket server;

    public Db(String name, boolean primary, int cluster) throws IOException {
        this.name = name;
        this.cluster = cluster;
        this.primary = primary;
        server = new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));
        port = server.getLocalPort();
        Kit.start("db " + name, () -> {
            while (true) {
                Socket socket = server.accept();
                Kit.start("conn " + name, () -> serve(socket));
            }
        });
    }

    public Kit.Host host(String health) {
        return new Kit.Host(name, "127.0.0.1:" + port, cluster, health, primary ? "primary" : "replica", 0);
    }

    public long position() {
        return System.currentTimeMillis() - lagMs;
    }

    protected byte[] status() {
        return Kit.join(
                Kit.parameter("role", primary ? "primary" : "replica"),
                Kit.parameter("applied_ms", Long.toString(position())),
                Kit.parameter("load", load()));
    }

    protected String load() {
        return String.format(java.util.Locale.ROOT, "x0=%.3f,x1=%d,load_share=0.30", position() / 1e3, primary ? 1 : 0);
    }

    private void serve(Socket socket) throws Exception {
        peak.accumulateAndGet(connections.incrementAndGet(), Math::max);
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 16384));
            OutputStream out = socket.getOutputStream();
            Kit.skipStartup(in);
            out.write(Kit.welcome());
            while (true) {
                Kit.Msg message = Kit.next(in);
                if (message.type() != 'Q') {
                    return;
                }
                String sql = new String(message.body(), 0, message.body().length - 1, StandardCharsets.US_ASCII);
                while (hung) {
                    Thread.sleep(5);
                }
                if (sql.equals("SHOW load")) {
                    out.write(Kit.join(Kit.row(load().getBytes(StandardCharsets.US_ASCII), false), Kit.ready()));
                } else if (sql.equals("SELECT 1")) {
                    out.write(Kit.join(Kit.row(new byte[] {'1'}, false), Kit.ready()));
                } else if (!statement(sql, out)) {
                    socket.setSoLinger(true, 0); // Closes with a reset.
                    return;
                }
            }
        } finally {
            connections.decrementAndGet();
        }
    }

    /** Runs a statement; returns whether it was answered, or the connection is to be reset after it has run. */
    protected boolean statement(String sql, OutputStream out) throws Exception {
        boolean write = sql.startsWith("INSERT");
        begun.add(new Begun(Kit.ms(), sql.length() > 400 ? sql.substring(0, 60) + "..." + sql.substring(sql.lastIndexOf("/*")) : sql));
        if (write && !primary) {
            out.write(Kit.join(Kit.error("25006", "no primary"), status(), Kit.ready()));
            return true;
        }
        Thread.sleep(workMs);
        while (hung) {
            Thread.sleep(5);
        }
        if (resetAfter.test(sql)) {
            return false;
        }
        out.write(Kit.join(Kit.row(value, write), status(), Kit.ready()));
        return true;
    }
}
