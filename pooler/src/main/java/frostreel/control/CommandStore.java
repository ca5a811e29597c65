package frostreel.control;

import frostreel.operation.OperatorCommands;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.logging.Logger;
import java.util.zip.CRC32C;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * Where the orders of this process and of those that serve beside it outlast an end: a folder with one file
 * of each life, whose name changes with each writing. Only a life's own process writes its file, so that two
 * never undo each other's orders. Used by one thread at a time, which may block.
 */
final class CommandStore {
    private static final int VERSION = 1;
    private static final String SUFFIX = ".orders";
    /** Far more than operators ever have in force; a longer file is none of ours. */
    private static final int MAX_BYTES = 1 << 18;
    /** Files of so many lives are kept; the rest were taken over long ago. */
    private static final int MAX_INCARNATIONS = 16;

    private static final String UNFINISHED_SUFFIX = ".new";
    /** No writing takes so long. */
    private static final long MAX_WRITE_MS = 60_000;

    private static final Logger LOG = Logger.getLogger(CommandStore.class.getName());

    /** What was found; {@code complete}: nothing was there that the disk would not give. */
    record ReadResult(Map<String, OperatorCommands.CommandState> commands, boolean complete) {}

    /** A file that is not what a life wrote: it will not get better. */
    private static final class CorruptCommandFileException extends IOException {
        CorruptCommandFileException(String why) {
            super(why);
        }
    }

    private final Path folder;
    private final String incarnation;
    private final Set<String> processed = new HashSet<>();
    /** The number of this life's newest file, and of the newest that is gone. */
    private int lastWritten;

    private int lastDeleted;

    /** {@code life}: this process's own name, which no other life has or had; plain letters and digits. */
    CommandStore(Path folder, String incarnation) {
        this.folder = folder;
        this.incarnation = incarnation;
    }

    /** Puts these in the place of what this life wrote before; on its return they outlast an end. */
    void write(Map<String, OperatorCommands.CommandState> commands) throws IOException {
        Files.createDirectories(folder);
        JSONObject all = new JSONObject();
        commands.forEach((target, o) -> all.put(
                target,
                new JSONObject()
                        .put("inForce", o.inForce())
                        .put("sinceUs", o.inForceSinceUs())
                        .put("atUs", o.changedAtUs())));
        byte[] text = new JSONObject()
                .put("version", VERSION)
                .put("life", incarnation)
                .put("orders", all)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        byte[] head = (checksum(text) + "\n").getBytes(StandardCharsets.US_ASCII);
        Path fresh = folder.resolve(incarnation + UNFINISHED_SUFFIX);
        try {
            writeWhole(fresh, head, text);
        } catch (IOException e) {
            Files.deleteIfExists(fresh); // It takes room that the next try may need.
            throw e;
        }
        // A name of its own each time, also where the steps after it fail: others look at names alone.
        String name = name(++lastWritten);
        Files.move(fresh, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        processed.add(name);
        try (FileChannel f = FileChannel.open(folder, StandardOpenOption.READ)) {
            f.force(true);
        }
        removeOlder(lastWritten);
    }

    private void removeOlder(int newest) throws IOException {
        for (int number = lastDeleted + 1; number < newest; number++) {
            Files.deleteIfExists(folder.resolve(name(number)));
            lastDeleted = number;
        }
    }

    private static void writeWhole(Path fresh, byte[] head, byte[] text) throws IOException {
        try (FileChannel out = FileChannel.open(
                fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer bytes = ByteBuffer.allocate(head.length + text.length)
                    .put(head)
                    .put(text)
                    .flip();
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
    }

    private String name(int number) {
        return String.format("%s-%08d%s", incarnation, number, SUFFIX);
    }

    private static String checksum(byte[] text) {
        CRC32C crc = new CRC32C();
        crc.update(text);
        return String.format("%08x", crc.getValue());
    }

    /**
     * What other lives have written since the last call, the later order on each target. A file that is
     * damaged or of another version is named in the log once, and left out; one that cannot be read now is
     * looked at again at the next call.
     */
    ReadResult readOthers() throws IOException {
        boolean complete = true;
        OperatorCommands found = new OperatorCommands();
        Set<String> present = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
            files.forEach(f -> present.add(f.getFileName().toString()));
        } catch (NoSuchFileException e) {
            return new ReadResult(Map.of(), true); // Nobody has written yet.
        }
        processed.retainAll(present);
        for (String name : present) {
            if (processed.add(name)) {
                try {
                    commands(Files.readAllBytes(folder.resolve(name))).forEach(found::merge);
                } catch (NoSuchFileException e) {
                    processed.remove(name); // Its writer has put another in its place: that is read next time.
                } catch (CorruptCommandFileException | JSONException e) {
                    LOG.warning("orders in " + name + " are left out: " + e.getMessage());
                } catch (IOException e) {
                    processed.remove(name);
                    complete = false;
                }
            }
        }
        return new ReadResult(found.all(), complete);
    }

    private static Map<String, OperatorCommands.CommandState> commands(byte[] file) throws IOException {
        int end = 8;
        if (file.length > MAX_BYTES || file.length <= end || file[end] != '\n') {
            throw new CorruptCommandFileException("a file of " + file.length + " bytes without its checksum");
        }
        byte[] text = new byte[file.length - end - 1];
        System.arraycopy(file, end + 1, text, 0, text.length);
        if (!checksum(text).equals(new String(file, 0, end, StandardCharsets.US_ASCII))) {
            throw new CorruptCommandFileException("its checksum does not fit");
        }
        JSONObject json = new JSONObject(new String(text, StandardCharsets.UTF_8));
        if (json.getInt("version") != VERSION) {
            throw new CorruptCommandFileException("version " + json.getInt("version") + " is not known here");
        }
        Map<String, OperatorCommands.CommandState> commands = new HashMap<>();
        JSONObject all = json.getJSONObject("orders");
        for (String target : all.keySet()) {
            JSONObject o = all.getJSONObject(target);
            commands.put(target, new OperatorCommands.CommandState(o.getBoolean("inForce"), o.getLong("sinceUs"), o.getLong("atUs")));
        }
        return commands;
    }

    /**
     * Removes what the oldest lives left, as what they held has been taken over by a life since, and what
     * lives that were killed while they wrote left unfinished.
     */
    void removeStale() throws IOException {
        TreeMap<Long, Path> byAge = new TreeMap<>();
        removeUnfinished();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
            for (Path f : files) {
                byAge.merge(Files.getLastModifiedTime(f).toMillis(), f, (a, b) -> a);
            }
        } catch (NoSuchFileException e) {
            return;
        }
        while (byAge.size() > MAX_INCARNATIONS) {
            Files.deleteIfExists(byAge.pollFirstEntry().getValue());
        }
    }

    /** Only old ones: a life beside this one may be writing. */
    private void removeUnfinished() throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + UNFINISHED_SUFFIX)) {
            for (Path f : files) {
                long ageMs = System.currentTimeMillis()
                        - Files.getLastModifiedTime(f).toMillis();
                if (ageMs > MAX_WRITE_MS) {
                    Files.deleteIfExists(f);
                }
            }
        } catch (NoSuchFileException e) {
            return; // Nobody has written yet.
        }
    }
}
