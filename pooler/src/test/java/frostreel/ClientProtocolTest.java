package frostreel;

import static frostreel.TestMessages.look;
import static frostreel.TestMessages.post;
import static frostreel.TestMessages.query;
import static frostreel.PoolerHarness.rows;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What clients send, byte by byte: statements, malformed input, and answers that are read slowly. */
class ClientProtocolTest extends ClientScript {
    @Test
    void acceptsStartupAndQueriesOneByteAtATime() throws Exception {
        start();
        try (PoolerHarness.Link client = new PoolerHarness.Link(harness.connect())) {
            for (byte[] part : List.of(TestMessages.startup(), query(look("1", 9000)), query(post("2", 9000)))) {
                for (byte nextByte : part) {
                    client.out.write(nextByte);
                }
            }
            client.takeAnswer();
            assertThat(value(client.takeAnswer())).isEqualTo("from-replica");
            assertThat(value(client.takeAnswer())).isEqualTo("from-primary");
        }
    }

    @Test
    void forwardsStatementUnchangedExceptForTheTimeLeft() throws Exception {
        start();
        try (PoolerHarness.Link client = harness.client()) {
            client.ask(post("7", 8000));
            String sent = primary.next();
            int timeLeftMs = TestMessages.remainingMs(sent);
            assertThat(timeLeftMs).isBetween(1, 8000);
            assertThat(sent).isEqualTo("Q" + post("7", timeLeftMs) + "|");
        }
    }

    @Test
    void malformedInputClosesOnlyItsOwnConnection() throws Exception {
        start();
        try (PoolerHarness.Link good = harness.client();
                PoolerHarness.Link bad = harness.client();
                PoolerHarness.Link early = new PoolerHarness.Link(harness.connect())) {
            bad.send(new byte[] {'Q', 127, -1, -1, -1});
            assertThat(bad.take()).startsWith("E").contains("|C08P01|");
            assertThat(bad.endsNext()).isTrue();
            early.send(new byte[] {-1, -1, -1, -1});
            assertThat(early.take()).startsWith("E");
            assertThat(good.ask("SELECT 1")).singleElement().asString().contains("|C22023|");
            assertThat(good.ask(look("1", 9000).replace("d=9000", "d=x")))
                    .singleElement()
                    .asString()
                    .contains("|C22023|");
            assertThat(value(good.ask(look("2", 9000)))).isEqualTo("from-replica");
            assertThat(harness.pooler.counters()).contains("malformed=4 ").contains("stray_exceptions=0 ");
        }
    }

    @Test
    void slowReaderReceivesEveryValueCompleteAndInOrder() throws Exception {
        String large = "x".repeat(60_000);
        replica.script = rows(large, "replica");
        start();
        int count = 60;
        try (PoolerHarness.Link client = harness.client()) {
            for (int i = 0; i < count; i++) {
                client.send(query(look("q" + i, 9000)));
            }
            for (int i = 0; i < count; i++) {
                assertThat(value(client.takeAnswer())).isEqualTo(large);
            }
        }
    }

    @Test
    void rejectsRequestWhoseIdIsInFlight() throws Exception {
        replica.script = (text, link) -> {};
        start();
        try (PoolerHarness.Link client = harness.client();
                PoolerHarness.Link thief = harness.client()) {
            client.send(query(look("1", 9000)));
            assertThat(replica.next()).contains("id=1,");
            assertThat(thief.ask(look("1", 9000))).singleElement().asString().contains("|C22023|");
            assertThat(harness.pooler.counters()).contains(" attempts=1 ");
        }
    }

    @Test
    void rejectsStatementsOfUnknownForm() throws Exception {
        start();
        try (PoolerHarness.Link client = harness.client()) {
            for (String bad : List.of(
                    look("1", 9000) + ";",
                    look("1", 9000).replace("records", "accounts"),
                    look("1", 9000).replace("id=1", "id="),
                    look("1", 9000).replace("c=look", "c=post"),
                    look("1", 9000).replace("7f3a", "7'f3a"),
                    post("1", 9000).replace("c=post", "c=look"),
                    post("1", 9000).replace("\\x9f03", "\\x9f0"),
                    post("1", 9000).replace(",k=5c0f", ""),
                    look("1", 9000).replace("d=9000", "d=-5"),
                    look("1", 9000).replace("look", "none"))) {
                assertThat(client.ask(bad)).as(bad).singleElement().asString().contains("|C22023|");
            }
            assertThat(harness.pooler.counters()).contains(" requests=0 ").contains(" malformed=10 ");
        }
    }

    @Test
    void errorReachesClientWhoseInputIsStillUnread() throws Exception {
        start();
        try (PoolerHarness.Link client = harness.client()) {
            client.send(new byte[] {'Q', 3, -1, -1, -1}, new byte[900_000]);
            assertThat(client.take()).startsWith("E").contains("|C08P01|");
            assertThat(client.endsNext()).isTrue();
        }
    }
}
