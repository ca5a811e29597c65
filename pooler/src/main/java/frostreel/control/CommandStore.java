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
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.logging.Logger;

/**
 * The folder in which the processes of one pooler store the operators' commands. Each incarnation has one file,
 * written by it alone, so that processes never overwrite each other's commands. The file gets a new name with each
 * write, so that readers detect changes by the name. Methods block; used by one thread at a time.
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
    /** The highest number of a file of this incarnation that has been deleted. */
    private int lastDeleted;

    /**
     * @param incarnation identifier of this process, unique among all processes that use the folder; letters and
     *     digits only
     */
    CommandStore(Path folder, String incarnation) {
        this.folder = folder;
        this.incarnation = incarnation;
    }

    /** Stores commands in place of those that this incarnation stored before. On return they are synced to disk. */
    void write(Map<CommandTarget, CommandState> commands) throws IOException {
        Files.createDirectories(folder);
        Path temporary = folder.resolve(incarnation + TEMPORARY_SUFFIX);
        try {
            writeAndSync(temporary, CommandFileFormat.encode(incarnation, commands));
        } catch (IOException failure) {
            Files.deleteIfExists(temporary); // It takes up space that the next attempt may need.
            throw failure;
        }
        // The number is not reused even if a later step fails, as readers identify files by their names.
        String name = fileName(++lastWritten);
        Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
        processed.add(name);
        syncFolder();
        deleteOlderThan(lastWritten);
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

    private void deleteOlderThan(int newest) throws IOException {
        for (int number = lastDeleted + 1; number < newest; number++) {
            Files.deleteIfExists(folder.resolve(fileName(number)));
            lastDeleted = number;
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
        TreeMap<Long, Path> byTimeMs = new TreeMap<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + SUFFIX)) {
            for (Path file : files) {
                byTimeMs.putIfAbsent(Files.getLastModifiedTime(file).toMillis(), file);
            }
        } catch (NoSuchFileException folderMissing) {
            return; // Nothing has been written yet.
        }
        while (byTimeMs.size() > MAX_INCARNATIONS) {
            Files.deleteIfExists(byTimeMs.pollFirstEntry().getValue());
        }
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
