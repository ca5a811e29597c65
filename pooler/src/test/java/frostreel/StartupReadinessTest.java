package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.PoolerHarness.look;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Readiness at the start, with and without a list of endpoints in the configuration. */
class StartupReadinessTest extends ClientScript {
    @Test
    void notReadyBeforeTheFirstEndpointList() throws Exception {
        stage.startSilent();
        try (PoolerHarness.Link client = stage.client()) {
            assertThat(client.ask("")).singleElement().asString().contains("|C57P03|");
            stage.lists.add(list(1, true, host("a", primary, "primary", "Ready")));
            // The next call comes right after the list was taken.
            assertThat(stage.discovery.next()).startsWith("GET /discovery/hosts HTTP");
            assertThat(stage.discovery.next()).startsWith("GET /discovery/hosts?index=1&wait=");
            List<String> answer = client.ask("");
            while (answer.get(0).startsWith("E")) {
                answer = client.ask("");
            }
            assertThat(answer).containsExactly("I");
        }
    }

    /** Many that start at once and each ask for the whole list keep discovery from answering any of them. */
    @Test
    void configuredListServesWithoutDiscoveryAndOnlyChangesAreRequested() throws Exception {
        stage.startSilent(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready"));
        assertThat(stage.discovery.next()).startsWith("GET /discovery/hosts?index=0&wait=1 ");
        try (PoolerHarness.Link client = stage.client()) {
            untilReady(client);
            assertThat(value(client.ask(look("1", 9000)))).isEqualTo("from-replica");
            stage.lists.add(list(7, false, host("b", replica, "replica", "Terminating")));
            assertThat(stage.discovery.next()).contains("index=7&wait=2500 ");
            assertThat(value(client.ask(look("2", 9000)))).isEqualTo("from-primary");
            assertThat(stage.discovery.heard).isEmpty();
        }
    }

    /** A start may take longer than the rule on drains allows; what drained meanwhile counts as told. */
    @Test
    void configuredListIsNotUsedBeforeDiscoveryReportedChanges() throws Exception {
        stage.knownPatienceUs = Long.MAX_VALUE / 8;
        stage.startSilent(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready"));
        try (PoolerHarness.Link client = stage.client()) {
            assertThat(client.ask("")).singleElement().asString().contains("|C57P03|");
            assertThat(client.ask(look("1", 9000))).singleElement().asString().contains("|C53300|");
            stage.lists.add(list(7, false, host("b", replica, "replica", "Terminating")));
            untilReady(client);
            assertThat(value(client.ask(look("2", 9000)))).isEqualTo("from-primary");
        }
        assertThat(replica.heard).isEmpty();
        assertThat(stage.pooler.counters()).contains(" attempts=1 ");
    }

    private static void untilReady(PoolerHarness.Link client) throws IOException {
        for (List<String> answer = client.ask(""); !answer.equals(List.of("I")); answer = client.ask("")) {
            assertThat(answer).singleElement().asString().contains("|C57P03|");
        }
    }
}
