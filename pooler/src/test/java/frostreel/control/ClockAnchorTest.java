package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.time.Clock;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes of one pooler share one clock even if the wall clock is stepped between their starts. */
class ClockAnchorTest {
    private static final long HOUR_US = 3_600_000_000L;

    @TempDir
    Path dir;

    /** How far a clock is ahead of what another one showed earlier. */
    private static long aheadUs(Clock clock, long earlierUs) {
        return clock.now() - earlierUs;
    }

    @Test
    void keepsTheFirstOffsetAfterAStepOfTheWallClock() throws Exception {
        long earlierUs = Clock.system().now();
        ClockAnchor.clock(dir);
        String[] words = Files.readString(dir.resolve("clock")).strip().split(" ");
        // As if the first process had started with a wall clock that was an hour ahead.
        Files.writeString(dir.resolve("clock"), words[0] + " " + (Long.parseLong(words[1]) + HOUR_US));
        assertThat(aheadUs(ClockAnchor.clock(dir), earlierUs)).isBetween(HOUR_US, HOUR_US + 60_000_000);
    }

    @Test
    void replacesDamagedOffsetsAndThoseOfAnotherBoot() throws Exception {
        for (String content : new String[] {"another-boot 12", "", "no number", "a b c"}) {
            Files.writeString(dir.resolve("clock"), content);
            long earlierUs = Clock.system().now();
            assertThat(aheadUs(ClockAnchor.clock(dir), earlierUs)).isBetween(-1_000L, 60_000_000L);
            assertThat(aheadUs(ClockAnchor.clock(dir), earlierUs)).isBetween(-1_000L, 60_000_000L);
        }
    }

    @Test
    void usesItsOwnClockWithoutUsableFolder() throws Exception {
        Path file = Files.writeString(dir.resolve("taken"), "a file in its place");
        long earlierUs = Clock.system().now();
        assertThat(aheadUs(ClockAnchor.clock(file), earlierUs)).isBetween(0L, 60_000_000L);
        assertThat(aheadUs(ClockAnchor.clock(null), earlierUs)).isBetween(0L, 60_000_000L);
    }
}
