package frostreel;

import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Malformed, surplus and unreadable bytes from servers. */
class ServerProtocolTest extends AbstractPoolerTest {
    @Test
    void malformedServerResponseClosesItsConnectionAndIsRetried() throws Exception {
        replica.script = (text, link) -> link.send(new byte[] {'T', -1, 0, 0, 0});
        start();
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-primary");
        }
    }

    @Test
    void surplusBytesAreNeverTakenForTheNextResponse() throws Exception {
        replica.script = (text, link) -> {
            byte[] row = row(TestMessages.requestId(text), "replica");
            link.send(row, TestMessages.READY, row, TestMessages.READY);
        };
        primary.script = replica.script;
        start();
        try (WireConnection client = harness.client()) {
            for (int i = 0; i < 20; i++) {
                assertThat(value(client.execute(readSql("id" + i, 9000)))).isEqualTo("id" + i);
            }
            assertThat(harness.pooler.counters()).contains("stray_bytes=20 ");
        }
    }

    @Test
    void corruptResponseFailsItsAttemptAndIsRetriedAtOnce() throws Exception {
        byte[] good = row("spoilt", "replica");
        byte[] twoColumns = good.clone();
        twoColumns[6] = 2;
        byte[] tooLong = new String(good, java.nio.charset.StandardCharsets.ISO_8859_1)
                .replace("\6spoilt", "\7spoilt")
                .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        assertThat(tooLong).isNotEqualTo(good);
        List<byte[]> spoilt = List.of(
                twoColumns,
                tooLong,
                new byte[] {'D', 127, -1, -1, -1},
                new byte[] {'%', 0, 0, 1, 0},
                TestMessages.bytes('C', "SELECT 1|"),
                TestMessages.bytes('E', "Cunended"),
                TestMessages.bytes('Z', "II"));
        start();
        try (WireConnection client = harness.client()) {
            for (byte[] response : spoilt) {
                replica.script = (text, link) -> link.send(response, TestMessages.READY);
                List<String> result = client.execute(readSql("1", 9000));
                assertThat(result).as("%s", new String(response)).hasSize(3);
                assertThat(value(result)).isEqualTo("from-primary");
                assertThat(replica.closedConnections.take()).isEqualTo("closed");
            }
        }
    }

    @Test
    void unreadableLoadReportIsDroppedAndTheValueServed() throws Exception {
        replica.script = (text, link) -> link.send(
                row("good", "replica"),
                TestMessages.bytes('S', "load|x0=,util=?|"),
                TestMessages.bytes('S', "applied_ms|soon|"),
                TestMessages.bytes('S', "unended"),
                TestMessages.READY);
        start();
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("good");
            assertThat(harness.pooler.counters()).contains("unread_reports=3 ").contains("malformed=0 ");
        }
    }
}
