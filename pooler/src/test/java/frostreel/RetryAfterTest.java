package frostreel;

import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The Retry-After of requests that are rejected near the limit on connections. */
class RetryAfterTest extends AbstractPoolerTest {
    private final List<WireConnection> clients = new ArrayList<>();

    /** Starts the pooler, occupies clients up to the busy limit, and returns the error that the next request gets. */
    private String rejection() throws Exception {
        harness.unlimitedConcurrency = true;
        replica.script = (text, link) -> {};
        primary.script = replica.script;
        start();
        int busy = PoolerHarness.BUSY_LIMIT;
        for (int i = 0; i < busy; i++) {
            clients.add(harness.client());
            clients.get(i).send(query(readSql("c" + i, 9000)));
        }
        harness.awaitCounter("requests=" + busy);
        clients.add(harness.client());
        return nextRejection("last");
    }

    private String nextRejection(String id) throws Exception {
        List<String> response = clients.get(clients.size() - 1).execute(readSql(id, 9000));
        assertThat(response).singleElement().asString().contains("|C53300|");
        return response.get(0);
    }

    @Test
    void statesTheDefaultRetryAfterWhereAllowed() throws Exception {
        assertThat(rejection()).contains("|D200|");
    }

    @Test
    void capsRetryAfterByTheSettings() throws Exception {
        harness.settings = PoolerHarness.SETTINGS.replace("\"maxRetryAfterS\":2", "\"maxRetryAfterS\":0.12");
        assertThat(rejection()).contains("|D120|");
    }

    @Test
    void statesNoRetryAfterWhereDisabledUntilReload() throws Exception {
        harness.settings = PoolerHarness.SETTINGS.replace("\"retryAfter\":true", "\"retryAfter\":false");
        assertThat(rejection()).doesNotContain("|D");
        harness.settings = PoolerHarness.SETTINGS;
        harness.reload(harness.discovery);
        harness.awaitCounter("reloads=1");
        assertThat(nextRejection("next")).contains("|D200|");
    }
}
