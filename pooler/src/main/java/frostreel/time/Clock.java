package frostreel.time;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** The clock that all parts of a pooler share: Unix time in microseconds that never decreases. */
public interface Clock {
    /** Returns the current time in Unix microseconds. */
    long now();

    /** Returns a clock that starts at the system clock's time and advances with the monotonic timer. */
    static Clock system() {
        long startUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
        long startNs = System.nanoTime();
        return () -> startUs + (System.nanoTime() - startNs) / 1000;
    }
}
