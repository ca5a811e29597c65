package frostreel;

import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Streaming of values that are too long to be buffered. */
class LongValuesTest extends AbstractPoolerTest {
    private static final int LONG = 4 << 20;
    private static final byte[] VALUE = new byte[LONG];

    static {
        new SplittableRandom(3).nextBytes(VALUE);
    }

    @BeforeEach
    void startPooler() throws Exception {
        start();
    }

    /** Returns a RowDescription and the head of a DataRow, up to the value. */
    static byte[] head(int rowLength, int valueLength) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(TestMessages.bytes('T', "\0\1v|" + "|".repeat(18)));
        out.write('D');
        out.writeBytes(ByteBuffer.allocate(10)
                .putInt(rowLength + 10)
                .putShort((short) 1)
                .putInt(valueLength)
                .array());
        return out.toByteArray();
    }

    static final byte[] TAIL = tail();

    private static byte[] tail() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(TestMessages.bytes('C', "SELECT 1|"));
        out.writeBytes(TestMessages.bytes('S', "role|replica|"));
        out.writeBytes(TestMessages.READY);
        return out.toByteArray();
    }

    private static ScriptedPeer.Script completeResponse(byte[] value) {
        return (text, link) -> link.send(head(value.length, value.length), value, TAIL);
    }

    /** Reads a RowDescription and the head of a DataRow, up to the value. */
    private static void readHead(WireConnection client, int length) throws IOException {
        assertThat(client.take()).startsWith("T");
        assertThat(client.in.readUnsignedByte()).isEqualTo('D');
        assertThat(client.in.readInt()).isEqualTo(length + 10);
        assertThat(client.in.readShort()).isEqualTo((short) 1);
        assertThat(client.in.readInt()).isEqualTo(length);
    }

    private static void readTail(WireConnection client) throws IOException {
        assertThat(client.take()).startsWith("C");
        assertThat(client.take()).startsWith("Z");
    }

    @Test
    void longValueIsStreamedAndItsConnectionReused() throws Exception {
        CountDownLatch headRead = new CountDownLatch(1);
        replica.script = (text, link) -> {
            link.send(head(LONG, LONG), Arrays.copyOf(VALUE, 100));
            PoolerHarness.await(headRead);
            link.send(Arrays.copyOfRange(VALUE, 100, LONG));
            for (byte tailByte : TAIL) {
                link.out.write(tailByte);
            }
        };
        try (WireConnection client = harness.client()) {
            client.send(TestMessages.query(readSql("1", 9000)), TestMessages.query(writeSql("2", 9000)));
            readHead(client, LONG);
            assertThat(client.in.readNBytes(100)).isEqualTo(Arrays.copyOf(VALUE, 100));
            headRead.countDown();
            assertThat(client.in.readNBytes(LONG - 100)).isEqualTo(Arrays.copyOfRange(VALUE, 100, LONG));
            readTail(client);
            assertThat(client.readResponse().get(1)).endsWith("from-primary");
            replica.script = completeResponse(VALUE);
            client.send(TestMessages.query(readSql("3", 9000)));
            readHead(client, LONG);
            assertThat(client.in.readNBytes(LONG)).isEqualTo(VALUE);
            readTail(client);
            assertThat(replica.connections.get())
                    .as("the server's connection was reused")
                    .isEqualTo(1);
            assertThat(harness.pooler.counters()).contains("long_answers=2 long_broken=0");
        }
    }

    @Test
    void truncatedLongValueClosesTheClientAndIsNotRetried() throws Exception {
        replica.script = (text, link) -> {
            link.send(head(LONG, LONG), Arrays.copyOf(VALUE, LONG / 2));
            link.close();
        };
        try (WireConnection client = harness.client()) {
            client.send(TestMessages.query(readSql("1", 9000)));
            readHead(client, LONG);
            assertThat(client.in.readNBytes(LONG).length).isLessThanOrEqualTo(LONG / 2);
            assertThat(client.closedByPeer()).isTrue();
        } catch (SocketException reset) {
            assertThat(reset).hasMessageContaining("reset"); // A reset also reports the truncation to the client.
        }
        assertThat(primary.received).isEmpty();
    }

    @Test
    void errorAfterLongValueClosesTheClient() throws Exception {
        replica.script =
                (text, link) -> link.send(head(LONG, LONG), VALUE, TestMessages.error("XX000"), TestMessages.READY);
        try (WireConnection client = harness.client()) {
            client.send(TestMessages.query(readSql("1", 9000)));
            readHead(client, LONG);
            client.in.readNBytes(LONG);
            assertThat(client.closedByPeer()).isTrue();
        }
    }

    @Test
    void clientDisconnectWithinLongValueStopsTheServer() throws Exception {
        CountDownLatch headRead = new CountDownLatch(1);
        replica.script = (text, link) -> {
            link.send(head(LONG, LONG), Arrays.copyOf(VALUE, LONG / 2));
            PoolerHarness.await(headRead);
        };
        try (WireConnection client = harness.client()) {
            client.send(TestMessages.query(readSql("1", 9000)));
            readHead(client, LONG);
        }
        headRead.countDown();
        replica.closedConnections.take();
        try (WireConnection client = harness.client()) {
            assertThat(client.execute(writeSql("2", 9000)).get(1)).endsWith("from-primary");
        }
    }

    @Test
    void rowWithInconsistentLengthIsNotForwarded() throws Exception {
        replica.script = (text, link) -> link.send(head(LONG, LONG - 1), VALUE, TAIL);
        try (WireConnection client = harness.client()) {
            assertThat(client.execute(readSql("1", 9000)).get(1)).endsWith("from-primary");
        }
    }

    /** Neither a slow reader nor a server that sends byte by byte delays other clients. */
    @Test
    void slowPeersDoNotDelayOthers() throws Exception {
        CountDownLatch mayContinueDripping = new CountDownLatch(1);
        replica.script = (text, link) -> {
            if (text.contains("id=drip,")) {
                link.send(head(LONG, LONG), Arrays.copyOf(VALUE, 1));
                PoolerHarness.await(mayContinueDripping);
                for (int i = 1; i < 40; i++) {
                    link.out.write(VALUE[i]);
                }
                link.send(Arrays.copyOfRange(VALUE, 40, LONG), TAIL);
            } else {
                completeResponse(VALUE).respond(text, link);
            }
        };
        try (WireConnection slow = harness.client();
                WireConnection drip = harness.client();
                WireConnection quick = harness.client()) {
            slow.send(TestMessages.query(readSql("slow", 9000)));
            drip.send(TestMessages.query(readSql("drip", 9000)));
            readHead(slow, LONG);
            readHead(drip, LONG);
            for (int i = 0; i < 5; i++) {
                quick.send(TestMessages.query(readSql("quick" + i, 9000)));
                readHead(quick, LONG);
                assertThat(quick.in.readNBytes(LONG)).isEqualTo(VALUE);
                readTail(quick);
                assertThat(slow.in.readNBytes(1000)).isEqualTo(Arrays.copyOfRange(VALUE, 1000 * i, 1000 * i + 1000));
            }
            mayContinueDripping.countDown();
            assertThat(drip.in.readNBytes(LONG)).isEqualTo(VALUE);
            readTail(drip);
            assertThat(slow.in.readNBytes(LONG - 5000)).isEqualTo(Arrays.copyOfRange(VALUE, 5000, LONG));
            readTail(slow);
        }
    }

    /** No row is read until all have begun: buffering 20 rows of 15 MiB would need 300 MiB of a 32 MiB heap. */
    @Test
    void valuesExceedingTheHeapAreReadFromServersAsClientsRead() throws Exception {
        byte[] part = Arrays.copyOf(VALUE, 3 << 20);
        int parts = 5;
        int clients = 20;
        replica.script = (text, link) -> {
            link.send(head(parts * part.length, parts * part.length));
            for (int i = 0; i < parts; i++) {
                link.out.write(part);
            }
            link.send(TAIL);
        };
        primary.script = replica.script; // It serves reads while the replica is at its concurrency limit.
        String configuration = configuration().replace("\"sockets\":128", "\"sockets\":512");
        List<WireConnection> all = new ArrayList<>();
        try (ServeProcess process = ServeProcess.startWithJvmOptions(
                List.of("-Xmx32m", "-XX:+ExitOnOutOfMemoryError"), PoolerHarness.environment(configuration))) {
            int port = process.awaitPort();
            process.awaitReady();
            for (int i = 0; i < clients; i++) {
                WireConnection client = PoolerHarness.client(port);
                all.add(client);
                client.send(TestMessages.query(readSql("n" + i, 9000)));
            }
            for (WireConnection client : all) {
                readHead(client, parts * part.length);
            }
            for (WireConnection client : all) {
                for (int i = 0; i < parts; i++) {
                    assertThat(Arrays.equals(client.in.readNBytes(part.length), part))
                            .isTrue();
                }
                readTail(client);
            }
        } finally {
            for (WireConnection client : all) {
                client.close();
            }
        }
    }
}
