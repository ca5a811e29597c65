package frostreel;

import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Clients that send many small messages at once get their answers, but only a share of each turn of the event loop. */
class FairShareTest extends AbstractPoolerTest {
    private static final int MESSAGES = 20_000;
    /** The most messages of a connection that are processed in one turn. */
    private static final int MESSAGES_PER_TURN = 16;
    /** Turns that end with the messages that were read, and not with the share. */
    private static final int TURNS_WITHOUT_DEFERRAL = 100;

    /** Longer than a client may take to complete a message. */
    private static final long MESSAGE_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(2_600);

    private static final int SSL_REQUEST = 80877103;
    private static final int SSL_REQUEST_BYTES = 8;

    @BeforeEach
    void startPooler() throws Exception {
        start();
    }

    private static byte[] repeat(byte[] message) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < MESSAGES; i++) {
            all.writeBytes(message);
        }
        return all.toByteArray();
    }

    static Stream<Arguments> smallMessages() {
        return Stream.of(
                Arguments.of("an empty query", query(""), "I"),
                Arguments.of("Sync", TestMessages.bytes('S', new byte[0]), ""),
                Arguments.of("a status page", query("SHOW stats"), "T"),
                Arguments.of("a replica group that does not exist", unknownGroup(), "E"),
                Arguments.of("a request without time left", query(readSql("late", 0)), "E"));
    }

    private static byte[] unknownGroup() {
        return query(readSql("nowhere", 9000).replace("cluster=2", "cluster=77"));
    }

    /** Guards against late answers: all messages that had been read were processed before any other client's. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("smallMessages")
    void aConnectionHasALimitedShareOfATurn(String name, byte[] message, String answer) throws Exception {
        try (WireConnection flooding = harness.client();
                WireConnection other = harness.client()) {
            assertThat(other.execute("")).containsExactly("I"); // A client that sends no query at first is closed.
            byte[] all = repeat(message);
            PoolerHarness.spawn(() -> flooding.send(all));
            for (int i = 0; i < MESSAGES; i++) {
                assertThat(String.join("", flooding.readResponse())).startsWith(answer);
            }
            assertThat(value(other.execute(readSql("other", 9000)))).isEqualTo("from-replica");
        }
        assertThat(harness.counter("input_deferred"))
                .isGreaterThan(MESSAGES / MESSAGES_PER_TURN - TURNS_WITHOUT_DEFERRAL);
    }

    /** Guards against clients that ask for encryption without end, each time for an answer and a write of its own. */
    @Test
    void askingForEncryptionAgainAndAgainIsAnError() throws Exception {
        byte[] request = ByteBuffer.allocate(SSL_REQUEST_BYTES)
                .putInt(SSL_REQUEST_BYTES)
                .putInt(SSL_REQUEST)
                .array();
        try (WireConnection client = harness.connectWithoutStartup()) {
            client.send(request, request, request);
            assertThat(client.in.readNBytes(2)).containsExactly('N', 'N');
            assertClosedWithError(client, "08P01");
        }
    }

    /** Guards against a flooding client that is closed for not completing a message, which it does all the time. */
    @Test
    void theTimeForAMessageStartsAnewWithEachMessage() throws Exception {
        try (WireConnection client = harness.client()) {
            byte[] empty = query("");
            client.send(empty, new byte[] {empty[0]});
            assertThat(client.readResponse()).containsExactly("I");
            for (long startNs = System.nanoTime(); System.nanoTime() - startNs < MESSAGE_TIMEOUT_NS; ) {
                client.send(Arrays.copyOfRange(empty, 1, empty.length), new byte[] {empty[0]});
                assertThat(client.readResponse()).containsExactly("I");
            }
        }
    }
}
