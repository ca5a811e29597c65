package frostreel;

import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many long commands at once on a connection: each is answered, and none begins after its client has closed. */
class ReadAheadTest extends AbstractPoolerTest {
    /** The longest value of a write, which is sent as hexadecimal text. */
    private static final String LONG_VALUE = "a7".repeat(1 << 16);

    private static final int CLIENTS = 20;
    private static final int DEADLINE_MS = 9000;

    private static byte[] longWrites(String name, int count) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < count; i++) {
            all.writeBytes(
                    query(TestMessages.writeSql(name + "x" + i, DEADLINE_MS).replace("9f03", LONG_VALUE)));
        }
        return all.toByteArray();
    }

    private static void answerWithTheIdOfTheRequest(ScriptedPeer server) {
        server.script = (text, link) -> link.send(row(TestMessages.requestId(text), "primary"), TestMessages.READY);
    }

    /** Guards against lost requests: input beyond 1 MiB behind an active request was dropped. */
    @ParameterizedTest
    @ValueSource(ints = {4, 16, 64, 200})
    void everyCommandIsAnsweredInOrder(int count) throws Exception {
        answerWithTheIdOfTheRequest(primary);
        start();
        try (WireConnection client = harness.client()) {
            byte[] writes = longWrites("w", count);
            PoolerHarness.spawn(() -> client.send(writes));
            for (int i = 0; i < count; i++) {
                assertThat(value(client.readResponse())).isEqualTo("wx" + i);
            }
        }
    }

    /** As above, while the buffers of all clients together reach their limit. */
    @Test
    void everyCommandOfManyClientsIsAnsweredInOrder() throws Exception {
        int count = 16;
        answerWithTheIdOfTheRequest(primary);
        start();
        List<WireConnection> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            WireConnection client = harness.client();
            byte[] writes = longWrites("c" + i, count);
            PoolerHarness.spawn(() -> client.send(writes));
            clients.add(client);
        }
        for (int i = 0; i < CLIENTS; i++) {
            for (int j = 0; j < count; j++) {
                assertAnsweredInOrder(clients.get(i).readResponse(), "c" + i + "x" + j);
            }
        }
    }

    /** Requests that wait for longer than their deadlines may be rejected. */
    private static void assertAnsweredInOrder(List<String> response, String id) {
        if (response.size() == 1) {
            assertError(response, "53300");
        } else {
            assertThat(value(response)).isEqualTo(id);
        }
    }

    /**
     * Guards against work for clients that have left: the end of a connection was not seen behind unread input, so the
     * requests that had been read were still sent on.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 12, 20, 30})
    void nothingBeginsOnceTheClientHasClosed(int count) throws Exception {
        BlockingQueue<WireConnection> servers = new LinkedBlockingQueue<>();
        primary.script = (text, link) -> servers.add(link);
        start();
        WireConnection client = harness.client();
        client.send(longWrites("gone", count));
        servers.take();

        client.close();
        harness.awaitCounter("clients_gone=1");
        assertThat(primary.closedConnections.take())
                .as("the attempt is given up")
                .isEqualTo("closed");

        answerWithTheIdOfTheRequest(primary);
        try (WireConnection other = harness.client()) {
            assertThat(value(other.execute(TestMessages.writeSql("next", DEADLINE_MS))))
                    .isEqualTo("next");
        }
        assertThat(primary.received).extracting(TestMessages::requestId).containsExactly("gonex0", "next");
    }

    /** Guards against messages within a response: the probe for the end of a connection must not interrupt it. */
    @Test
    void noProbeIsWrittenWithinALongResponse() throws Exception {
        byte[] value = new byte[1 << 20];
        BlockingQueue<WireConnection> servers = new LinkedBlockingQueue<>();
        replica.script = (text, link) -> {
            link.send(LongValuesTest.head(value.length, value.length));
            servers.add(link);
        };
        answerWithTheIdOfTheRequest(primary);
        start();
        try (WireConnection client = harness.client()) {
            byte[] writes = longWrites("w", 20);
            client.send(query(readSql("long", DEADLINE_MS)));
            PoolerHarness.spawn(() -> client.send(writes));
            WireConnection server = servers.take();
            harness.awaitCounter("input_held_back=1");
            server.send(value, LongValuesTest.TAIL);

            String first = client.take();
            while (first.startsWith("S")) { // Probes that came before the response began.
                first = client.take();
            }
            assertThat(first).startsWith("T");
            assertThat(client.take()).startsWith("D");
            assertThat(client.take()).startsWith("C");
            assertThat(client.take()).startsWith("Z");
            assertThat(value(client.readResponse())).isEqualTo("wx0");
        }
    }
}
