package frostreel;

import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Malformed responses, surplus bytes and malformed reports from servers. */
class ServerProtocolTest extends AbstractPoolerTest {
    @Test
    void retriesAfterNegativeLength() throws Exception {
        replica.script = (text, link) -> link.send(new byte[] {'T', -1, 0, 0, 0});
        start();
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-primary");
        }
    }

    @Test
    void discardsSurplusBytesInsteadOfServingThemAsTheNextResponse() throws Exception {
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
    void retriesAfterCorruptResponseAndClosesTheConnection() throws Exception {
        byte[] valid = row("corrupt", "replica");
        byte[] twoColumns = valid.clone();
        twoColumns[6] = 2;
        byte[] valueBeyondEndOfRow = new String(valid, StandardCharsets.ISO_8859_1)
                .replace("\7corrupt", "\10corrupt")
                .getBytes(StandardCharsets.ISO_8859_1);
        assertThat(valueBeyondEndOfRow).isNotEqualTo(valid);
        List<Map.Entry<String, byte[]>> corruptResponses = List.of(
                Map.entry("two columns", twoColumns),
                Map.entry("value beyond end of row", valueBeyondEndOfRow),
                Map.entry("row of 2 GiB", new byte[] {'D', 127, -1, -1, -1}),
                Map.entry("unknown type", new byte[] {'%', 0, 0, 1, 0}),
                Map.entry("completion without row", TestMessages.bytes('C', "SELECT 1|")),
                Map.entry("truncated error", TestMessages.bytes('E', "Cunended")),
                Map.entry("long ReadyForQuery", TestMessages.bytes('Z', "II")));
        start();
        try (WireConnection client = harness.client()) {
            for (Map.Entry<String, byte[]> corrupt : corruptResponses) {
                replica.script = (text, link) -> link.send(corrupt.getValue(), TestMessages.READY);
                List<String> response = client.execute(readSql("1", 9000));
                assertThat(response).as(corrupt.getKey()).hasSize(3);
                assertThat(value(response)).as(corrupt.getKey()).isEqualTo("from-primary");
                assertThat(replica.closedConnections.take()).isEqualTo("closed");
            }
        }
    }

    @Test
    void servesTheValueIfReportsAreMalformed() throws Exception {
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
