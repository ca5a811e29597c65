package frostreel.control;

import frostreel.operation.SharedCommitTable;
import frostreel.operation.SharedMemoryLongs;
import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/**
 * The memory-mapped file that holds a {@link SharedCommitTable} and is shared by all processes of one pooler. A
 * header that identifies the layout is followed by the table. The content is not needed after a reboot, so it is
 * never synced to disk.
 */
final class CommitTableFile implements SharedMemoryLongs {
    static final String NAME = "commits";
    private static final String TEMPORARY_SUFFIX = ".new";
    /** The header: "frostre" in ASCII, then the version of the layout, to be changed with the layout. */
    private static final long LAYOUT = 0x66726f7374726501L;

    private static final int HEADER_LONGS = 1;
    private static final int BYTES = (HEADER_LONGS + SharedCommitTable.LONGS) * Long.BYTES;
    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    private final ByteBuffer mapped;
    private final String replacementReason;

    private CommitTableFile(ByteBuffer mapped, String replacementReason) {
        this.mapped = mapped;
        this.replacementReason = replacementReason;
    }

    /**
     * Maps the file in the folder, and creates it if missing. A file that is corrupt or of another layout is
     * replaced. A process that still maps the old file and the processes that map the new one do not see each
     * other's commits.
     */
    static CommitTableFile open(Path folder) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(NAME);
        while (Files.notExists(file)) {
            createUnlessPresent(folder, file);
        }
        boolean usable = isUsable(file);
        if (!usable) {
            Files.move(writeEmpty(folder), file, StandardCopyOption.ATOMIC_MOVE);
        }
        return new CommitTableFile(map(file), usable ? null : file + " was corrupt or of another version; replaced");
    }

    /**
     * Creates the file under a temporary name and links it once it is complete, so that no process maps an
     * incomplete one.
     */
    private static void createUnlessPresent(Path folder, Path file) throws IOException {
        Path complete = writeEmpty(folder);
        try {
            Files.createLink(file, complete);
        } catch (FileAlreadyExistsException e) {
            // Another process has created the file concurrently; that one is used.
        } finally {
            Files.delete(complete);
        }
    }

    /**
     * Writes an empty table to a temporary file. All blocks are written, as a full disk would otherwise be detected
     * only when the mapping is written to.
     */
    private static Path writeEmpty(Path folder) throws IOException {
        Path file = Files.createTempFile(folder, NAME, TEMPORARY_SUFFIX);
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.WRITE)) {
            ByteBuffer content =
                    ByteBuffer.allocate(BYTES).order(ByteOrder.nativeOrder()).putLong(0, LAYOUT);
            while (content.hasRemaining()) {
                out.write(content);
            }
        } catch (IOException e) {
            Files.deleteIfExists(file);
            throw e;
        }
        return file;
    }

    /** Whether the file has the current layout. A shorter file must not be mapped: access past its end is fatal. */
    private static boolean isUsable(Path file) throws IOException {
        try (FileChannel in = FileChannel.open(file, StandardOpenOption.READ)) {
            ByteBuffer header = ByteBuffer.allocate(HEADER_LONGS * Long.BYTES).order(ByteOrder.nativeOrder());
            in.read(header);
            return in.size() == BYTES && !header.hasRemaining() && header.getLong(0) == LAYOUT;
        }
    }

    private static ByteBuffer map(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES);
        }
    }

    /**
     * The reason why an existing file was replaced, so that its content is lost to this process; empty if it was
     * not.
     */
    Optional<String> replacementReason() {
        return Optional.ofNullable(replacementReason);
    }

    private static int byteOffset(int index) {
        return (HEADER_LONGS + index) * Long.BYTES;
    }

    @Override
    public long get(int index) {
        return (long) LONGS.getVolatile(mapped, byteOffset(index));
    }

    @Override
    public void set(int index, long value) {
        LONGS.setVolatile(mapped, byteOffset(index), value);
    }

    @Override
    public boolean compareAndSet(int index, long expected, long newValue) {
        return LONGS.compareAndSet(mapped, byteOffset(index), expected, newValue);
    }
}
