package frostreel.control;

import frostreel.time.Clock;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.OptionalLong;
import java.util.logging.Logger;

/**
 * Creates the clock that all processes of one pooler share: the machine's monotonic clock plus an offset that
 * converts it to Unix time. The first process stores its offset in the shared folder, and later processes use the
 * stored offset until the machine reboots. If each process computed its own offset at its start, a step of the wall
 * clock between two starts would make their clocks differ, and the timestamps of commits and commands that they
 * exchange would appear to be in the future or long past.
 */
public final class SharedClock {
    private static final String FILE_NAME = "clock";
    private static final String TEMPORARY_SUFFIX = ".new";
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");
    private static final long NANOS_PER_MICRO = 1_000;
    private static final Logger LOG = Logger.getLogger(SharedClock.class.getName());

    private SharedClock() {}

    /**
     * Returns the clock of this process. Blocks on a small file, so it must be called before the event loop starts.
     *
     * @param folder the folder that the processes of this pooler share, null if this is the only process
     */
    public static Clock open(Path folder) {
        Clock own = Clock.system();
        if (folder == null) {
            return own;
        }
        try {
            String bootId = Files.readString(BOOT_ID_FILE).strip();
            long offsetUs = sharedOffsetUs(folder, bootId, own.now() - monotonicUs());
            return () -> offsetUs + monotonicUs();
        } catch (IOException e) {
            LOG.warning("the clock is not shared with other processes: " + e);
            return own;
        }
    }

    /**
     * Whether no process of this pooler has stored its clock in the folder; to be called before {@link #open}. Without
     * a folder there is no knowing.
     */
    public static boolean isFirstProcess(Path folder) {
        return folder != null && Files.notExists(folder.resolve(FILE_NAME));
    }

    /**
     * Stores a clock that is in use again if its file is missing or damaged, so that a later process joins it and does
     * not take itself for the first one. Blocks.
     */
    static void restore(Path folder, Clock inUse) throws IOException {
        String bootId = Files.readString(BOOT_ID_FILE).strip();
        sharedOffsetUs(folder, bootId, inUse.now() - monotonicUs());
    }

    private static long monotonicUs() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /**
     * Returns the offset stored by the first process since the boot; stores this process's own if it is the first.
     */
    private static long sharedOffsetUs(Path folder, String bootId, long ownOffsetUs) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(FILE_NAME);
        OptionalLong stored = storedOffsetUs(file, bootId);
        return stored.isPresent() ? stored.getAsLong() : store(file, bootId, ownOffsetUs);
    }

    /** Stores an offset and returns it, or returns the one that another process has stored concurrently. */
    private static long store(Path file, String bootId, long ownOffsetUs) throws IOException {
        Path temporary = Files.createTempFile(file.getParent(), FILE_NAME, TEMPORARY_SUFFIX);
        try {
            Files.writeString(temporary, bootId + " " + ownOffsetUs + "\n", StandardCharsets.US_ASCII);
            Files.deleteIfExists(file); // The file is corrupt, or from before the last reboot.
            Files.createLink(file, temporary);
            return ownOffsetUs;
        } catch (FileAlreadyExistsException e) {
            return storedOffsetUs(file, bootId).orElse(ownOffsetUs);
        } finally {
            Files.deleteIfExists(temporary);
        }
    }

    /** Returns the offset in the file, empty if it contains none for the current boot. */
    @SuppressWarnings("StringSplitter") // Trailing empty words are to be dropped.
    private static OptionalLong storedOffsetUs(Path file, String bootId) throws IOException {
        try {
            String[] words =
                    Files.readString(file, StandardCharsets.US_ASCII).strip().split(" ");
            boolean ofThisBoot = words.length == 2 && words[0].equals(bootId);
            return ofThisBoot ? OptionalLong.of(Long.parseLong(words[1])) : OptionalLong.empty();
        } catch (NoSuchFileException | NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
