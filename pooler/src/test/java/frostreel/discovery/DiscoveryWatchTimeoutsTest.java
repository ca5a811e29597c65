package frostreel.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * The platform counts an endpoint list update as delivered 6 s after the agent could first deliver it, so the
 * watch's timeouts and retries must fit into that time.
 */
class DiscoveryWatchTimeoutsTest {
    private static final long DELIVERY_LIMIT_US = 6_000_000;

    @Test
    void overdueRequestAndOneMoreFitIntoTheDeliveryLimit() {
        long firstTimeoutUs = DiscoveryWatch.LONG_POLL_MS * 1000 + DiscoveryWatch.TIMEOUT_US;
        long secondTimeoutUs = Backoff.MIN_US + DiscoveryWatch.TIMEOUT_US;
        long lastBackoffUs = 2 * Backoff.MIN_US;

        assertThat(firstTimeoutUs + secondTimeoutUs + lastBackoffUs).isLessThan(DELIVERY_LIMIT_US);
    }

    @Test
    void unansweredRequestIsRepeatedWellWithinTheDeliveryLimit() {
        assertThat(2 * (Backoff.MAX_US + DiscoveryWatch.TIMEOUT_US)).isLessThan(DELIVERY_LIMIT_US);
    }
}
