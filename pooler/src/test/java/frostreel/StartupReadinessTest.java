package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.TestMessages.readSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Readiness at the start, with and without an endpoint list in the configuration. */
class StartupReadinessTest extends AbstractPoolerTest {
    /** Longer than any test; does not overflow if multiplied by a small factor or added to the time. */
    private static final long ENDLESS_US = Long.MAX_VALUE / 8;

    @Test
    void notReadyBeforeTheFirstEndpointList() throws Exception {
        harness.startSilent();
        try (WireConnection client = harness.client()) {
            assertThat(client.execute("")).singleElement().asString().contains("|C57P03|");
            harness.lists.add(list(1, true, host("a", primary, "primary", "Ready")));
            // The next poll is sent after the list has been applied.
            assertThat(harness.discovery.next()).startsWith("GET /discovery/hosts HTTP");
            assertThat(harness.discovery.next()).startsWith("GET /discovery/hosts?index=1&wait=");
            List<String> response = client.execute("");
            while (response.get(0).startsWith("E")) {
                response = client.execute("");
            }
            assertThat(response).containsExactly("I");
        }
    }

    /** Guards against complete lists requested by many poolers that start at once, which would overload discovery. */
    @Test
    void configuredListServesWithoutDiscoveryAndOnlyChangesAreRequested() throws Exception {
        harness.startSilent(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready"));
        assertThat(harness.discovery.next()).startsWith("GET /discovery/hosts?index=0&wait=1 ");
        try (WireConnection client = harness.client()) {
            awaitReady(client);
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-replica");
            harness.lists.add(list(7, false, host("b", replica, "replica", "Terminating")));
            assertThat(harness.discovery.next()).contains("index=7&wait=2500 ");
            assertThat(value(client.execute(readSql("2", 9000)))).isEqualTo("from-primary");
            assertThat(harness.discovery.received).isEmpty();
        }
    }

    /**
     * Requests may be sent to a draining server only for a limited time after its drain is known, and a drain that is
     * published during the start counts as known from the start of the process. Guards against a request to such a
     * server after that time, which the configured list alone would allow, as it does not contain the drain.
     */
    @Test
    void configuredListIsNotUsedBeforeDiscoveryReportedChanges() throws Exception {
        harness.configuredListWaitUs = ENDLESS_US;
        harness.startSilent(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready"));
        try (WireConnection client = harness.client()) {
            assertThat(client.execute("")).singleElement().asString().contains("|C57P03|");
            assertThat(client.execute(readSql("1", 9000)))
                    .singleElement()
                    .asString()
                    .contains("|C53300|");
            harness.lists.add(list(7, false, host("b", replica, "replica", "Terminating")));
            awaitReady(client);
            assertThat(value(client.execute(readSql("2", 9000)))).isEqualTo("from-primary");
        }
        assertThat(replica.received).isEmpty();
        assertThat(harness.pooler.counters()).contains(" attempts=1 ");
    }

    private static void awaitReady(WireConnection client) throws IOException {
        List<String> response = client.execute("");
        while (!response.equals(List.of("I"))) {
            assertThat(response).singleElement().asString().contains("|C57P03|");
            response = client.execute("");
        }
    }
}
