package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Limit, eviction and closing of server connections. */
class ServerConnectionsTest extends AbstractPoolerTest {
    @Test
    void closesServerConnectionWhenItsClientDisconnects() throws Exception {
        replica.script = (text, link) -> {};
        start();
        try (WireConnection client = harness.client()) {
            client.send(query(readSql("1", 9000)));
            assertThat(replica.next()).contains("id=1,");
        }
        assertThat(replica.closedConnections.take()).isEqualTo("closed");
    }

    /** Always evicting connections to the same server would cost that server a handshake for each request. */
    @Test
    void evictsTheLongestIdleConnectionAtTheLimit() throws Exception {
        List<String> order = List.of("d", "c", "b", "a", "e"); // Not the order of names or hashes.
        Map<String, ScriptedPeer> servers = new HashMap<>();
        List<String> hosts = new ArrayList<>();
        int requestsPerServer = PoolerHarness.MAX_SERVERS / 4;
        for (String id : order) {
            CountDownLatch allReceived = new CountDownLatch(id.equals("e") ? 1 : requestsPerServer);
            servers.put(id, harness.server((text, link) -> {
                allReceived.countDown();
                PoolerHarness.await(allReceived);
                link.send(row(id, "primary"), TestMessages.READY);
            }));
            hosts.add(host(id, servers.get(id), "primary", "Ready")
                    .replace("\"block\":2", "\"block\":" + (int) id.charAt(0)));
        }
        harness.start(hosts.toArray(String[]::new));
        for (String id : order) {
            List<WireConnection> clients = new ArrayList<>();
            for (int i = 0; i < (id.equals("e") ? 1 : requestsPerServer); i++) {
                clients.add(harness.client());
                clients.get(i)
                        .send(query(writeSql(id + i, 9000).replace("cluster=2", "cluster=" + (int) id.charAt(0))));
            }
            for (WireConnection client : clients) {
                assertThat(value(client.readResponse())).isEqualTo(id);
                client.close();
            }
        }
        assertThat(servers.get("d").closedConnections.take()).isEqualTo("closed");
        // Opened in total: one more than the limit, as one was evicted.
        assertThat(harness.pooler.counters())
                .contains("server_connections=" + (PoolerHarness.MAX_SERVERS + 1) + " ")
                .contains("server_connections_evicted=1 ");
        for (String id : List.of("c", "b", "a", "e")) {
            assertThat(servers.get(id).closedConnections).as(id).isEmpty();
        }
    }

    @Test
    void delaysNoRequestWhenServerClosesConnectionsAfterTheHandshake() throws Exception {
        replica.handshake = (text, link) -> {
            link.send(TestMessages.bytes('R', new byte[4]), TestMessages.READY);
            link.close();
        };
        start();
        try (WireConnection client = harness.client()) {
            for (int i = 0; i < 50; i++) {
                assertThat(value(client.execute(readSql("id" + i, 9000)))).isEqualTo("from-primary");
            }
        }
        assertThat(harness.pooler.counters()).doesNotContain("NOT_SENT").doesNotContain("TIMEOUT");
    }

    /** Guards against requests on idle connections that their servers close earlier under new settings. */
    @Test
    void shorterIdleTimeoutAppliesToConnectionsThatAreIdle() throws Exception {
        harness.settings = PoolerHarness.SETTINGS.replace("\"idleCloseS\":30", "\"idleCloseS\":1000");
        start();
        idleClients(1);

        harness.settings = PoolerHarness.SETTINGS.replace("\"idleCloseS\":30", "\"idleCloseS\":0.1");
        harness.reload(harness.discovery);

        assertThat(replica.closedConnections.take()).isEqualTo("closed");
    }
}
