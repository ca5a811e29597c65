package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.time.Clock;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The processes of one pooler share one clock, even if the wall clock is stepped between their starts. */
class SharedClockTest {
    private static final long MINUTE_US = 60_000_000;
    private static final long HOUR_US = 60 * MINUTE_US;
    /**
     * How far a shared clock may be behind the system clock, as its offset is computed from two successive readings.
     */
    private static final long ROUNDING_US = 1_000;

    @TempDir
    Path dir;

    /** Returns how far this process's clock in the folder is ahead of an earlier reading of another clock. */
    private static long aheadUs(Path folder, long earlierUs) {
        return SharedClock.open(folder).now() - earlierUs;
    }

    @Test
    void keepsTheFirstOffsetAfterAStepOfTheWallClock() throws Exception {
        long earlierUs = Clock.system().now();
        SharedClock.open(dir);
        String[] words = Files.readString(dir.resolve("clock")).strip().split(" ");
        // Simulates a first process that started while the wall clock was an hour ahead.
        Files.writeString(dir.resolve("clock"), words[0] + " " + (Long.parseLong(words[1]) + HOUR_US));

        assertThat(aheadUs(dir, earlierUs)).isBetween(HOUR_US, HOUR_US + MINUTE_US);
    }

    @ParameterizedTest
    @ValueSource(strings = {"another-boot 12", "", "no number", "a b c"})
    void replacesDamagedOffsetsAndThoseOfAnotherBoot(String content) throws Exception {
        Files.writeString(dir.resolve("clock"), content);
        long earlierUs = Clock.system().now();

        assertThat(aheadUs(dir, earlierUs)).as("replaces it").isBetween(-ROUNDING_US, MINUTE_US);
        assertThat(aheadUs(dir, earlierUs)).as("reads the replacement").isBetween(-ROUNDING_US, MINUTE_US);
    }

    @Test
    void usesItsOwnClockWithoutUsableFolder() throws Exception {
        Path file = Files.writeString(dir.resolve("taken"), "a file in its place");
        long earlierUs = Clock.system().now();

        assertThat(aheadUs(file, earlierUs)).as("a file in its place").isBetween(0L, MINUTE_US);
        assertThat(aheadUs(null, earlierUs)).as("no folder").isBetween(0L, MINUTE_US);
    }
}
