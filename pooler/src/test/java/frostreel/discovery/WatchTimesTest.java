package frostreel.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What changed counts as told 6 s after discovery had it and could be reached. */
class WatchTimesTest {
    private static final long LEAVE_US = 6_000_000;

    @Test
    void aCallThatFallsSilentAndOneMoreFitIntoTheLeaveForEverySilence() {
        long found = Watch.WAIT_MS * 1000 + Watch.PATIENCE_US;
        long onceMore = Watch.RETRY_LEAST_US + Watch.PATIENCE_US;
        assertThat(found + onceMore + 2 * Watch.RETRY_LEAST_US).isLessThan(LEAVE_US);
    }

    @Test
    void aCallThatNobodyAnsweredIsMadeAgainWellWithinTheLeave() {
        assertThat(2 * (Watch.RETRY_MOST_US + Watch.PATIENCE_US)).isLessThan(LEAVE_US);
    }
}
