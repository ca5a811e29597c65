package frostreel.lab.processes;

import frostreel.pg.Messages;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Asks a pooler for one of its {@code SHOW} pages, on a connection of its own. */
final class ShowPage {
    private static final int TIMEOUT_MS = 20_000;
    /** In a row of one column, the number of columns and the length of the value stand before the value. */
    private static final int VALUE_OFFSET = Short.BYTES + Integer.BYTES;

    private ShowPage() {}

    /** Returns the text of a page; blocks until it has come. */
    static String read(InetSocketAddress pooler, String page) throws IOException {
        try (Socket socket = new Socket(pooler.getAddress(), pooler.getPort())) {
            socket.setSoTimeout(TIMEOUT_MS);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            out.write(Messages.startup());
            readAnswer(in);
            out.write(Messages.query(("SHOW " + page + "\0").getBytes(StandardCharsets.US_ASCII)));
            return readAnswer(in);
        }
    }

    /** The value of an answer's only row, empty where it has none. */
    private static String readAnswer(DataInputStream in) throws IOException {
        String value = "";
        for (int type = in.readUnsignedByte(); ; type = in.readUnsignedByte()) {
            byte[] body = in.readNBytes(in.readInt() - Integer.BYTES);
            if (type == 'D') {
                value = new String(body, VALUE_OFFSET, body.length - VALUE_OFFSET, StandardCharsets.UTF_8);
            } else if (type == 'Z') {
                return value;
            }
        }
    }
}
