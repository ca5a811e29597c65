package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.PoolerHarness.rows;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Endpoint list updates while requests are served. */
class EndpointListTest extends AbstractPoolerTest {
    @Test
    void completeListIsRequestedAfterTheVersionDecreased() throws Exception {
        harness.startSilent(host("a", primary, "primary", "Ready"));
        harness.lists.add(list(9, false));
        harness.lists.add(list(3, false));
        harness.discovery.next();
        assertThat(harness.discovery.next()).contains("index=9&");
        assertThat(harness.discovery.next()).startsWith("GET /discovery/hosts HTTP");
    }

    @Test
    void drainingServerReceivesNoNewRequest() throws Exception {
        start();
        try (WireConnection client = harness.client()) {
            client.execute(readSql("1", 9000));
            assertThat(replica.received).hasSize(1);
            harness.discovery.next();
            harness.discovery.next();
            harness.lists.add(list(2, false, host("b", replica, "replica", "Terminating")));
            assertThat(harness.discovery.next()).contains("index=2&");
            assertThat(replica.closedConnections.take()).isEqualTo("closed"); // Its idle connection was closed.
            assertThat(value(client.execute(readSql("2", 9000)))).isEqualTo("from-primary");
            assertThat(replica.received).hasSize(1);
        }
    }

    /**
     * Guards against a request that is sent to a draining server too late, because it waited for a connection whose
     * handshake took longer than sends to a draining server are allowed.
     */
    @Test
    void requestWaitingForConnectionIsReroutedWhenItsServerDrainsOrMoves() throws Exception {
        ScriptedPeer moved = harness.server(rows("from-moved", "replica"));
        replica.handshake = (text, link) -> replica.received.add("handshake without a response");
        start();
        harness.discovery.next();
        harness.discovery.next();
        try (WireConnection client = harness.client()) {
            client.send(query(readSql("1", 9000)));
            assertThat(replica.next()).isEqualTo("handshake without a response");
            harness.lists.add(list(2, false, host("b", replica, "replica", "Terminating")));
            assertThat(value(client.readResponse())).isEqualTo("from-primary");
            assertThat(replica.closedConnections.take()).isEqualTo("closed");

            harness.lists.add(list(3, false, host("b", replica, "replica", "Ready")));
            assertThat(harness.discovery.next()).contains("index=2&");
            assertThat(harness.discovery.next()).contains("index=3&");
            client.send(query(readSql("2", 9000)));
            assertThat(replica.next()).isEqualTo("handshake without a response");
            harness.lists.add(list(4, false, host("b", moved, "replica", "Ready")));
            assertThat(value(client.readResponse())).isEqualTo("from-primary");
            assertThat(replica.closedConnections.take()).isEqualTo("closed");
            assertThat(value(client.execute(readSql("3", 9000)))).isEqualTo("from-moved");
        }
        assertThat(harness.pooler.counters()).contains("outcomes={OK=3, NOT_SENT=2}");
    }

    @Test
    void lastListStaysInUseWhileDiscoveryIsDown() throws Exception {
        start();
        harness.discovery.close();
        harness.lists.add("not a list");
        while (harness.pooler.counters().contains("discovery_failures=0 ")) {
            Thread.onSpinWait();
        }
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-replica");
        }
    }
}
