package frostreel.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.time.Deadlines;
import org.junit.jupiter.api.Test;

/** The time limit and the byte limit of a lingering close, with a manual clock. */
class LingeringCloseTest {
    private static final long LINGER_US = 300_000;
    private long nowUs;
    private int closes;
    private final Deadlines deadlines = new Deadlines(() -> nowUs, delayUs -> {});
    private final LingeringClose lingering = new LingeringClose(deadlines, () -> closes++);

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
    void limitsDroppedBytesAndRestartsTheirCountWhenLingeringBegins() {
        assertThat(lingering.exceedsDropLimit(LingeringClose.MAX_DROPPED_BYTES)).isFalse();
        assertThat(lingering.exceedsDropLimit(1)).isTrue();
        lingering.begin(LINGER_US);
        assertThat(lingering.exceedsDropLimit(LingeringClose.MAX_DROPPED_BYTES)).isFalse();
        assertThat(lingering.exceedsDropLimit(1)).isTrue();
    }
}
