package frostreel.cli;

import frostreel.Pooler;
import frostreel.config.Config;
import frostreel.config.ConfigException;
import frostreel.pg.Messages;
import frostreel.settings.OperatorSettings;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * The training run for the JVM's class archive: serves a few requests, so that the JVM can archive the loaded classes
 * at its exit. Loading them from the jar takes most of a second of CPU time, and a pooler has only part of a core. The
 * pooler is its own server: it receives the statement that it sent, and rejects it as a duplicate of a request in
 * flight.
 */
final class ClassArchiveTraining {
    private static final int READY_FOR_QUERY = 'Z';
    private static final int ANY_FREE_PORT = 0;

    private static final String[] STATEMENTS = {
        "",
        "SHOW stats",
        "SELECT v FROM records WHERE k = 'a' /* id=1,c=look,d=300,cluster=1 */",
        "INSERT INTO records (k, v) VALUES ('a', '\\x00') RETURNING v /* id=2,c=post,d=300,k=1,cluster=1 */"
    };

    private ClassArchiveTraining() {}

    static void run() throws IOException, ConfigException, InterruptedException {
        SighupHandler.handle(() -> {});
        Path configuration = writeConfiguration(freeLocalAddress());
        Pooler pooler =
                new Pooler(Config.load(Map.of("GW_CONFIG", configuration.toString())), OperatorSettings.DEFAULT);
        Files.delete(configuration);
        sendStatements(pooler.address());
        pooler.stop();
        pooler.close();
    }

    private static String freeLocalAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(ANY_FREE_PORT, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + free.getLocalPort();
        }
    }

    /** Writes a configuration in which this process is the pooler, the discovery agent and the only server. */
    private static Path writeConfiguration(String address) throws IOException {
        JSONObject configuration =
                readTemplate().put("listen", address).put("discovery", address).put("known", endpointList(address));
        Path file = Files.createTempFile("class-archive-training", ".json");
        return Files.writeString(file, configuration.toString());
    }

    private static JSONObject readTemplate() throws IOException {
        try (InputStream in = ClassArchiveTraining.class.getResourceAsStream("/class-archive-training.json")) {
            return new JSONObject(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    private static JSONObject endpointList(String address) {
        JSONObject server = new JSONObject()
                .put("host", "self")
                .put("dial", address)
                .put("site", "z")
                .put("class", "m")
                .put("block", 1)
                .put("health", "Ready")
                .put("share", 1.0)
                .put("role", "primary");
        return new JSONObject().put("seq", 1).put("whole", true).put("hosts", new JSONArray().put(server));
    }

    private static void sendStatements(InetSocketAddress address) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            DataInputStream in = new DataInputStream(client.getInputStream());
            client.getOutputStream().write(Messages.startup());
            skipResponse(in);
            for (String sql : STATEMENTS) {
                byte[] text = (sql + "\0").getBytes(StandardCharsets.US_ASCII);
                client.getOutputStream().write(Messages.query(text));
                skipResponse(in);
            }
        }
    }

    /** Skips all messages up to and including ReadyForQuery. */
    private static void skipResponse(DataInputStream in) throws IOException {
        int type;
        do {
            type = in.readUnsignedByte();
            in.skipNBytes(in.readInt() - Integer.BYTES);
        } while (type != READY_FOR_QUERY);
    }
}
