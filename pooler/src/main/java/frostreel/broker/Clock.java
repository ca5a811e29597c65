package frostreel.broker;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The one clock that all parts of a pooler read: Unix microseconds, and it never goes back. */
public interface Clock {
    long now();

    /** Anchored once to the system's time, and from then on advanced by the monotonic timer. */
    static Clock system() {
        long anchorUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
        long anchorNanos = System.nanoTime();
        return () -> anchorUs + (System.nanoTime() - anchorNanos) / 1000;
    }
}
