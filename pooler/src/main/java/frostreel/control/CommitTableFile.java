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

/**
 * The memory of {@link SharedCommitTable}: a small file that all processes of one pooler map, with a word on its
 * layout in front. It outlasts no machine, and need not; nothing is ever forced.
 */
final class CommitTableFile implements SharedMemoryLongs {
    static final String NAME = "commits";
    /** The layout, "frostre" and its version: another layout has another. */
    private static final long LAYOUT = 0x66726f7374726501L;

    private static final int BYTES = (1 + SharedCommitTable.LONGS) * Long.BYTES;
    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());
    private final ByteBuffer mapped;
    private final String replaced;

    private CommitTableFile(ByteBuffer mapped, String replaced) {
        this.mapped = mapped;
        this.replaced = replaced;
    }

    /**
     * Maps the folder's file, and makes it where it is missing: whole before it has its name, so that nobody
     * finds half of one, and with every block of it, as a disk that is full shows when a mapping is written
     * to. One that is damaged or of another layout is replaced, for the lives to come; a process that goes on
     * with the old one neither sees nor shows this.
     */
    static CommitTableFile open(Path folder) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(NAME);
        if (Files.notExists(file)) {
            Path fresh = fresh(folder);
            try {
                Files.createLink(file, fresh);
            } catch (FileAlreadyExistsException e) {
                return open(folder); // Another process was faster.
            } finally {
                Files.delete(fresh);
            }
        }
        String fault = fault(file);
        if (fault != null) {
            Files.move(fresh(folder), file, StandardCopyOption.ATOMIC_MOVE);
        }
        return new CommitTableFile(map(file), fault);
    }

    private static Path fresh(Path folder) throws IOException {
        Path fresh = Files.createTempFile(folder, NAME, ".new");
        try (FileChannel out = FileChannel.open(fresh, StandardOpenOption.WRITE)) {
            ByteBuffer bytes =
                    ByteBuffer.allocate(BYTES).order(ByteOrder.nativeOrder()).putLong(0, LAYOUT);
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
        } catch (IOException e) {
            Files.deleteIfExists(fresh);
            throw e;
        }
        return fresh;
    }

    /** What keeps it from being used, null for nothing; a shorter one must not so much as be mapped. */
    private static String fault(Path file) throws IOException {
        try (FileChannel in = FileChannel.open(file, StandardOpenOption.READ)) {
            ByteBuffer head = ByteBuffer.allocate(Long.BYTES).order(ByteOrder.nativeOrder());
            in.read(head);
            boolean good = in.size() == BYTES && !head.hasRemaining() && head.getLong(0) == LAYOUT;
            return good ? null : file + " is damaged or of another version, and replaced";
        }
    }

    private static ByteBuffer map(Path file) throws IOException {
        try (FileChannel all = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return all.map(FileChannel.MapMode.READ_WRITE, 0, BYTES);
        }
    }

    /** Why this is not the file that was there, and what others wrote is not known; null where it is. */
    String replaced() {
        return replaced;
    }

    private static int offset(int index) {
        return (1 + index) * Long.BYTES;
    }

    @Override
    public long get(int index) {
        return (long) LONGS.getVolatile(mapped, offset(index));
    }

    @Override
    public void set(int index, long value) {
        LONGS.setVolatile(mapped, offset(index), value);
    }

    @Override
    public boolean compareAndSet(int index, long from, long to) {
        return LONGS.compareAndSet(mapped, offset(index), from, to);
    }
}
