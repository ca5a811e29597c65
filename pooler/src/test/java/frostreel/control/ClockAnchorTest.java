package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.broker.Clock;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes of one pooler read one clock, though the wall clock be stepped between their starts. */
class ClockAnchorTest {
    private static final long HOUR_US = 3_600_000_000L;

    @TempDir
    Path dir;

    /** How far a clock read now is ahead of another read before. */
    private static long ahead(Clock clock, long ofUs) {
        return clock.now() - ofUs;
    }

    @Test
    void theFirstAnchorHoldsForThoseThatStartAfterAStepOfTheWallClock() throws Exception {
        long before = Clock.system().now();
        ClockAnchor.clock(dir);
        String[] words = Files.readString(dir.resolve("clock")).strip().split(" ");
        // As if the first had started with a wall clock an hour ahead.
        Files.writeString(dir.resolve("clock"), words[0] + " " + (Long.parseLong(words[1]) + HOUR_US));
        assertThat(ahead(ClockAnchor.clock(dir), before)).isBetween(HOUR_US, HOUR_US + 60_000_000);
    }

    @Test
    void anAnchorOfAnotherBootOrADamagedOneIsReplaced() throws Exception {
        for (String old : new String[] {"another-boot 12", "", "no number", "a b c"}) {
            Files.writeString(dir.resolve("clock"), old);
            long before = Clock.system().now();
            assertThat(ahead(ClockAnchor.clock(dir), before)).isBetween(-1_000L, 60_000_000L);
            assertThat(ahead(ClockAnchor.clock(dir), before)).isBetween(-1_000L, 60_000_000L);
        }
    }

    @Test
    void aFolderThatTakesNothingLeavesTheProcessItsOwnClock() throws Exception {
        Path file = Files.writeString(dir.resolve("taken"), "a file in its place");
        long before = Clock.system().now();
        assertThat(ahead(ClockAnchor.clock(file), before)).isBetween(0L, 60_000_000L);
        assertThat(ahead(ClockAnchor.clock(null), before)).isBetween(0L, 60_000_000L);
    }
}
