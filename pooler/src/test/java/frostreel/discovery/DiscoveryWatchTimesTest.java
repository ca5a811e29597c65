package frostreel.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What changed counts as told 6 s after discovery had it and could be reached. */
class DiscoveryWatchTimesTest {
    private static final long LEAVE_US = 6_000_000;

    @Test
    void aCallThatFallsSilentAndOneMoreFitIntoTheLeaveForEverySilence() {
        long found = DiscoveryWatch.LONG_POLL_MS * 1000 + DiscoveryWatch.TIMEOUT_US;
        long onceMore = Backoff.MIN_US + DiscoveryWatch.TIMEOUT_US;
        assertThat(found + onceMore + 2 * Backoff.MIN_US).isLessThan(LEAVE_US);
    }

    @Test
    void aCallThatNobodyAnsweredIsMadeAgainWellWithinTheLeave() {
        assertThat(2 * (Backoff.MAX_US + DiscoveryWatch.TIMEOUT_US)).isLessThan(LEAVE_US);
    }
}
