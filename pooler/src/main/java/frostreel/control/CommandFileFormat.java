package frostreel.control;

import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * The format of files of operators' commands: a line with the hexadecimal checksum of the rest, then a JSON object.
 * Processes of older and newer versions read these files, so the format and its keys must not change.
 */
final class CommandFileFormat {
    private static final int VERSION = 1;
    private static final int CHECKSUM_CHARS = 8;
    /** Length of the checksum with its line feed. */
    private static final int HEADER_BYTES = CHECKSUM_CHARS + 1;
    /** Maximum length of a file; a longer file is corrupt. More commands take several files. */
    static final int MAX_BYTES = 1 << 18;
    /** Upper limit of what a file contains beside commands and the incarnation, in bytes. */
    private static final int OVERHEAD_BYTES = 128;
    /** Maximum number of files of one incarnation: about 45,000 targets. */
    static final int MAX_PARTS = 16;

    private static final String KEY_VERSION = "version";
    private static final String KEY_INCARNATION = "life";
    private static final String KEY_COMMANDS = "orders";
    private static final String KEY_IN_FORCE = "inForce";
    private static final String KEY_IN_FORCE_SINCE_US = "sinceUs";
    private static final String KEY_CHANGED_AT_US = "atUs";

    private CommandFileFormat() {}

    /**
     * Encodes commands as the content of files, each of which can be read on its own; one if there are no commands.
     *
     * @throws IOException if they would take more than {@link #MAX_PARTS} files
     */
    static List<byte[]> encodeParts(String incarnation, Map<CommandTarget, CommandState> commands) throws IOException {
        List<byte[]> parts = new ArrayList<>();
        Map<CommandTarget, CommandState> part = new TreeMap<>();
        int partBytes = 0;
        for (Map.Entry<CommandTarget, CommandState> command : new TreeMap<>(commands).entrySet()) {
            int bytes = encodedBytes(command.getKey(), command.getValue());
            if (OVERHEAD_BYTES + incarnation.length() + partBytes + bytes > MAX_BYTES) {
                parts.add(encode(incarnation, part));
                part.clear();
                partBytes = 0;
            }
            part.put(command.getKey(), command.getValue());
            partBytes += bytes;
        }
        parts.add(encode(incarnation, part));
        if (parts.size() > MAX_PARTS) {
            throw new IOException("commands on " + commands.size() + " targets, more than can be stored");
        }
        return parts;
    }

    /** Returns the length of a command in a file, with the separators around it. */
    private static int encodedBytes(CommandTarget target, CommandState state) {
        String key = JSONObject.quote(target.key());
        return key.getBytes(StandardCharsets.UTF_8).length
                + encode(state).toString().length()
                + ":,".length();
    }

    private static byte[] encode(String incarnation, Map<CommandTarget, CommandState> commands) {
        JSONObject states = new JSONObject();
        commands.forEach((target, state) -> states.put(target.key(), encode(state)));
        byte[] body = new JSONObject()
                .put(KEY_VERSION, VERSION)
                .put(KEY_INCARNATION, incarnation)
                .put(KEY_COMMANDS, states)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        byte[] header = (checksum(body) + "\n").getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(header.length + body.length)
                .put(header)
                .put(body)
                .array();
    }

    private static JSONObject encode(CommandState state) {
        return new JSONObject()
                .put(KEY_IN_FORCE, state.inForce())
                .put(KEY_IN_FORCE_SINCE_US, state.inForceSinceUs())
                .put(KEY_CHANGED_AT_US, state.changedAtUs());
    }

    /** Decodes the content of a file. */
    static Map<CommandTarget, CommandState> decode(byte[] file) throws CorruptCommandFileException {
        byte[] body = verifiedBody(file);
        try {
            return decode(new JSONObject(new String(body, StandardCharsets.UTF_8)));
        } catch (JSONException e) {
            throw new CorruptCommandFileException(e.getMessage(), e);
        }
    }

    private static byte[] verifiedBody(byte[] file) throws CorruptCommandFileException {
        if (file.length > MAX_BYTES || file.length < HEADER_BYTES || file[CHECKSUM_CHARS] != '\n') {
            throw new CorruptCommandFileException("invalid length of " + file.length + " bytes, or no checksum");
        }
        byte[] body = Arrays.copyOfRange(file, HEADER_BYTES, file.length);
        String expected = new String(file, 0, CHECKSUM_CHARS, StandardCharsets.US_ASCII);
        if (!checksum(body).equals(expected)) {
            throw new CorruptCommandFileException("checksum mismatch");
        }
        return body;
    }

    private static String checksum(byte[] body) {
        CRC32C crc = new CRC32C();
        crc.update(body);
        return String.format("%08x", crc.getValue());
    }

    private static Map<CommandTarget, CommandState> decode(JSONObject json) throws CorruptCommandFileException {
        int version = json.getInt(KEY_VERSION);
        if (version != VERSION) {
            throw new CorruptCommandFileException("unsupported version " + version);
        }
        Map<CommandTarget, CommandState> commands = new HashMap<>();
        JSONObject states = json.getJSONObject(KEY_COMMANDS);
        for (String key : states.keySet()) {
            JSONObject state = states.getJSONObject(key);
            commands.put(
                    new CommandTarget(key),
                    new CommandState(
                            state.getBoolean(KEY_IN_FORCE),
                            state.getLong(KEY_IN_FORCE_SINCE_US),
                            state.getLong(KEY_CHANGED_AT_US)));
        }
        return commands;
    }
}
