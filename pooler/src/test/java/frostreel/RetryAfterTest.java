package frostreel;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Retry-After of requests that are rejected near the limit on client connections. */
class RetryAfterTest extends AbstractPoolerTest {
    private WireConnection lastClient;

    /** Starts the pooler, keeps as many clients busy as the limit allows, and returns the next request's error. */
    private String rejection() throws Exception {
        harness.unlimitedConcurrency = true;
        withholdResponses();
        start();
        busyClients(PoolerHarness.BUSY_LIMIT);
        harness.awaitCounter("requests=" + PoolerHarness.BUSY_LIMIT);
        lastClient = harness.client();
        return nextRejection();
    }

    private String nextRejection() throws Exception {
        List<String> response = lastClient.execute(nextReadSql());
        assertError(response, "53300");
        return response.get(0);
    }

    @Test
    void advisesTheDefaultRetryAfterIfAllowed() throws Exception {
        assertThat(rejection()).contains("|D200|");
    }

    @Test
    void capsRetryAfterAtTheMaximumOfTheSettings() throws Exception {
        harness.settings = PoolerHarness.SETTINGS.replace("\"maxRetryAfterS\":2", "\"maxRetryAfterS\":0.12");
        assertThat(rejection()).contains("|D120|");
    }

    @Test
    void advisesNoRetryAfterUntilReloadEnablesIt() throws Exception {
        harness.settings = PoolerHarness.SETTINGS.replace("\"retryAfter\":true", "\"retryAfter\":false");
        assertThat(rejection()).doesNotContain("|D");
        harness.settings = PoolerHarness.SETTINGS;
        harness.reload(harness.discovery);
        harness.awaitCounter("reloads=1");
        assertThat(nextRejection()).contains("|D200|");
    }
}
