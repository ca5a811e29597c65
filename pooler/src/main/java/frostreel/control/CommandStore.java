package frostreel.control;

import frostreel.operation.CommandState;
import frostreel.operation.CommandTarget;
import frostreel.operation.OperatorCommands;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * The folder in which the processes of one pooler store the operators' commands. Each incarnation has one file, or
 * several if its commands do not fit into one, written by it alone, so that processes never overwrite each other's
 * commands. A file gets a new name with each write, so that readers detect changes by the name. Methods block; used by
 * one thread at a time.
 */
final class CommandStore {
    private static final String SUFFIX = ".orders";
    private static final String TEMPORARY_SUFFIX = ".new";
    /** Number of incarnations whose files are kept; later incarnations have merged the commands of older ones. */
    private static final int MAX_INCARNATIONS = 16;
    /** Longer than any write takes: a temporary file of this age was left by a killed process. */
    private static final long MAX_WRITE_MS = 60_000;

    private static final Logger LOG = Logger.getLogger(CommandStore.class.getName());

    /**
     * The result of a read.
     *
     * @param complete whether every file could be read
     */
    record ReadResult(Map<CommandTarget, CommandState> commands, boolean complete) {
        static final ReadResult NO_FILES = new ReadResult(Map.of(), true);
        static final ReadResult UNREADABLE = new ReadResult(Map.of(), false);
    }

    private final Path folder;
    private final String incarnation;
    /** Names of the files that need not be read again: read, written by this process, or found corrupt. */
    private final Set<String> processed = new HashSet<>();
    /** The number in the name of this incarnation's newest file. */
    private int lastWritten;
    /** The files of this incarnation with their content, in the order of its parts. */
    private List<StoredPart> storedParts = List.of();
    /** Names of files of this incarnation that are to be deleted. */
    private final Set<String> obsolete = new TreeSet<>();

    @SuppressWarnings("ArrayRecordComponent") // Parts are compared by their content alone.
    private record StoredPart(String name, byte[] content) {}

    /**
     * @param incarnation identifier of this process, unique among all processes that use the folder; letters and
     *     digits only
     */
    CommandStore(Path folder, String incarnation) {
        this.folder = folder;
        this.incarnation = incarnation;
    }

    /**
     * Stores commands in place of those that this incarnation stored before. On return they are synced to disk. Until
     * all of them are, the files that contain the former ones are kept.
     */
    void write(Map<CommandTarget, CommandState> commands) throws IOException {
        Files.createDirectories(folder);
        List<byte[]> contents = CommandFileFormat.encodeParts(incarnation, commands);
        storedParts.forEach(part -> obsolete.add(part.name()));
        List<StoredPart> written = new ArrayList<>();
        for (int i = 0; i < contents.size(); i++) {
            boolean isStored =
                    i < storedParts.size() && Arrays.equals(storedParts.get(i).content(), contents.get(i));
            written.add(isStored && contents.size() > 1 ? storedParts.get(i) : store(contents.get(i)));
        }
        syncFolder();
        written.forEach(part -> obsolete.remove(part.name()));
        storedParts = written;
        deleteObsolete();
    }

    /** Stores a part under a new name, which is obsolete unless the other parts can be stored, too. */
    private StoredPart store(byte[] content) throws IOException {
        Path temporary = folder.resolve(incarnation + TEMPORARY_SUFFIX);
        try {
            writeAndSync(temporary, content);
        } catch (IOException failure) {
            Files.deleteIfExists(temporary); // It takes up space that the next attempt may need.
            throw failure;
        }
        // The number is not reused even if a later step fails, as readers identify files by their names.
        String name = fileName(++lastWritten);
        Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        processed.add(name);
        obsolete.add(name);
        return new StoredPart(name, content);
    }

    private static void writeAndSync(Path file, byte[] content) throws IOException {
        try (FileChannel out = FileChannel.open(
                file, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer remaining = ByteBuffer.wrap(content);
            while (remaining.hasRemaining()) {
                out.write(remaining);
            }
            out.force(true);
        }
    }

    private void syncFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private void deleteObsolete() throws IOException {
        for (Iterator<String> names = obsolete.iterator(); names.hasNext(); names.remove()) {
            Files.deleteIfExists(folder.resolve(names.next()));
        }
    }

    private String fileName(int number) {
        return String.format("%s-%08d%s", incarnation, number, SUFFIX);
    }

    /**
     * Reads the commands that other incarnations have written since the last call, and returns the last one for each
     * target. A corrupt file is logged once and skipped; a file that cannot be read is retried at the next call.
     */
    ReadResult readOthers() throws IOException {
        Set<String> present;
        try {
            present = fileNames();
        } catch (NoSuchFileException folderMissing) {
            return ReadResult.NO_FILES; // Nothing has been written yet.
        }
        processed.retainAll(present);
        boolean complete = true;
        OperatorCommands merged = new OperatorCommands();
        for (String name : present) {
            if (processed.add(name)) {
                complete &= readInto(merged, name);
            }
        }
        return new ReadResult(merged.all(), complete);
    }

    private Set<String> fileNames() throws IOException {
        Set<String> names = new TreeSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
            files.forEach(file -> names.add(file.getFileName().toString()));
        }
        return names;
    }

    /** Merges the commands of one file; returns false if reading it has to be retried. */
    private boolean readInto(OperatorCommands merged, String name) {
        try {
            CommandFileFormat.decode(Files.readAllBytes(folder.resolve(name))).forEach(merged::merge);
            return true;
        } catch (NoSuchFileException replaced) {
            processed.remove(name); // Its writer has replaced it by a newer file, which the next call reads.
            return true;
        } catch (CorruptCommandFileException corruption) {
            LOG.warning("skipping command file " + name + ": " + corruption.getMessage());
            return true;
        } catch (IOException unreadable) {
            processed.remove(name);
            return false;
        }
    }

    /** Deletes the files of the oldest incarnations, and temporary files of killed processes. */
    void removeStale() throws IOException {
        removeTemporaryFiles();
        removeOldestIncarnations();
    }

    private void removeOldestIncarnations() throws IOException {
        Map<String, Long> lastWrittenMs = new HashMap<>();
        Set<String> names;
        try {
            names = fileNames();
            for (String name : names) {
                long writtenMs = Files.getLastModifiedTime(folder.resolve(name)).toMillis();
                lastWrittenMs.merge(incarnationOf(name), writtenMs, Math::max);
            }
        } catch (NoSuchFileException folderMissing) {
            return; // Nothing has been written yet, or a file is being replaced.
        }
        Set<String> oldest = lastWrittenMs.keySet().stream()
                .sorted(Comparator.comparing(lastWrittenMs::get))
                .limit(Math.max(0, lastWrittenMs.size() - MAX_INCARNATIONS))
                .collect(Collectors.toSet());
        for (String name : names) {
            if (oldest.contains(incarnationOf(name))) {
                Files.deleteIfExists(folder.resolve(name));
            }
        }
    }

    private static String incarnationOf(String fileName) {
        return fileName.substring(0, Math.max(0, fileName.lastIndexOf('-')));
    }

    /** Deletes old temporary files; another process may still be writing recent ones. */
    private void removeTemporaryFiles() throws IOException {
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + TEMPORARY_SUFFIX)) {
            for (Path file : files) {
                long ageMs = System.currentTimeMillis()
                        - Files.getLastModifiedTime(file).toMillis();
                if (ageMs > MAX_WRITE_MS) {
                    Files.deleteIfExists(file);
                }
            }
        } catch (NoSuchFileException folderMissing) {
            return; // Nothing has been written yet.
        }
    }
}
