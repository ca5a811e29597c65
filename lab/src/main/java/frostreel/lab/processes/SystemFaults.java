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
 * Makes system calls of one pooler's processes fail or take long for a limited time. A small library, preloaded
 * into the processes, intercepts the calls and looks up a table of faults in shared memory, which this class
 * writes; the table serves all incarnations of the pooler. The library is compiled by the machine's C compiler,
 * once a run. Used by one thread at a time.
 */
final class SystemFaults {
    /** The calls that can fail, in the order of the rows that the library expects. */
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

    /** How a call fails, with the error numbers of Linux on 64-bit machines. */
    enum Errno {
        /** The call succeeds, but late or with another result. */
        NONE(0),
        /** A read or write transfers a single byte. */
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

    /** In place of the number of calls that fail: all of them. */
    static final long EVERY_TIME = -1;

    private static final String SOURCE = "system-faults.c";
    private static final String LIBRARY = "system-faults.so";

    /** A row of the table: error number, begin, end, remaining calls, span; times in nanoseconds. */
    private static final int ROW_BYTES = 5 * Long.BYTES;

    private static final int ERROR_OFFSET = 0;
    private static final int BEGIN_OFFSET = Long.BYTES;
    private static final int END_OFFSET = 2 * Long.BYTES;
    private static final int TIMES_OFFSET = 3 * Long.BYTES;
    private static final int SPAN_OFFSET = 4 * Long.BYTES;
    private static final long NS_PER_US = 1000;

    private final Path library;
    private final Path table;
    private final MappedByteBuffer mapped;

    /**
     * Creates the table without faults.
     *
     * @param library the result of {@link #compile}
     * @param table the table's file, which belongs to this pooler alone
     */
    SystemFaults(Path library, Path table) throws IOException {
        this.library = library;
        this.table = table;
        long bytes = (long) Call.values().length * ROW_BYTES;
        try (FileChannel channel =
                FileChannel.open(table, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            mapped = channel.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
            mapped.order(ByteOrder.nativeOrder());
        }
    }

    /** Compiles the library into a folder, and returns its path; blocks. */
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
        String output = new String(compiler.getInputStream().readAllBytes(), Charset.defaultCharset());
        if (compiler.waitFor() != 0) {
            throw new IOException("gcc cannot compile " + SOURCE + ": " + output);
        }
        return library;
    }

    /** The environment variables with which a process preloads the library. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FROSTREEL_LAB_FAULTS", table.toString());
    }

    /**
     * Makes a call fail from now on; replaces the fault that was set for the call before.
     *
     * @param durationUs for how long the call fails
     * @param times how many calls fail at most, or {@link #EVERY_TIME}
     * @param spanUs how long each call takes, or by how much the wall clock is off
     */
    @SuppressWarnings("EnumOrdinal") // The library has a row for each call, in this order.
    void inject(Call call, Errno error, long durationUs, long times, long spanUs) {
        long nowNs = System.nanoTime(); // CLOCK_MONOTONIC, which the library reads too.
        int row = call.ordinal() * ROW_BYTES;
        mapped.putLong(row + END_OFFSET, 0); // No call fails while the other fields change.
        mapped.putLong(row + ERROR_OFFSET, error.number);
        mapped.putLong(row + BEGIN_OFFSET, nowNs);
        mapped.putLong(row + TIMES_OFFSET, times);
        mapped.putLong(row + SPAN_OFFSET, spanUs * NS_PER_US);
        mapped.putLong(row + END_OFFSET, nowNs + durationUs * NS_PER_US);
    }
}
