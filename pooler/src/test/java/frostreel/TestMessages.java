package frostreel;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Encoding and parsing of the messages of clients, servers and discovery agents. */
final class TestMessages {
    /** ReadyForQuery outside a transaction block. */
    static final byte[] READY = bytes('Z', new byte[] {'I'});

    private TestMessages() {}

    /** Returns an HTTP response with these header lines, each of which ends with CRLF. */
    static byte[] http(String head, String body) {
        return ("HTTP/1.1 200 OK\r\n" + head + "\r\n" + body).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns an HTTP response with Content-Length. */
    static byte[] http(String body) {
        return http("Content-Length: " + body.length() + "\r\n", body);
    }

    /** Returns the id of a request that a peer received, or the text itself if it contains none. */
    static String requestId(String received) {
        return received.replaceAll(".*id=(\\w+),.*", "$1").replace("|", "");
    }

    /** Returns the remaining time in a request that a peer received, in milliseconds. */
    static int remainingMs(String received) {
        return Integer.parseInt(received.replaceAll(".*,d=(\\d+),.*", "$1").replace("|", ""));
    }

    /** Returns a StartupMessage. */
    static byte[] startup() {
        byte[] parameters = "\0\3\0\0user\0svc\0database\0main\0\0".getBytes(StandardCharsets.ISO_8859_1);
        byte[] out = new byte[parameters.length + 4];
        out[3] = (byte) out.length;
        System.arraycopy(parameters, 0, out, 4, parameters.length);
        return out;
    }

    /** Returns a message with this body. */
    static byte[] bytes(char type, byte[] body) {
        int length = body.length + 4;
        byte[] out = new byte[length + 1];
        byte[] head = {(byte) type, (byte) (length >> 24), (byte) (length >> 16), (byte) (length >> 8), (byte) length};
        System.arraycopy(head, 0, out, 0, head.length);
        System.arraycopy(body, 0, out, head.length, body.length);
        return out;
    }

    /** Returns a message whose body is the text, with a zero byte in place of each '|'. */
    static byte[] bytes(char type, String text) {
        return bytes(type, text.replace('|', '\0').getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns a Query message. */
    static byte[] query(String sql) {
        return bytes('Q', sql + "|");
    }

    /** Returns a read of the class "look". */
    static String readSql(String id, int deadlineMs) {
        return "SELECT v FROM records WHERE k = '7f3a' /* id=" + id + ",c=look,d=" + deadlineMs + ",cluster=2 */";
    }

    /** Returns a write of the class "post" with an idempotency key. */
    static String writeSql(String id, int deadlineMs) {
        return "INSERT INTO records (k, v) VALUES ('7f3a', '\\x9f03') RETURNING v /* id=" + id + ",c=post,d="
                + deadlineMs + ",k=5c0f,cluster=2 */";
    }

    /** Returns a server's response of one row with its role and current commit position, without ReadyForQuery. */
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

    /** Returns an ErrorResponse with this SQLSTATE. */
    static byte[] error(String code) {
        return bytes('E', "SERROR|C" + code + "|Mno||");
    }
}
