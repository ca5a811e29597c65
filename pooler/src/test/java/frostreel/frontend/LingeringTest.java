package frostreel.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.time.Deadlines;
import org.junit.jupiter.api.Test;

/** How long, and for how many bytes, a closed client is still read from, on a clock that tests move. */
class LingeringTest {
    private static final long LINGER_US = 300_000;
    private long nowUs;
    private int closes;
    private final Deadlines deadlines = new Deadlines(() -> nowUs, delayUs -> {});
    private final Lingering lingering = new Lingering(deadlines, () -> closes++);

    private void advance(long byUs) {
        nowUs += byUs;
        deadlines.runDue();
    }

    @Test
    void closesOnceTheLingerTimeHasPassed() {
        lingering.begin(LINGER_US);
        advance(LINGER_US - 1);
        assertThat(closes).isZero();
        advance(1);
        assertThat(closes).isEqualTo(1);
    }

    @Test
    void doesNotCloseAfterCancel() {
        lingering.begin(LINGER_US);
        lingering.cancel();
        advance(LINGER_US);
        assertThat(closes).isZero();
    }

    @Test
    void boundsTheDroppedBytesAndCountsThemAnewFromItsBegin() {
        assertThat(lingering.dropsTooMuch(Lingering.MAX_DROPPED_BYTES)).isFalse();
        assertThat(lingering.dropsTooMuch(1)).isTrue();
        lingering.begin(LINGER_US);
        assertThat(lingering.dropsTooMuch(Lingering.MAX_DROPPED_BYTES)).isFalse();
        assertThat(lingering.dropsTooMuch(1)).isTrue();
    }
}
