package frostreel.control;

import frostreel.broker.Clock;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.logging.Logger;

/**
 * The clock that all processes of one pooler share. Each process anchors its clock to the wall clock once; a
 * wall clock that is stepped between two of them would put their times apart, and what one tells the other
 * of commits and orders by its time would be of the future or of long ago. So the first one leaves its anchor
 * in the folder that they share, and those after it take that, as far as the machine has not started anew:
 * the monotonic clock is the machine's. Blocks for a small file, so before the loop has anything to do.
 */
public final class ClockAnchor {
    private static final String NAME = "clock";
    private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");
    private static final Logger LOG = Logger.getLogger(ClockAnchor.class.getName());

    private ClockAnchor() {}

    /** The clock of this process; {@code folder} is null where it shares with nobody. */
    public static Clock clock(Path folder) {
        Clock own = Clock.system();
        if (folder == null) {
            return own;
        }
        try {
            String boot = Files.readString(BOOT).strip();
            long offsetUs = shared(folder, boot, own.now() - monotonicUs());
            return () -> offsetUs + monotonicUs();
        } catch (IOException e) {
            LOG.warning("the clock is not shared with other processes: " + e);
            return own;
        }
    }

    private static long monotonicUs() {
        return System.nanoTime() / 1000;
    }

    /** From the monotonic clock to Unix time, as the first process of this boot had it. */
    private static long shared(Path folder, String boot, long ownOffsetUs) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve(NAME);
        Long known = read(file, boot);
        if (known != null) {
            return known;
        }
        Path fresh = Files.createTempFile(folder, NAME, ".new");
        try {
            Files.writeString(fresh, boot + " " + ownOffsetUs + "\n", StandardCharsets.US_ASCII);
            Files.deleteIfExists(file); // It is damaged, or of a life before the machine's last start.
            Files.createLink(file, fresh);
            return ownOffsetUs;
        } catch (FileAlreadyExistsException e) {
            Long theirs = read(file, boot); // Another process was faster.
            return theirs == null ? ownOffsetUs : theirs;
        } finally {
            Files.deleteIfExists(fresh);
        }
    }

    /** What the file holds, null where that is nothing of this boot. */
    private static Long read(Path file, String boot) throws IOException {
        try {
            String[] words =
                    Files.readString(file, StandardCharsets.US_ASCII).strip().split(" ");
            return words.length == 2 && words[0].equals(boot) ? Long.valueOf(words[1]) : null;
        } catch (NoSuchFileException | NumberFormatException e) {
            return null;
        }
    }
}
