package frostreel.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.time.Deadlines;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The timeouts of a client without an active request, with a manual clock. */
class IdleTimerTest {
    private long nowUs = 1_000_000;
    private int pendingBytes;
    private final List<String> expired = new ArrayList<>();
    private final Deadlines deadlines = new Deadlines(() -> nowUs, delayUs -> {});
    private final IdleTimer timer = new IdleTimer(() -> nowUs, deadlines, () -> pendingBytes, new IdleTimer.Handler() {
        @Override
        public void onMessageTimeout() {
            expired.add("message");
        }

        @Override
        public void onReaderStalled(int unreadBytes) {
            expired.add("reader " + unreadBytes);
        }
    });

    private void advance(long byUs) {
        nowUs += byUs;
        deadlines.runDue();
    }

    @Test
    void messageTimeoutExpiresAfterItsTime() {
        assertThat(timer.awaitMessage()).isTrue();
        advance(IdleTimer.MESSAGE_TIMEOUT_US - 1);
        assertThat(expired).isEmpty();
        advance(1);
        assertThat(expired).containsExactly("message");
    }

    @Test
    void runningMessageTimeoutIsNotExtended() {
        timer.awaitMessage();
        advance(IdleTimer.MESSAGE_TIMEOUT_US - 1);
        assertThat(timer.awaitMessage()).isFalse();
        assertThat(timer.sinceUs()).isEqualTo(1_000_000);
        advance(1);
        assertThat(expired).containsExactly("message");
    }

    @Test
    void idleClientHasNoTimeout() {
        timer.awaitMessage();
        advance(1_000);
        timer.onIdle();
        advance(IdleTimer.READER_TIMEOUT_US);
        assertThat(expired).isEmpty();
        assertThat(timer.sinceUs()).isEqualTo(1_001_000);
    }

    @Test
    void readerTimeoutReplacesMessageTimeoutAndRestartsWithProgress() {
        pendingBytes = 10;
        timer.awaitMessage();
        timer.awaitReader();
        pendingBytes = 4;
        advance(IdleTimer.READER_TIMEOUT_US);
        assertThat(expired).isEmpty();
        advance(IdleTimer.READER_TIMEOUT_US - 1);
        assertThat(expired).isEmpty();
        advance(1);
        assertThat(expired).containsExactly("reader 4");
    }

    @Test
    void cancelledTimeoutDoesNotExpireAndMayBeStartedAgain() {
        timer.awaitMessage();
        timer.cancel();
        advance(IdleTimer.MESSAGE_TIMEOUT_US);
        assertThat(expired).isEmpty();
        assertThat(timer.awaitMessage()).isTrue();
    }
}
