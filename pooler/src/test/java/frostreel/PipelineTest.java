package frostreel;

import static frostreel.PoolerHarness.rows;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.frontend.ArrivalTimes;
import frostreel.operation.RequestClassRegistry;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;

/** Pipelined requests: the deadline of each counts from its own arrival, and responses keep their order. */
class PipelineTest extends AbstractPoolerTest {
    private static final int SHORT_DEADLINE_MS = 300;
    private static final int LONG_DEADLINE_MS = 9000;
    private static final int PIPELINED = 200;
    /** The time in which clients follow the settings before a reload. */
    private static final long TRANSITION_MS = RequestClassRegistry.TRANSITION_US / 1000;

    private final BlockingQueue<WireConnection> serversOfFirstRequest = new LinkedBlockingQueue<>();

    /** Starts a pooler whose primary leaves the response to the first request to the test. */
    private void startWithFirstResponseDeferred() throws Exception {
        ScriptedPeer.Script defaultScript = rows("from-primary", "primary");
        primary.script = (text, link) -> {
            if (text.contains("id=first,")) {
                serversOfFirstRequest.add(link);
            } else {
                defaultScript.respond(text, link);
            }
        };
        start();
    }

    private static byte[] first() {
        return query(writeSql("first", LONG_DEADLINE_MS));
    }

    /** Waits until all requests have been read and the short deadline has passed; returns the server's connection. */
    private WireConnection awaitFirstSentAndShortDeadlinePassed() throws Exception {
        WireConnection link = serversOfFirstRequest.take();
        try (WireConnection other = harness.client()) { // Not read in an earlier turn than the requests.
            other.execute("");
            other.execute("");
        }
        PoolerHarness.awaitElapsed(System.nanoTime(), SHORT_DEADLINE_MS);
        return link;
    }

    private static void respondToFirst(WireConnection link) throws Exception {
        link.send(row("of-first", "primary"), TestMessages.READY);
    }

    private static void assertRejected(List<String> response) {
        assertThat(response).singleElement().asString().contains("|C53300|");
    }

    private void assertTwoAttemptsAndOneRejection() {
        assertThat(harness.pooler.counters())
                .contains(" requests=3 ")
                .contains(" refused=1 ")
                .contains(" failed=0 ")
                .contains(" overdue=0 ")
                .contains(" attempts=2 ");
    }

    @Test
    void countsTimeInThePipelineAgainstTheDeadline() throws Exception {
        startWithFirstResponseDeferred();
        try (WireConnection client = harness.client()) {
            client.send(
                    first(), query(readSql("expired", SHORT_DEADLINE_MS)), query(readSql("open", LONG_DEADLINE_MS)));
            respondToFirst(awaitFirstSentAndShortDeadlinePassed());
            assertThat(value(client.readResponse())).isEqualTo("of-first");
            assertRejected(client.readResponse());
            assertThat(value(client.readResponse())).isEqualTo("from-replica");
            String sent = replica.next();
            assertThat(TestMessages.requestId(sent)).isEqualTo("open");
            assertThat(TestMessages.remainingMs(sent)).isLessThanOrEqualTo(LONG_DEADLINE_MS - SHORT_DEADLINE_MS);
            assertTwoAttemptsAndOneRejection();
        }
    }

    @Test
    void keepsDeadlinesOfRequestsBehindCancelledOne() throws Exception {
        startWithFirstResponseDeferred();
        try (CancellableClient client = new CancellableClient()) {
            client.link.send(
                    first(), query(readSql("expired", SHORT_DEADLINE_MS)), query(readSql("open", LONG_DEADLINE_MS)));
            awaitFirstSentAndShortDeadlinePassed();
            client.cancelAndAwaitError();
            assertRejected(client.link.readResponse());
            assertThat(value(client.link.readResponse())).isEqualTo("from-replica");
            assertTwoAttemptsAndOneRejection();
        }
    }

    /** Guards against writes that run twice: the class of a waiting request was looked up when its turn came. */
    @Test
    void keepsTheRulesUnderWhichAWaitingRequestArrived() throws Exception {
        String retryable = harness.settings;
        harness.settings = retryable.replace("\"repeat\":\"dedup\"", "\"repeat\":\"fragile\"");
        startWithFirstResponseDeferred();
        ScriptedPeer.Script deferFirst = primary.script;
        primary.script = (text, link) -> {
            if (text.contains("id=second,")) {
                link.close(); // The write may have run.
            } else {
                deferFirst.respond(text, link);
            }
        };
        try (WireConnection client = harness.client()) {
            client.send(first(), query(writeSql("second", LONG_DEADLINE_MS)));
            WireConnection link = awaitFirstSentAndShortDeadlinePassed();
            harness.settings = retryable;
            harness.reload(harness.discovery);
            harness.awaitCounter("reloads=1");
            PoolerHarness.awaitElapsed(System.nanoTime(), TRANSITION_MS);
            respondToFirst(link);
            assertThat(value(client.readResponse())).isEqualTo("of-first");
            assertError(client.readResponse(), "08007");
            assertThat(primary.received.stream().filter(text -> text.contains("id=second,")))
                    .hasSize(1);
        }
    }

    @Test
    void respondsToPipelinedRequestsInOrderAtShutdown() throws Exception {
        startWithFirstResponseDeferred();
        try (WireConnection client = harness.client()) {
            client.send(
                    first(), query(readSql("expired", SHORT_DEADLINE_MS)), query(readSql("open", LONG_DEADLINE_MS)));
            WireConnection link = awaitFirstSentAndShortDeadlinePassed();
            stopPooler();
            respondToFirst(link);
            assertThat(value(client.readResponse())).isEqualTo("of-first");
            assertRejected(client.readResponse());
            assertThat(value(client.readResponse())).isEqualTo("from-replica");
            assertThat(client.closedByPeer()).isTrue();
            assertTwoAttemptsAndOneRejection();
        }
    }

    @Test
    void respondsToEachPipelinedMessageOnceAndInOrder() throws Exception {
        replica.script = (text, link) -> link.send(row(TestMessages.requestId(text), "replica"), TestMessages.READY);
        startWithFirstResponseDeferred();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(first());
        for (int i = 1; i < PIPELINED; i++) {
            all.writeBytes(query(
                    switch (i % 4) {
                        case 0 -> readSql("open" + i, LONG_DEADLINE_MS);
                        case 1 -> readSql("expired" + i, SHORT_DEADLINE_MS);
                        case 2 -> "no statement";
                        default -> "";
                    }));
        }
        try (WireConnection client = harness.client()) {
            client.send(all.toByteArray());
            respondToFirst(awaitFirstSentAndShortDeadlinePassed());
            assertThat(value(client.readResponse())).isEqualTo("of-first");
            for (int i = 1; i < PIPELINED; i++) {
                List<String> response = client.readResponse();
                switch (i % 4) {
                    case 0 -> assertThat(value(response)).isEqualTo("open" + i);
                    case 1 -> assertRejected(response);
                    case 2 -> assertThat(response).singleElement().asString().contains("|C22023|");
                    default -> assertThat(response).containsExactly("I");
                }
            }
            assertThat(value(client.execute("SHOW stats")))
                    .contains(" requests=100 ")
                    .contains(" served=50 ")
                    .contains(" refused=50 ")
                    .contains(" failed=0 ")
                    .contains(" attempts=50 ")
                    .contains(" malformed=50 ")
                    .contains(" stray_exceptions=0 ");
        }
    }

    @Test
    void givesEachMessageTheArrivalTimeOfItsLastByte() {
        ArrivalTimes times = new ArrivalTimes();
        times.add(10, 100_000);
        times.add(10, 200_000);
        times.add(5, 300_000);
        assertThat(times.take(17)).isEqualTo(100_000);
        assertThat(times.take(15)).isEqualTo(100_000);
        assertThat(times.take(14)).isEqualTo(200_000);
        assertThat(times.take(0)).isEqualTo(300_000);
        times.add(3, 300_001); // Nothing is pending, so the resolution is reset.
        times.add(3, 300_900); // Within the resolution, so it is merged with the earlier time.
        assertThat(times.take(0)).isEqualTo(300_001);
    }

    /** Guards against 4 KiB of arrival times that each client keeps until it sends again. */
    @Test
    void givesBackTheMemoryOfArrivalTimesWithTheLastMessage() {
        ArrivalTimes times = new ArrivalTimes();
        int idle = times.memoryBytes();
        for (int i = 0; i < ArrivalTimes.MAX_ARRIVALS; i++) {
            times.add(1, 2_000L * i);
        }
        assertThat(times.memoryBytes()).isGreaterThan(idle);
        times.take(0);
        assertThat(times.memoryBytes()).isEqualTo(idle);
    }

    @Test
    void boundsTheMemoryOfSingleByteArrivalsAndKeepsTheirTimes() {
        ArrivalTimes times = new ArrivalTimes();
        int idle = times.memoryBytes();
        int count = 100_000;
        long apartUs = 1500;
        for (int i = 0; i < count; i++) {
            times.add(1, i * apartUs);
        }
        assertThat(times.memoryBytes()).isLessThanOrEqualTo(ArrivalTimes.MAX_ARRIVALS * 2 * Long.BYTES);
        for (int i = 0; i < count; i++) {
            assertThat(times.take(count - 1 - i)).isBetween(i * apartUs - count * apartUs / 60, i * apartUs);
        }
        times.add(1, count * apartUs);
        assertThat(times.memoryBytes()).isEqualTo(idle);
        assertThat(times.take(0)).isEqualTo(count * apartUs);
    }
}
