package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.rows;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/** Base of tests on a replica group of a primary and a replica, with a harness of its own for each test. */
/* A socket read ignores interrupts, so a test must not run on the thread that enforces its timeout. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
abstract class AbstractPoolerTest {
    private static final int CANCEL_REQUEST = 80877102;
    PoolerHarness harness;
    ScriptedPeer primary;
    ScriptedPeer replica;

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

    /** The configuration of a pooler that knows both members from the start. */
    String configuration() {
        return PoolerHarness.configuration(
                harness.discovery.address(),
                host("a", primary, "primary", "Ready"),
                host("b", replica, "replica", "Ready"));
    }

    /** Stops the pooler on a thread of its own; the I/O thread takes that up before any task given to it later. */
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

    /** A client that keeps its BackendKeyData, so that it can cancel its requests. */
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

        /** Sends a CancelRequest and waits until the pooler has handled it, which ends its connection. */
        void cancel(int withSecret) throws Exception {
            try (WireConnection other = harness.connectWithoutStartup()) {
                other.send(ByteBuffer.allocate(16)
                        .putInt(16)
                        .putInt(CANCEL_REQUEST)
                        .putInt(process)
                        .putInt(withSecret)
                        .array());
                other.socket.shutdownOutput(); // The end may be read together with the message.
                assertThat(other.closedByPeer()).isTrue();
            }
        }

        void cancelAndAwaitError() throws Exception {
            cancel(secret);
            assertThat(link.readResponse()).singleElement().asString().contains("|C57014|");
        }

        @Override
        public void close() throws IOException {
            link.close();
        }
    }
}
