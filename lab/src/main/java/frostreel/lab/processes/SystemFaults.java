package frostreel.lab.processes;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.Charset;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * System calls of one pooler's processes that fail, or take long, for a while. A small library that is
 * preloaded into them looks into a table, which this class maps too; it holds over all lives of a pooler. The
 * library is compiled by the machine's C compiler, once a run. Used by one thread at a time.
 */
final class SystemFaults {
    /** What can fail; in the order of the library's own list. */
    enum Call {
        ACCEPT,
        SOCKET,
        CONNECT,
        WAIT,
        RECEIVE,
        SEND,
        RESOLVE,
        FILES,
        LOG,
        WALL_CLOCK
    }

    /** How it fails, by the numbers that Linux has on all its 64-bit machines in use. */
    enum Errno {
        /** The call goes well, though late, or with another result. */
        NONE(0),
        /** Of a read or write: only one byte goes. */
        SHORT(-1),
        EINTR(4),
        EIO(5),
        ENFILE(23),
        EMFILE(24),
        ENOSPC(28),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105),
        ETIMEDOUT(110),
        EHOSTUNREACH(113);

        final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    /** Strikes without a bound on how often. */
    static final long ALWAYS = -1;

    private static final String SOURCE = "system-faults.c";
    private static final String LIBRARY = "system-faults.so";
    private static final int FIELDS = 5;
    private final Path library;
    private final Path table;
    private final MappedByteBuffer mapped;

    /** {@code library}: from {@link #compile}; {@code table}: a file of this pooler alone, made here. */
    SystemFaults(Path library, Path table) throws IOException {
        this.library = library;
        this.table = table;
        long bytes = (long) Call.values().length * FIELDS * Long.BYTES;
        try (FileChannel all =
                FileChannel.open(table, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            mapped = all.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
            mapped.order(ByteOrder.nativeOrder());
        }
    }

    /** Compiles the library into a folder; blocks. */
    static Path compile(Path folder) throws IOException, InterruptedException {
        Path source = folder.resolve(SOURCE);
        try (InputStream in = SystemFaults.class.getResourceAsStream(SOURCE)) {
            Files.write(source, in.readAllBytes());
        }
        Path library = folder.resolve(LIBRARY);
        Process compiler = new ProcessBuilder(
                        "gcc", "-O1", "-shared", "-fPIC", "-o", library.toString(), source.toString(), "-ldl")
                .redirectErrorStream(true)
                .start();
        String said = new String(compiler.getInputStream().readAllBytes(), Charset.defaultCharset());
        if (compiler.waitFor() != 0) {
            throw new IOException("gcc cannot compile " + SOURCE + ": " + said);
        }
        return library;
    }

    /** What a process needs in its environment to be struck. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FROSTREEL_LAB_FAULTS", table.toString());
    }

    /**
     * From now on for {@code forUs}, and at most {@code times} times, such calls fail; {@code spanUs}: how
     * long each takes, or by how much the wall clock is off. It replaces what was set for that call before.
     */
    @SuppressWarnings("EnumOrdinal") // The library has a row for each call, in this order.
    void strike(Call call, Errno error, long forUs, long times, long spanUs) {
        long now = System.nanoTime(); // CLOCK_MONOTONIC, which the library reads too.
        int at = call.ordinal() * FIELDS * Long.BYTES;
        mapped.putLong(at + 2 * Long.BYTES, 0); // Nothing strikes while the rest changes.
        mapped.putLong(at, error.number);
        mapped.putLong(at + Long.BYTES, now);
        mapped.putLong(at + 3 * Long.BYTES, times);
        mapped.putLong(at + 4 * Long.BYTES, spanUs * 1000);
        mapped.putLong(at + 2 * Long.BYTES, now + forUs * 1000);
    }
}
