package frostreel.time;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The one clock that all parts of a pooler read: Unix microseconds that never decrease. */
public interface Clock {
    /** The time now, in Unix microseconds. */
    long now();

    /** A clock that starts at the system clock's time and advances by the monotonic timer. */
    static Clock system() {
        long startUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
        long startNs = System.nanoTime();
        return () -> startUs + (System.nanoTime() - startNs) / 1000;
    }
}
