import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for a db server as PROTOCOL describes it. What it does with a statement is up to the case. */
final class DbServer implements Closeable {
    /** What the case does with each statement that has come whole; runs on the connection's own thread. */
    interface Behaviour {
        void run(Connection connection, Statement statement) throws IOException, InterruptedException;
    }

    /** A statement of a client. */
    static final class Statement {
        private static final Pattern FIELD = Pattern.compile("([a-z]+)=([^, ]*)");
        final String sql;
        final boolean write;
        final String id;
        final String key;
        final long timeoutMs;

        Statement(String sql) {
            this.sql = sql;
            write = sql.startsWith("INSERT");
            String foundId = null;
            String foundKey = null;
            long foundTimeout = 0;
            Matcher field = FIELD.matcher(sql.substring(Math.max(0, sql.lastIndexOf("/*"))));
            while (field.find()) {
                switch (field.group(1)) {
                    case "id" -> foundId = field.group(2);
                    case "k" -> foundKey = field.group(2);
                    case "d" -> foundTimeout = Long.parseLong(field.group(2));
                    default -> {}
                }
            }
            id = foundId;
            key = foundKey;
            timeoutMs = foundTimeout;
        }
    }

    /** What a server of this protocol tells at the start of a connection. */
    private static final List<String> PARAMETERS = List.of(
            "application_name=svc",
            "client_encoding=UTF8",
            "DateStyle=ISO, MDY",
            "default_transaction_read_only=off",
            "in_hot_standby=off",
            "integer_datetimes=on",
            "IntervalStyle=postgres",
            "is_superuser=off",
            "server_encoding=UTF8",
            "server_version=15.4",
            "session_authorization=svc",
            "standard_conforming_strings=on",
            "TimeZone=Etc/UTC");

    final String name;
    volatile String role;
    /** Where the server stands in the log, in Unix milliseconds; 0 for the present, as on a primary. */
    volatile long appliedMs;

    private final ServerSocket listener;
    private final Behaviour behaviour;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    DbServer(String name, String role, Behaviour behaviour) throws IOException {
        this.name = name;
        this.role = role;
        this.behaviour = behaviour;
        listener = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        Net.daemon(name, this::acceptAll);
    }

    int port() {
        return listener.getLocalPort();
    }

    long positionMs() {
        return appliedMs == 0 ? System.currentTimeMillis() : appliedMs;
    }

    private void acceptAll() throws IOException {
        while (!closed) {
            Socket socket = listener.accept();
            Net.daemon(name + " connection", () -> new Connection(socket).serve());
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Connection connection : connections) {
            connection.socket.close();
        }
    }

    /** One connection of a pooler. */
    final class Connection {
        final Socket socket;
        final DbServer server = DbServer.this;
        private final BufferedInputStream buffered;
        private final DataInputStream in;
        private final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            buffered = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            in = new DataInputStream(buffered);
            out = socket.getOutputStream();
        }

        void serve() throws IOException {
            connections.add(this);
            try (socket) {
                startup();
                while (!closed) {
                    int type = in.read();
                    if (type < 0 || type == 'X') {
                        return;
                    }
                    byte[] body = in.readNBytes(in.readInt() - 4);
                    String sql = new String(body, 0, body.length - 1, StandardCharsets.ISO_8859_1);
                    if (type != 'Q') {
                        return;
                    }
                    if (sql.equals("SHOW load")) {
                        write(row(report().getBytes(StandardCharsets.US_ASCII)), status(), ready());
                    } else if (sql.equals("SELECT 1")) {
                        write(row("1".getBytes(StandardCharsets.US_ASCII)), ready());
                    } else {
                        behaviour.run(this, new Statement(sql));
                    }
                }
            } catch (IOException e) {
                // The pooler has closed its connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                connections.remove(this);
            }
        }

        private void startup() throws IOException {
            int length = in.readInt();
            int code = in.readInt();
            in.readNBytes(length - 8);
            if (code != 196608) {
                throw new IOException("not a startup message");
            }
            ByteArrayOutputStream parameters = new ByteArrayOutputStream();
            for (String each : PARAMETERS) {
                parameters.writeBytes(parameter(each.split("=")[0], each.split("=")[1]));
            }
            write(
                    Net.message('R', new byte[4]),
                    parameters.toByteArray(),
                    Net.message('K', new byte[8]),
                    ready());
        }

        String report() {
            return "x0=" + positionMs() / 1000.0 + ",x1=" + (role.equals("primary") ? 1 : 0) + ",util=0.1";
        }

        byte[] status() {
            return Net.concat(parameter("role", role), parameter("applied_ms", Long.toString(positionMs())));
        }

        byte[] row(byte[] value) throws IOException {
            return Net.concat(rowHead(), dataRow(value), Net.message('C', Net.text("SELECT 1")));
        }

        byte[] rowHead() throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream data = new DataOutputStream(bytes);
            data.writeShort(1);
            data.write(Net.text("v"));
            data.writeInt(0);
            data.writeShort(0);
            data.writeInt(17);
            data.writeShort(-1);
            data.writeInt(-1);
            data.writeShort(1);
            return Net.message('T', bytes.toByteArray());
        }

        byte[] dataRow(byte[] value) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(value.length + 6);
            DataOutputStream data = new DataOutputStream(bytes);
            data.writeShort(1);
            data.writeInt(value.length);
            data.write(value);
            return Net.message('D', bytes.toByteArray());
        }

        byte[] ready() {
            return Net.message('Z', new byte[] {'I'});
        }

        private byte[] parameter(String parameter, String value) {
            return Net.message('S', Net.concat(Net.text(parameter), Net.text(value)));
        }

        /** Whether the pooler has neither closed this connection nor ended its sending on it. */
        boolean isOpen() throws IOException {
            int timeout = socket.getSoTimeout();
            socket.setSoTimeout(1);
            try {
                buffered.mark(1);
                int next = buffered.read();
                buffered.reset();
                return next >= 0;
            } catch (SocketTimeoutException e) {
                return true;
            } catch (IOException e) {
                return false;
            } finally {
                socket.setSoTimeout(timeout);
            }
        }

        void write(byte[]... parts) throws IOException {
            out.write(Net.concat(parts));
            out.flush();
        }

        void serve(byte[] value) throws IOException {
            write(row(value), status(), ready());
        }

        void error(String code, String text) throws IOException {
            write(
                    Net.message('E', Net.concat(
                            Net.text("SERROR"), Net.text("C" + code), Net.text("M" + text), new byte[1])),
                    status(),
                    ready());
        }
    }
}
