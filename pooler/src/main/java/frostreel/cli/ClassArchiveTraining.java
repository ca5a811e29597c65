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
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * Goes once through what serving does, so that the JVM can archive the classes at its exit: a start that
 * loads them from the jar takes most of a second of a core, and a pooler gets part of one. For want of a
 * server the pooler is its own: it takes the statement that it sends itself for a second copy, and turns it
 * away.
 */
final class ClassArchiveTraining {
    private static final String[] STATEMENTS = {
        "",
        "SHOW stats",
        "SELECT v FROM records WHERE k = 'a' /* id=1,c=look,d=300,cluster=1 */",
        "INSERT INTO records (k, v) VALUES ('a', '\\x00') RETURNING v /* id=2,c=post,d=300,k=1,cluster=1 */"
    };

    private ClassArchiveTraining() {}

    static void run() throws IOException, ConfigException, InterruptedException {
        SighupHandler.handle(() -> {});
        String address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + free.getLocalPort();
        }
        Path file = Files.createTempFile("class-archive-training", ".json");
        try (InputStream in = ClassArchiveTraining.class.getResourceAsStream("/class-archive-training.json")) {
            JSONObject host = new JSONObject(Map.of(
                    "host", "self", "dial", address, "site", "z", "class", "m", "block", 1, "health", "Ready", "share",
                    1.0, "role", "primary"));
            JSONObject list = new JSONObject(Map.of("seq", 1, "whole", true, "hosts", new JSONArray().put(host)));
            Files.writeString(
                    file,
                    new JSONObject(new String(in.readAllBytes(), StandardCharsets.UTF_8))
                            .put("listen", address)
                            .put("discovery", address)
                            .put("known", list)
                            .toString());
        }
        Pooler pooler = new Pooler(Config.load(Map.of("GW_CONFIG", file.toString())), OperatorSettings.DEFAULT);
        Files.delete(file);
        try (Socket client =
                new Socket(pooler.address().getAddress(), pooler.address().getPort())) {
            DataInputStream in = new DataInputStream(client.getInputStream());
            client.getOutputStream().write(Messages.startup());
            skipAnswer(in);
            for (String sql : STATEMENTS) {
                byte[] text = (sql + "\0").getBytes(StandardCharsets.US_ASCII);
                client.getOutputStream().write(Messages.query(text));
                skipAnswer(in);
            }
        }
        pooler.stop();
        pooler.close();
    }

    private static void skipAnswer(DataInputStream in) throws IOException {
        int type;
        do {
            type = in.readUnsignedByte();
            in.skipNBytes(in.readInt() - Integer.BYTES);
        } while (type != 'Z');
    }
}
