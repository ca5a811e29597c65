package frostreel.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.time.Deadlines;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The timeouts of a client without an active request, with a manual clock. */
class ClientTimeoutsTest {
    private long nowUs = 1_000_000;
    private int pendingBytes;
    private final List<String> expired = new ArrayList<>();
    private final Deadlines deadlines = new Deadlines(() -> nowUs, delayUs -> {});
    private final ClientTimeouts timeouts =
            new ClientTimeouts(() -> nowUs, deadlines, () -> pendingBytes, new ClientTimeouts.Handler() {
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
        assertThat(timeouts.awaitMessage()).isTrue();
        advance(ClientTimeouts.MESSAGE_TIMEOUT_US - 1);
        assertThat(expired).isEmpty();
        advance(1);
        assertThat(expired).containsExactly("message");
    }

    @Test
    void runningMessageTimeoutIsNotExtended() {
        timeouts.awaitMessage();
        advance(ClientTimeouts.MESSAGE_TIMEOUT_US - 1);
        assertThat(timeouts.awaitMessage()).isFalse();
        assertThat(timeouts.sinceUs()).isEqualTo(1_000_000);
        advance(1);
        assertThat(expired).containsExactly("message");
    }

    @Test
    void idleClientHasNoTimeout() {
        timeouts.awaitMessage();
        advance(1_000);
        timeouts.onIdle();
        advance(ClientTimeouts.READER_TIMEOUT_US);
        assertThat(expired).isEmpty();
        assertThat(timeouts.sinceUs()).isEqualTo(1_001_000);
    }

    @Test
    void readerTimeoutReplacesMessageTimeoutAndRestartsWithProgress() {
        pendingBytes = 10;
        timeouts.awaitMessage();
        timeouts.awaitReader();
        pendingBytes = 4;
        advance(ClientTimeouts.READER_TIMEOUT_US);
        assertThat(expired).isEmpty();
        advance(ClientTimeouts.READER_TIMEOUT_US - 1);
        assertThat(expired).isEmpty();
        advance(1);
        assertThat(expired).containsExactly("reader 4");
    }

    @Test
    void cancelledTimeoutDoesNotExpireAndMayBeStartedAgain() {
        timeouts.awaitMessage();
        timeouts.cancel();
        advance(ClientTimeouts.MESSAGE_TIMEOUT_US);
        assertThat(expired).isEmpty();
        assertThat(timeouts.awaitMessage()).isTrue();
    }
}
