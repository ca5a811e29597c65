package frostreel.control;

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
import java.util.SplittableRandom;

/**
 * A memory-mapped file that holds a table and is shared by all processes of one pooler. A header that identifies the
 * layout is followed by the table. The content is not needed after a reboot, so it is never synced to disk.
 */
final class SharedTableFile implements SharedMemoryLongs {
    /**
     * A kind of table.
     *
     * @param fileName name of its file in the folder that the processes share
     * @param layout identifies the table and its version; to be changed with the layout
     * @param longs length of the table
     */
    record Format(String fileName, long layout, int longs) {
        private int bytes() {
            return (int) byteOffset(longs);
        }

        /** Returns where the value at an index of the table stands in the file. */
        long byteOffset(int index) {
            return (long) (HEADER_LONGS + index) * Long.BYTES;
        }
    }

    /** How the file was found. */
    enum Origin {
        /** It was there. */
        FOUND,
        /** It was missing and has been created. */
        CREATED,
        /** It was corrupt or of another version, and has been replaced by an empty one. */
        REPLACED
    }

    /**
     * Time, in microseconds, for which a process that does not use a file may still serve beside a new one: SIGTERM
     * reaches it within 6 s, SIGKILL at most 3.7 s later; the rest is for a busy machine.
     */
    static final long STRANGERS_SERVE_US = 15_000_000;

    private static final String TEMPORARY_SUFFIX = ".new";
    /** The header is the layout's identification. */
    private static final int HEADER_LONGS = 1;

    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    private final ByteBuffer mapped;
    private final Origin origin;

    private SharedTableFile(ByteBuffer mapped, Origin origin) {
        this.mapped = mapped;
        this.origin = origin;
    }

    /**
     * Maps the file in the folder, and creates it if missing. A file that is corrupt or of another layout is
     * replaced. A process that still maps the old file and the processes that map the new one do not see each
     * other's entries.
     */
    static SharedTableFile open(Path folder, Format format) throws IOException {
        Origin origin = prepare(folder, format);
        return new SharedTableFile(map(folder.resolve(format.fileName()), format), origin);
    }

    /** Creates the file in the folder if it is missing, and replaces one that is corrupt or of another layout. */
    static Origin prepare(Path folder, Format format) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(format.fileName());
        Origin origin = Origin.FOUND;
        while (Files.notExists(file)) {
            origin = createUnlessPresent(folder, format) ? Origin.CREATED : Origin.FOUND;
        }
        if (!isUsable(file, format)) {
            Files.move(writeEmpty(folder, format), file, StandardCopyOption.ATOMIC_MOVE);
            origin = Origin.REPLACED;
        }
        return origin;
    }

    /**
     * Creates the file under a temporary name and links it once it is complete, so that no process maps an
     * incomplete one. Returns false if another process has created the file concurrently; that one is used.
     */
    private static boolean createUnlessPresent(Path folder, Format format) throws IOException {
        Path complete = writeEmpty(folder, format);
        try {
            Files.createLink(folder.resolve(format.fileName()), complete);
            return true;
        } catch (FileAlreadyExistsException e) {
            return false;
        } finally {
            Files.delete(complete);
        }
    }

    /**
     * Writes an empty table to a temporary file. All blocks are written, as a full disk would otherwise be detected
     * only when the mapping is written to.
     */
    private static Path writeEmpty(Path folder, Format format) throws IOException {
        Path file = Files.createTempFile(folder, format.fileName(), TEMPORARY_SUFFIX);
        try (FileChannel out = FileChannel.open(file, StandardOpenOption.WRITE)) {
            ByteBuffer content = ByteBuffer.allocate(format.bytes())
                    .order(ByteOrder.nativeOrder())
                    .putLong(0, format.layout());
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
    static boolean isUsable(Path file, Format format) throws IOException {
        try (FileChannel in = FileChannel.open(file, StandardOpenOption.READ)) {
            ByteBuffer header = ByteBuffer.allocate(HEADER_LONGS * Long.BYTES).order(ByteOrder.nativeOrder());
            in.read(header);
            return in.size() == format.bytes() && !header.hasRemaining() && header.getLong(0) == format.layout();
        }
    }

    private static ByteBuffer map(Path file, Format format) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return channel.map(FileChannel.MapMode.READ_WRITE, 0, format.bytes());
        }
    }

    /** Returns a number that identifies a process in the table: random, to be unique, and odd, so that it is not 0. */
    static long newIncarnation() {
        return new SplittableRandom().nextLong() | 1;
    }

    /** How the file was found, which tells whether earlier entries of other processes may be missing from it. */
    Origin origin() {
        return origin;
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
