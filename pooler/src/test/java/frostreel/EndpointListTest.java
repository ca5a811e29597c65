package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.PoolerHarness.look;
import static frostreel.PoolerHarness.query;
import static frostreel.PoolerHarness.rows;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Changes of the endpoint list while requests are served. */
class EndpointListTest extends ClientScript {
    @Test
    void listWhoseVersionWentBackIsRequestedInFull() throws Exception {
        stage.startSilent(host("a", primary, "primary", "Ready"));
        stage.lists.add(list(9, false));
        stage.lists.add(list(3, false));
        stage.discovery.next();
        assertThat(stage.discovery.next()).contains("index=9&");
        assertThat(stage.discovery.next()).startsWith("GET /discovery/hosts HTTP");
    }

    @Test
    void drainingServerReceivesNoNewRequest() throws Exception {
        start();
        try (PoolerHarness.Link client = stage.client()) {
            client.ask(look("1", 9000));
            assertThat(replica.heard).hasSize(1);
            stage.discovery.next();
            stage.discovery.next();
            stage.lists.add(list(2, false, host("b", replica, "replica", "Terminating")));
            assertThat(stage.discovery.next()).contains("index=2&");
            assertThat(replica.ended.take()).isEqualTo("ended"); // Its idle connection was closed.
            assertThat(value(client.ask(look("2", 9000)))).isEqualTo("from-primary");
            assertThat(replica.heard).hasSize(1);
        }
    }

    /** Its handshake may last longer than the rule on drains allows, and the request would follow it. */
    @Test
    void requestWaitingForConnectionMovesWhenItsServerDrainsOrMoves() throws Exception {
        PoolerHarness.Peer moved = stage.server(rows("from-moved", "replica"));
        replica.welcome = (text, link) -> replica.heard.add("a handshake that does not end");
        start();
        stage.discovery.next();
        stage.discovery.next();
        try (PoolerHarness.Link client = stage.client()) {
            client.send(query(look("1", 9000)));
            assertThat(replica.next()).isEqualTo("a handshake that does not end");
            stage.lists.add(list(2, false, host("b", replica, "replica", "Terminating")));
            assertThat(value(client.takeAnswer())).isEqualTo("from-primary");
            assertThat(replica.ended.take()).isEqualTo("ended");

            stage.lists.add(list(3, false, host("b", replica, "replica", "Ready")));
            assertThat(stage.discovery.next()).contains("index=2&");
            assertThat(stage.discovery.next()).contains("index=3&");
            client.send(query(look("2", 9000)));
            assertThat(replica.next()).isEqualTo("a handshake that does not end");
            stage.lists.add(list(4, false, host("b", moved, "replica", "Ready")));
            assertThat(value(client.takeAnswer())).isEqualTo("from-primary");
            assertThat(replica.ended.take()).isEqualTo("ended");
            assertThat(value(client.ask(look("3", 9000)))).isEqualTo("from-moved");
        }
        assertThat(stage.pooler.counters()).contains("outcomes={OK=3, NOT_SENT=2}");
    }

    @Test
    void lastListStaysInUseWhileDiscoveryIsDown() throws Exception {
        start();
        stage.discovery.close();
        stage.lists.add("not a list");
        while (stage.pooler.counters().contains("discovery_failures=0 ")) {
            Thread.onSpinWait();
        }
        try (PoolerHarness.Link client = stage.client()) {
            assertThat(value(client.ask(look("1", 9000)))).isEqualTo("from-replica");
        }
    }
}
