package frostreel.broker;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * The program's one clock: Unix microseconds, anchored once to the system's time and from then on advanced by
 * the monotonic timer, so that it never goes back.
 */
public final class Clock {
    private final long anchorUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long anchorNanos = System.nanoTime();

    public long now() {
        return anchorUs + (System.nanoTime() - anchorNanos) / 1000;
    }
}
