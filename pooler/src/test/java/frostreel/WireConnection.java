package frostreel;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** PostgreSQL protocol connection of a test client or a scripted server. */
final class WireConnection implements AutoCloseable {
    final Socket socket;
    final DataInputStream in;
    final DataOutputStream out;

    WireConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(PoolerHarness.TIMEOUT_S * 1000);
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

    /** Responds to a startup message as a server that accepts the client. */
    void completeHandshake() throws IOException {
        send(TestMessages.bytes('R', new byte[4]), TestMessages.READY);
    }

    /** Reads the next message and returns its type and its text, with fields separated by '|'. */
    String take() throws IOException {
        char type = (char) in.readUnsignedByte();
        byte[] body = in.readNBytes(in.readInt() - 4);
        return type + new String(body, StandardCharsets.ISO_8859_1).replace('\0', '|');
    }

    /**
     * Reads a response up to ReadyForQuery and returns its messages without ReadyForQuery, and without ParameterStatus
     * before its first message, which belongs to no response.
     */
    List<String> readResponse() throws IOException {
        List<String> messages = new ArrayList<>();
        for (String message = take(); !message.startsWith("Z"); message = take()) {
            if (!messages.isEmpty() || !message.startsWith("S")) {
                messages.add(message);
            }
        }
        return messages;
    }

    /** Sends a query and reads its response. */
    List<String> execute(String sql) throws IOException {
        send(TestMessages.query(sql));
        return readResponse();
    }

    /** Returns whether the peer closed the connection; waits for a byte or the close. */
    boolean closedByPeer() throws IOException {
        try {
            return in.read() < 0;
        } catch (SocketException e) { // It was reset.
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
