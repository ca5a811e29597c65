package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.rows;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/**
 * Base class of tests with a replica group of a primary and one replica; each test has a new harness.
 *
 * <p>Socket reads ignore interrupts, so a test runs on another thread than the one that enforces its timeout.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
abstract class AbstractPoolerTest {
    private static final int CANCEL_REQUEST = 80877102;
    private static final int CANCEL_REQUEST_BYTES = 16;

    PoolerHarness harness;
    ScriptedPeer primary;
    ScriptedPeer replica;
    private int requestCount;

    @BeforeEach
    void setUp() throws Exception {
        harness = new PoolerHarness();
        primary = harness.server(rows("from-primary", "primary"));
        replica = harness.server(rows("from-replica", "replica"));
    }

    @AfterEach
    void tearDown() throws Exception {
        harness.close();
    }

    void start() throws Exception {
        harness.start(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready"));
    }

    /** Returns a read with an id that is unique within the test. */
    String nextReadSql() {
        requestCount++;
        return readSql("read" + requestCount, 9000);
    }

    /** Makes both members send no response to the requests that arrive from now on. */
    void withholdResponses() {
        replica.script = (text, link) -> {};
        primary.script = replica.script;
    }

    /** Connects clients and completes one read on each; the first client has been idle the longest. */
    List<WireConnection> idleClients(int count) throws Exception {
        List<WireConnection> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            WireConnection client = harness.client();
            assertThat(value(client.execute(nextReadSql()))).isEqualTo("from-replica");
            clients.add(client);
        }
        return clients;
    }

    /** Connects clients and sends one read on each, without waiting for the response. */
    List<WireConnection> busyClients(int count) throws Exception {
        List<WireConnection> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            WireConnection client = harness.client();
            client.send(query(nextReadSql()));
            clients.add(client);
        }
        return clients;
    }

    /** Sends reads without waiting for their responses. */
    void sendReads(WireConnection client, int count) throws IOException {
        for (int i = 0; i < count; i++) {
            client.send(query(nextReadSql()));
        }
    }

    /** Checks that each of the next responses is one row with this value. */
    static void assertNextValues(WireConnection client, int count, String value) throws IOException {
        for (int i = 0; i < count; i++) {
            assertThat(value(client.readResponse())).isEqualTo(value);
        }
    }

    /** Checks that a response is one error with this SQLSTATE. */
    static void assertError(List<String> response, String sqlState) {
        assertThat(response).singleElement().asString().startsWith("E").contains("|C" + sqlState + "|");
    }

    /** Checks that the next message is an error with this SQLSTATE, after which the connection is closed. */
    static void assertClosedWithError(WireConnection client, String sqlState) throws IOException {
        assertThat(client.take()).startsWith("E").contains("|C" + sqlState + "|");
        assertThat(client.closedByPeer()).isTrue();
    }

    /** Returns a configuration whose endpoint list contains both members. */
    String configuration() {
        return PoolerHarness.configuration(
                harness.discovery.address(),
                host("a", primary, "primary", "Ready"),
                host("b", replica, "replica", "Ready"));
    }

    /**
     * Stops the pooler on a separate thread, and returns once the shutdown has been submitted to the I/O thread, ahead
     * of any later task.
     */
    Thread stopPooler() {
        Thread stop = new Thread(() -> {
            try {
                harness.pooler.stop();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        stop.start();
        while (stop.getState() != Thread.State.TIMED_WAITING && stop.isAlive()) {
            Thread.onSpinWait();
        }
        return stop;
    }

    /** Checks that a response is one row, and returns its value. */
    static String value(List<String> response) {
        assertThat(response)
                .as("%s", response)
                .extracting(message -> message.charAt(0))
                .containsExactly('T', 'D', 'C');
        return response.get(1).substring(7);
    }

    /** A client that stores its BackendKeyData, so that it can cancel its requests. */
    final class CancellableClient implements AutoCloseable {
        final WireConnection link;
        int process;
        int secret;

        CancellableClient() throws Exception {
            link = harness.connectWithoutStartup();
            link.send(TestMessages.startup());
            DataInputStream in = link.in;
            for (int type = in.read(); type != 'Z'; type = in.read()) {
                byte[] body = in.readNBytes(in.readInt() - Integer.BYTES);
                if (type == 'K') {
                    process = ByteBuffer.wrap(body).getInt();
                    secret = ByteBuffer.wrap(body).getInt(Integer.BYTES);
                }
            }
            in.readNBytes(in.readInt() - Integer.BYTES);
            assertThat(process + secret).isNotZero();
        }

        /** Sends a CancelRequest on a new connection, and waits until the pooler has processed it and closes that. */
        void cancel(int withSecret) throws Exception {
            try (WireConnection other = harness.connectWithoutStartup()) {
                other.send(ByteBuffer.allocate(CANCEL_REQUEST_BYTES)
                        .putInt(CANCEL_REQUEST_BYTES)
                        .putInt(CANCEL_REQUEST)
                        .putInt(process)
                        .putInt(withSecret)
                        .array());
                other.socket.shutdownOutput(); // The pooler may read the message and the end of input together.
                assertThat(other.closedByPeer()).isTrue();
            }
        }

        void cancelAndAwaitError() throws Exception {
            cancel(secret);
            assertError(link.readResponse(), "57014");
        }

        @Override
        public void close() throws IOException {
            link.close();
        }
    }
}
