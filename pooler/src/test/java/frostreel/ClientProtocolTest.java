package frostreel;

import static frostreel.PoolerHarness.rows;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The client protocol: fragmented, malformed and unsupported input, and slowly read responses. */
class ClientProtocolTest extends AbstractPoolerTest {
    @Test
    void acceptsStartupAndQueriesOneByteAtATime() throws Exception {
        start();
        try (WireConnection client = harness.connectWithoutStartup()) {
            for (byte[] part : List.of(TestMessages.startup(), query(readSql("1", 9000)), query(writeSql("2", 9000)))) {
                for (byte nextByte : part) {
                    client.out.write(nextByte);
                }
            }
            client.readResponse();
            assertThat(value(client.readResponse())).isEqualTo("from-replica");
            assertThat(value(client.readResponse())).isEqualTo("from-primary");
        }
    }

    @Test
    void forwardsStatementUnchangedExceptForTheTimeLeft() throws Exception {
        start();
        try (WireConnection client = harness.client()) {
            client.execute(writeSql("7", 8000));
            String sent = primary.next();
            int timeLeftMs = TestMessages.remainingMs(sent);
            assertThat(timeLeftMs).isBetween(1, 8000);
            assertThat(sent).isEqualTo("Q" + writeSql("7", timeLeftMs) + "|");
        }
    }

    @Test
    void closesOnlyTheConnectionOfMalformedInput() throws Exception {
        start();
        try (WireConnection good = harness.client();
                WireConnection bad = harness.client();
                WireConnection early = harness.connectWithoutStartup()) {
            bad.send(new byte[] {'Q', 127, -1, -1, -1});
            assertClosedWithError(bad, "08P01");
            early.send(new byte[] {-1, -1, -1, -1});
            assertThat(early.take()).startsWith("E");
            assertError(good.execute("SELECT 1"), "22023");
            assertError(good.execute(readSql("1", 9000).replace("d=9000", "d=x")), "22023");
            assertThat(value(good.execute(readSql("2", 9000)))).isEqualTo("from-replica");
            assertThat(harness.pooler.counters()).contains("malformed=4 ").contains("stray_exceptions=0 ");
        }
    }

    @Test
    void sendsEveryValueCompleteAndInOrderToASlowReader() throws Exception {
        String large = "x".repeat(60_000);
        replica.script = rows(large, "replica");
        start();
        int count = 60;
        try (WireConnection client = harness.client()) {
            sendReads(client, count);
            assertNextValues(client, count, large);
        }
    }

    @Test
    void rejectsRequestWhoseIdIsInFlight() throws Exception {
        replica.script = (text, link) -> {};
        start();
        try (WireConnection client = harness.client();
                WireConnection other = harness.client()) {
            client.send(query(readSql("1", 9000)));
            assertThat(replica.next()).contains("id=1,");
            assertError(other.execute(readSql("1", 9000)), "22023");
            assertThat(harness.pooler.counters()).contains(" attempts=1 ");
        }
    }

    @Test
    void rejectsStatementsOfUnknownForm() throws Exception {
        start();
        try (WireConnection client = harness.client()) {
            for (String statement : List.of(
                    readSql("1", 9000) + ";",
                    readSql("1", 9000).replace("records", "accounts"),
                    readSql("1", 9000).replace("id=1", "id="),
                    readSql("1", 9000).replace("c=look", "c=post"),
                    readSql("1", 9000).replace("7f3a", "7'f3a"),
                    writeSql("1", 9000).replace("c=post", "c=look"),
                    writeSql("1", 9000).replace("\\x9f03", "\\x9f0"),
                    writeSql("1", 9000).replace(",k=5c0f", ""),
                    readSql("1", 9000).replace("d=9000", "d=-5"),
                    readSql("1", 9000).replace("look", "none"))) {
                assertThat(client.execute(statement))
                        .as(statement)
                        .singleElement()
                        .asString()
                        .contains("|C22023|");
            }
            assertThat(harness.pooler.counters()).contains(" requests=0 ").contains(" malformed=10 ");
        }
    }

    @Test
    void sendsErrorToClientWhoseInputIsStillUnread() throws Exception {
        start();
        try (WireConnection client = harness.client()) {
            client.send(new byte[] {'Q', 3, -1, -1, -1}, new byte[900_000]);
            assertClosedWithError(client, "08P01");
        }
    }
}
