package frostreel;

import static frostreel.PoolerHarness.errors;
import static frostreel.PoolerHarness.rows;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Retries on other members after errors, wrong roles, timeouts and connection failures. */
class FailoverTest extends AbstractPoolerTest {
    @Test
    void retriesWriteOnTheNextMemberAfterWrongRoleAndRemembersThePrimary() throws Exception {
        primary.script = errors("25006", "replica");
        replica.script = rows("from-new-primary", "primary");
        start();
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(writeSql("1", 9000)))).isEqualTo("from-new-primary");
            assertThat(primary.received).hasSize(1);
            assertThat(value(client.execute(writeSql("2", 9000)))).isEqualTo("from-new-primary");
            assertThat(primary.received).hasSize(1);
        }
    }

    /** Asserts that the primary serves a read whose attempt on the replica fails. */
    private void assertReadServedByPrimary() throws Exception {
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-primary");
        }
    }

    @Test
    void retriesReadIfItsConnectionBreaksWithinTheRow() throws Exception {
        replica.script = (text, link) -> {
            link.send(Arrays.copyOf(row("half", "replica"), 30));
            link.close();
        };
        start();
        assertReadServedByPrimary();
    }

    @Test
    void skipsServerThatRefusesConnections() throws Exception {
        start();
        replica.close();
        assertReadServedByPrimary();
    }

    @Test
    void retriesReadAfterErrorAndReusesTheConnection() throws Exception {
        replica.script = errors("XX000", "replica");
        start();
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-primary");
            replica.script = rows("later", "replica");
            client.execute(readSql("2", 9000));
            assertThat(replica.connections.get() + primary.connections.get()).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void advisesRetryAfterInRejection() throws Exception {
        replica.script = errors("53300", "replica");
        primary.script = errors("53300", "primary");
        start();
        try (WireConnection client = harness.client()) {
            List<String> response = client.execute(readSql("1", 300));
            assertThat(response).singleElement().asString().contains("|C53300|").containsPattern("\\|D\\d+\\|");
        }
    }

    @Test
    void closesServerConnectionAtTimeoutAndRespondsToTheClientOnce() throws Exception {
        ScriptedPeer.Script silence = (text, link) -> {};
        replica.script = silence;
        primary.script = silence;
        start();
        try (WireConnection client = harness.client()) {
            assertThat(client.execute(readSql("1", 200)))
                    .singleElement()
                    .asString()
                    .startsWith("E");
            assertThat(replica.closedConnections.take()).isEqualTo("closed");
            replica.script = rows("back", "replica");
            primary.script = rows("back", "primary");
            List<String> response = client.execute(readSql("2", 9000));
            while (response.get(0)
                    .startsWith("E")) { // Requests may be rejected while the server is suspected to be down.
                response = client.execute(readSql("2", 9000));
            }
            assertThat(value(response)).isEqualTo("back");
        }
    }

    @Test
    void retriesReadOnThePrimaryIfTheReplicaIsTooStale() throws Exception {
        replica.script = errors("72000", "replica");
        start();
        assertReadServedByPrimary();
        assertThat(harness.pooler.counters()).contains("WRONG_ROLE_OR_STALE=1");
    }
}
