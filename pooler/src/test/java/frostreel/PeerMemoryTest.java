package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The memory that a process holds for clients and servers that send nothing, slowly or more than it can pass on. */
class PeerMemoryTest extends AbstractPoolerTest {
    /** A heap that holds the program, but not 256 KiB for each client. */
    private static final List<String> SMALL_HEAP = List.of("-Xmx32m", "-XX:+ExitOnOutOfMemoryError");

    /** A heap that holds the program, but not a long write for each client. */
    private static final List<String> SMALLEST_HEAP = List.of("-Xmx24m", "-XX:+ExitOnOutOfMemoryError");

    /** Three eighths of the smallest heap, beyond which requests are rejected. */
    private static final long REJECT_BYTES = (24L << 20) * 3 / 8;
    /** What one client may add before the limit is checked again: four reads of 64 KiB. */
    private static final long BYTES_READ_IN_ONE_TURN = 4L << 16;

    private static final int DESCRIPTORS = 1024;
    /** Under three quarters of the expected clients, a third of the descriptors, so that no idle client is closed. */
    private static final int CLIENTS = 120;
    /** The longest value of a write, which is sent as hexadecimal text. */
    private static final String LONG_VALUE = "a7".repeat(1 << 16);
    /** The value of a write that arrives in one piece. */
    private static final String SHORTER_VALUE = "a7".repeat(3000);

    private static final int SHORTER_WRITES = 30;
    /** The size of a connection's buffers before its first long message, with as much again for the rest. */
    private static final int IDLE_CONNECTION_BYTES = 4096;

    /** The longest value that is not streamed, less one, as its length has to fit into two bytes here. */
    private static final int LONGEST_BUFFERED_VALUE = (1 << 16) - 1;

    private static final int SERVER_CONNECTIONS = 120;
    /** Long responses that together exceed what the smallest heap has for them. */
    private static final int RESPONSES_IN_PIECES = 220;
    /** Half of the smallest heap, up to which responses are read. */
    private static final long RESPONSE_BYTES = (24L << 20) / 2;

    private static final int PIPELINING_CLIENTS = 60;
    /** Long writes behind a read; less than 1 MiB, beyond which none is read ahead. */
    private static final int PIPELINED_WRITES = 6;

    private static final int LONG_LIST_BYTES = 1 << 20;

    private final List<WireConnection> clients = new ArrayList<>();

    @AfterEach
    void closeClients() throws IOException {
        for (WireConnection client : clients) {
            client.close();
        }
    }

    private WireConnection connect(int port) throws IOException {
        WireConnection client = PoolerHarness.client(port);
        clients.add(client);
        return client;
    }

    private static String longWriteSql(String id) {
        return writeSql(id, LONG_VALUE);
    }

    private static String writeSql(String id, String value) {
        return TestMessages.writeSql(id, 9000).replace("9f03", value);
    }

    private static long bufferedBytes(WireConnection client) throws IOException {
        return healthValue(client, "buffered_bytes");
    }

    private static long healthValue(WireConnection client, String key) throws IOException {
        return Long.parseLong(value(client.execute("SHOW health")).replaceAll(".* " + key + "=(\\d+).*", "$1"));
    }

    /** Guards against a crash: each client that had written a long value kept 256 KiB until it sent again. */
    @Test
    void clientsThatWroteOneLongValueHoldNoMemory() throws Exception {
        String configuration = configuration().replace("\"sockets\":128", "\"sockets\":" + DESCRIPTORS);
        try (ServeProcess process =
                ServeProcess.startWithJvmOptions(SMALL_HEAP, PoolerHarness.environment(configuration))) {
            int port = process.awaitPort();
            process.awaitReady();
            for (int i = 0; i < CLIENTS; i++) {
                List<String> response = connect(port).execute(longWriteSql("write" + i));
                assertThat(value(response)).isEqualTo("from-primary");
            }
            assertThat(bufferedBytes(connect(port))).isLessThan((CLIENTS + 1L) * IDLE_CONNECTION_BYTES);
        }
    }

    /** Guards against a crash: each idle connection to a server kept up to 320 KiB of its last long response. */
    @Test
    void connectionsToServersHoldNoMemoryAfterALongResponse() throws Exception {
        replica.script = PoolerHarness.rows("v".repeat(LONGEST_BUFFERED_VALUE), "replica");
        String configuration = PoolerHarness.configuration(
                        harness.discovery.address(), manyReplicas(SERVER_CONNECTIONS))
                .replace("\"sockets\":128", "\"sockets\":" + DESCRIPTORS);
        try (ServeProcess process =
                ServeProcess.startWithJvmOptions(SMALL_HEAP, PoolerHarness.environment(configuration))) {
            int port = process.awaitPort();
            process.awaitReady();
            WireConnection client = connect(port);
            for (int i = 0; replica.connections.get() < SERVER_CONNECTIONS; i++) {
                String response = value(client.execute(readSql("read" + i, 9000)));
                assertThat(response).hasSize(LONGEST_BUFFERED_VALUE);
            }
            assertThat(bufferedBytes(client)).isLessThan((SERVER_CONNECTIONS + 2L) * IDLE_CONNECTION_BYTES);
        }
    }

    /** Guards against a crash: requests that wait for a server held memory without a limit. */
    @Test
    void longWritesInProgressAreLimitedByTheMemoryTheyHold() throws Exception {
        BlockingQueue<WireConnection> waitingServers = new LinkedBlockingQueue<>();
        ScriptedPeer.Script answer = primary.script;
        primary.script = (text, link) -> waitingServers.add(link);
        String configuration = configuration().replace("\"sockets\":128", "\"sockets\":" + DESCRIPTORS);
        try (ServeProcess process =
                ServeProcess.startWithJvmOptions(SMALLEST_HEAP, PoolerHarness.environment(configuration))) {
            int port = process.awaitPort();
            process.awaitReady();
            for (int i = 0; i < CLIENTS; i++) {
                connect(port).send(query(longWriteSql("write" + i)));
            }
            // Together they hold more than one long write, so that they use up what that left below the limit.
            for (int i = 0; i < SHORTER_WRITES; i++) {
                connect(port).send(query(writeSql("shorter" + i, SHORTER_VALUE)));
            }
            WireConnection observer = connect(port);
            while (counter(observer, "requests") + counter(observer, "memory_refused") < clients.size() - 1) {
                Thread.onSpinWait();
            }
            assertThat(counter(observer, "memory_refused")).isPositive();
            assertError(observer.execute(readSql("read", 9000)), "53300");
            primary.script = answer;
            for (WireConnection link = waitingServers.poll(); link != null; link = waitingServers.poll()) {
                answer.respond("", link);
            }
            for (WireConnection client : clients.subList(0, clients.size() - 1)) {
                assertServedOrRejected(client.readResponse());
            }
            assertThat(bufferedBytes(observer)).isLessThan((long) clients.size() * IDLE_CONNECTION_BYTES);
        }
    }

    /** Guards against lost requests: while the buffers were full, pipelined input beyond 64 KiB was dropped. */
    @Test
    void pipelinedWritesAreAnsweredWhileTheBuffersAreFull() throws Exception {
        BlockingQueue<WireConnection> waitingServers = new LinkedBlockingQueue<>();
        ScriptedPeer.Script answer = replica.script;
        replica.script = (text, link) -> waitingServers.add(link);
        String configuration = configuration().replace("\"sockets\":128", "\"sockets\":" + DESCRIPTORS);
        try (ServeProcess process =
                ServeProcess.startWithJvmOptions(SMALLEST_HEAP, PoolerHarness.environment(configuration))) {
            int port = process.awaitPort();
            process.awaitReady();
            for (int i = 0; i < PIPELINING_CLIENTS; i++) {
                WireConnection client = connect(port);
                client.send(query(readSql("read" + i, 9000)));
                for (int j = 0; j < PIPELINED_WRITES; j++) {
                    client.send(query(longWriteSql("write" + i + "n" + j)));
                }
            }
            WireConnection observer = connect(port);
            while (counter(observer, "input_held_back") == 0) {
                Thread.onSpinWait();
            }
            replica.script = answer;
            for (WireConnection link = waitingServers.poll(); link != null; link = waitingServers.poll()) {
                answer.respond("", link);
            }
            for (WireConnection client : clients.subList(0, PIPELINING_CLIENTS)) {
                for (int j = 0; j <= PIPELINED_WRITES; j++) {
                    assertServedOrRejected(client.readResponse());
                }
            }
            assertThat(counter(observer, "malformed")).isZero();
        }
    }

    /** Guards against a crash: incomplete messages of slow clients held memory without a limit. */
    @Test
    void longWritesThatArriveSlowlyAreLimitedByTheMemoryTheyHold() throws Exception {
        String configuration = configuration().replace("\"sockets\":128", "\"sockets\":" + DESCRIPTORS);
        try (ServeProcess process =
                ServeProcess.startWithJvmOptions(SMALLEST_HEAP, PoolerHarness.environment(configuration))) {
            int port = process.awaitPort();
            process.awaitReady();
            byte[][] writes = new byte[CLIENTS][];
            for (int i = 0; i < CLIENTS; i++) {
                writes[i] = query(longWriteSql("write" + i));
                connect(port).send(Arrays.copyOf(writes[i], LONG_VALUE.length()));
            }
            WireConnection observer = connect(port);
            observer.execute("");
            for (int i = 0; i < CLIENTS; i++) {
                clients.get(i).send(Arrays.copyOfRange(writes[i], LONG_VALUE.length(), writes[i].length));
            }
            for (WireConnection client : clients.subList(0, CLIENTS)) {
                assertServedOrRejected(client.readResponse());
            }
            assertThat(counter(observer, "memory_refused")).isPositive();
            assertThat(healthValue(observer, "buffered_peak_bytes")).isLessThan(REJECT_BYTES + BYTES_READ_IN_ONE_TURN);
            assertThat(bufferedBytes(observer)).isLessThan((CLIENTS + 1L) * IDLE_CONNECTION_BYTES);
        }
    }

    /** A list that arrives slowly counts towards the limits, and is not kept while the next one is awaited. */
    @Test
    void discoveryResponseIsCountedUntilItIsComplete() throws Exception {
        CountDownLatch mayComplete = new CountDownLatch(1);
        start();
        while (!harness.discovery.next().contains("wait=2500")) { // Else the poll may get the script below.
            Thread.onSpinWait();
        }
        String list = PoolerHarness.list(2, false) + " ".repeat(LONG_LIST_BYTES);
        byte[] response = TestMessages.http(list);
        harness.discovery.script = (text, link) -> {
            link.send(Arrays.copyOf(response, response.length - 1));
            PoolerHarness.await(mayComplete);
            harness.discovery.script = (later, next) -> {};
            link.send(new byte[] {response[response.length - 1]});
        };
        harness.lists.add(PoolerHarness.list(1, false)); // Ends the poll that has begun.
        WireConnection client = harness.client();
        while (bufferedBytes(client) < LONG_LIST_BYTES) {
            Thread.onSpinWait();
        }
        mayComplete.countDown();
        harness.awaitCounter("lists=3");
        assertThat(bufferedBytes(client)).isLessThan(LONG_LIST_BYTES);
    }

    /** Guards against a crash: responses that their servers write in pieces held memory without a limit. */
    @Test
    void longResponsesThatArriveInPiecesAreReadAsMemoryAllows() throws Exception {
        CountDownLatch allArrived = new CountDownLatch(RESPONSES_IN_PIECES);
        CountDownLatch mayComplete = new CountDownLatch(1);
        byte[] head = LongValuesTest.head(LONGEST_BUFFERED_VALUE, LONGEST_BUFFERED_VALUE);
        byte[] value = new byte[LONGEST_BUFFERED_VALUE];
        replica.script = (text, link) -> {
            allArrived.countDown();
            PoolerHarness.await(allArrived);
            link.send(head, value);
            PoolerHarness.await(mayComplete);
            link.send(LongValuesTest.TAIL);
        };
        String configuration = PoolerHarness.configuration(
                        harness.discovery.address(), manyReplicas(RESPONSES_IN_PIECES))
                .replace("\"sockets\":128", "\"sockets\":" + DESCRIPTORS);
        try (ServeProcess process =
                ServeProcess.startWithJvmOptions(SMALLEST_HEAP, PoolerHarness.environment(configuration))) {
            int port = process.awaitPort();
            process.awaitReady();
            for (int i = 0; i < RESPONSES_IN_PIECES; i++) {
                connect(port).send(query(readSql("read" + i, 19_000)));
            }
            WireConnection observer = connect(port);
            while (counter(observer, "answers_held_back") == 0) {
                Thread.onSpinWait();
            }
            mayComplete.countDown();
            for (WireConnection client : clients.subList(0, RESPONSES_IN_PIECES)) {
                assertThat(value(client.readResponse())).hasSize(LONGEST_BUFFERED_VALUE);
            }
            assertThat(healthValue(observer, "buffered_peak_bytes"))
                    .isLessThan(RESPONSE_BYTES + BYTES_READ_IN_ONE_TURN);
        }
    }

    private static void assertServedOrRejected(List<String> response) {
        if (response.size() == 1) {
            assertError(response, "53300");
        } else {
            assertThat(value(response)).startsWith("from-");
        }
    }

    private static long counter(WireConnection client, String name) throws IOException {
        return Long.parseLong(value(client.execute("SHOW stats")).replaceAll(".* " + name + "=(\\d+).*", "$1"));
    }

    /** Returns a primary and replicas, all of which are the same scripted server. */
    private String[] manyReplicas(int count) {
        String[] hosts = new String[1 + count];
        hosts[0] = host("a", primary, "primary", "Ready");
        for (int i = 1; i < hosts.length; i++) {
            hosts[i] = host("b" + i, replica, "replica", "Ready");
        }
        return hosts;
    }
}
