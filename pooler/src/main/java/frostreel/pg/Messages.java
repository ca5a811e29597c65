package frostreel.pg;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Makes the messages that the pooler itself sends, to clients and to servers. */
public final class Messages {
    /** Version 3.0 of the protocol, as in a startup message. */
    public static final int PROTOCOL_3 = 3 << 16;
    /** Codes that stand in place of the version. */
    public static final int SSL_REQUEST = 80877103;

    public static final int GSS_REQUEST = 80877104;
    public static final int CANCEL_REQUEST = 80877102;

    private Messages() {}

    private static byte[] message(char type, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(body.length + MessageReader.HEADER_BYTES);
        out.write(type);
        writeInt(out, body.length + Integer.BYTES);
        out.writeBytes(body);
        return out.toByteArray();
    }

    private static void writeInt(ByteArrayOutputStream out, int number) {
        out.write(number >> 24);
        out.write(number >> 16);
        out.write(number >> 8);
        out.write(number);
    }

    private static void writeText(ByteArrayOutputStream out, String text) {
        out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
        out.write(0);
    }

    /**
     * The answer to a client's startup message: AuthenticationOk, the usual parameters, the key by which it may cancel
     * a request, and ReadyForQuery.
     */
    public static byte[] welcome(int process, int secret) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(message('R', new byte[4]));
        String[] parameters = {
            "server_version",
            "15.0",
            "server_encoding",
            "UTF8",
            "client_encoding",
            "UTF8",
            "standard_conforming_strings",
            "on"
        };
        for (int i = 0; i < parameters.length; i += 2) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            writeText(body, parameters[i]);
            writeText(body, parameters[i + 1]);
            out.writeBytes(message('S', body.toByteArray()));
        }
        ByteArrayOutputStream key = new ByteArrayOutputStream();
        writeInt(key, process);
        writeInt(key, secret);
        out.writeBytes(message('K', key.toByteArray()));
        out.writeBytes(readyForQuery());
        return out.toByteArray();
    }

    /** ReadyForQuery, outside of any transaction. */
    public static byte[] readyForQuery() {
        return message('Z', new byte[] {'I'});
    }

    /** The answer to an empty query. */
    public static byte[] emptyQueryResponse() {
        return message('I', new byte[0]);
    }

    /**
     * An ErrorResponse.
     *
     * @param fatal whether the connection ends with it
     * @param code one of {@link SqlState}
     * @param detail the field D, null for none
     */
    public static byte[] error(boolean fatal, String code, String text, String detail) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String severity = fatal ? "FATAL" : "ERROR";
        String[] fields = {"S", severity, "V", severity, "C", code, "M", text, "D", detail};
        for (int i = 0; i < fields.length; i += 2) {
            if (fields[i + 1] != null) {
                body.write(fields[i].charAt(0));
                writeText(body, fields[i + 1]);
            }
        }
        body.write(0);
        return message('E', body.toByteArray());
    }

    /** The startup message to a server. */
    public static byte[] startup() {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        writeInt(body, PROTOCOL_3);
        for (String text : new String[] {"user", "svc", "database", "main", "application_name", "frostreel"}) {
            writeText(body, text);
        }
        body.write(0);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writeInt(out, body.size() + Integer.BYTES);
        out.writeBytes(body.toByteArray());
        return out.toByteArray();
    }

    /** A simple query; {@code sql}: the statement and its terminating zero byte. */
    public static byte[] query(byte[] sql) {
        return message('Q', sql);
    }

    /** An answer of one row with one column of text. */
    public static byte[] row(String column, String value) {
        byte[] text = value.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream description = new ByteArrayOutputStream();
        description.writeBytes(new byte[] {0, 1});
        writeText(description, column);
        // No table, type 25 (text) of any length, text format.
        description.writeBytes(new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 25, -1, -1, -1, -1, -1, -1, 0, 0});
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        data.writeBytes(new byte[] {0, 1});
        writeInt(data, text.length);
        data.writeBytes(text);
        ByteArrayOutputStream tag = new ByteArrayOutputStream();
        writeText(tag, "SHOW");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(message('T', description.toByteArray()));
        out.writeBytes(message('D', data.toByteArray()));
        out.writeBytes(message('C', tag.toByteArray()));
        return out.toByteArray();
    }
}
