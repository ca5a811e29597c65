package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.rows;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.discovery.DiscoveryWatch;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Closing client connections: accepted requests get a response, and bytes in transit cause no reset. */
class ConnectionCloseTest extends AbstractPoolerTest {
    /** A backlog of 1 MiB in a buffer that grows by a quarter, and the buffers of the other connections. */
    private static final int MAX_BACKLOG_MEMORY_BYTES = (1 << 20) + (1 << 18) + (1 << 16);

    /** The first replica group whose replica truncates its responses; there is one group per byte. */
    private static final int FIRST_GROUP = 100;

    /** Makes the pooler wait indefinitely for a closed client to close its side. */
    private void lingerWithoutLimit() {
        harness.lingerUs = Long.MAX_VALUE / 2;
    }

    /** Sends requests after the close was seen; a socket closed in both directions would be reset by them. */
    private void assertBytesAfterCloseAreDroppedWithoutReset(WireConnection client) throws Exception {
        assertThat(client.closedByPeer()).isTrue();
        long before = harness.counter("requests");
        sendReads(client, 3);
        assertThat(client.closedByPeer()).isTrue();
        client.close();
        assertThat(harness.counter("requests")).isEqualTo(before);
    }

    @Test
    void bytesSentWhileIdleClientIsClosedDoNotResetIt() throws Exception {
        lingerWithoutLimit();
        start();
        WireConnection longestIdle = idleClients(PoolerHarness.EXPECTED_CLIENTS).get(0);
        assertBytesAfterCloseAreDroppedWithoutReset(longestIdle);
    }

    @Test
    void bytesSentWhileShutdownClosesIdleClientsDoNotResetThem() throws Exception {
        lingerWithoutLimit();
        // SIGKILL is due after 1 s, and idle clients are closed after 0.6 s.
        harness.settings = PoolerHarness.SETTINGS
                .replace("\"deadlineS\":10", "\"deadlineS\":0.3")
                .replace("\"onTimeS\":5", "\"onTimeS\":0.2");
        start();
        try (WireConnection idle = harness.client();
                WireConnection unused = harness.client()) {
            assertThat(value(idle.execute(readSql("1", 300)))).isEqualTo("from-replica");
            Thread stop = stopPooler();
            assertBytesAfterCloseAreDroppedWithoutReset(idle);
            assertBytesAfterCloseAreDroppedWithoutReset(unused);
            stop.join();
        }
    }

    /**
     * Guards against resetting connections that are in the accept queue when accepting ends. They arrive while one
     * timer runs, and the timer that ends accepting runs in the same turn of the event loop, before sockets are polled:
     * both timers became due while the I/O thread was blocked.
     */
    @Test
    void clientInBacklogWhenAcceptingEndsReceivesAResponse() throws Exception {
        harness.startSilent(host("a", primary, "primary", "Ready"));
        harness.discovery.next(); // A request that times out after 1.5 s, which the pooler logs.
        harness.awaitReady();
        List<WireConnection> backlogged = new ArrayList<>();
        List<Thread> stopThreads = new ArrayList<>();
        harness.whileLoopIsBlocked(
                DiscoveryWatch.class,
                () -> {
                    stopThreads.add(stopPooler()); // Accepting ends 3.3 s later.
                    harness.whileLoopIsBlocked(() -> PoolerHarness.awaitElapsed(System.nanoTime(), 3_500));
                },
                () -> {
                    for (int i = 0; i < 3; i++) { // The first would be accepted even after accepting ended.
                        WireConnection client = harness.connectWithoutStartup();
                        client.send(TestMessages.startup(), query(readSql("late" + i, 300)));
                        backlogged.add(client);
                    }
                });
        for (WireConnection client : backlogged) {
            client.readResponse();
            assertError(client.readResponse(), "53300");
            client.close();
        }
        stopThreads.get(0).join();
    }

    /** Waits for the message timeout, by connecting a client that sends nothing and is closed after it. */
    private void awaitMessageTimeout() throws Exception {
        try (WireConnection silent = harness.connectWithoutStartup()) {
            assertClosedWithError(silent, "57P05");
        }
    }

    /** A slow reader is still served after two message timeouts, which apply to incomplete messages only. */
    @Test
    void slowReaderIsNotClosedAsASilentClient() throws Exception {
        String large = "x".repeat(60_000);
        replica.script = rows(large, "replica");
        start();
        int count = 300;
        try (WireConnection client = harness.client()) {
            sendReads(client, count);
            awaitMessageTimeout();
            awaitMessageTimeout();
            assertNextValues(client, count, large);
        }
    }

    /** The bytes behind a request in flight are limited; what exceeds the limit is read once the request has ended. */
    @Test
    void excessivePipeliningIsHeldBackAndEachMessageAnswered() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        primary.script = (text, link) -> {
            PoolerHarness.await(mayRespond);
            link.send(TestMessages.row("late", "primary"), TestMessages.READY);
        };
        start();
        try (WireConnection client = harness.client();
                WireConnection observer = harness.client()) {
            // A write, as a read would be retried on another member and end early.
            client.send(query(writeSql("1", 9000)));
            byte[] excess = query("x".repeat(100_000)); // An invalid query, which gets an error.
            for (int i = 0; i < 14; i++) {
                client.send(excess);
            }
            harness.awaitCounter("input_held_back=1");
            String health = value(observer.execute("SHOW health"));
            assertThat(Integer.parseInt(health.replaceAll(".* buffered_bytes=(\\d+).*", "$1")))
                    .isBetween(1 << 20, MAX_BACKLOG_MEMORY_BYTES);
            mayRespond.countDown();
            assertThat(value(client.readResponse())).isEqualTo("late");
            for (int i = 0; i < 14; i++) {
                assertError(client.readResponse(), "22023");
            }
            assertThat(client.execute("")).containsExactly("I");
        }
    }

    /** Adds a server that sends {@code length} bytes of a response, and then closes or resets the connection. */
    private ScriptedPeer truncatingServer(byte[] response, int length, boolean reset) throws Exception {
        return harness.server((text, link) -> {
            link.send(Arrays.copyOf(response, length));
            if (reset) {
                link.socket.setSoLinger(true, 0);
            }
            link.close();
        });
    }

    /** A response is served complete or not at all, at whichever byte its connection is closed or reset. */
    @Test
    void responseTruncatedAtAnyByteIsNeverServed() throws Exception {
        byte[] complete = TestMessages.row("cut", "replica");
        int successes = 5; // Each success permits a fifth of a retry.
        List<String> hosts = new ArrayList<>(
                List.of(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready")));
        for (int cut = 0; cut < complete.length; cut++) {
            boolean reset = cut % 2 == 0; // Close and reset alternate from byte to byte.
            ScriptedPeer truncating = truncatingServer(complete, cut, reset);
            String block = "\"block\":" + (FIRST_GROUP + cut);
            hosts.add(host("a" + cut, primary, "primary", "Ready").replace("\"block\":2", block));
            hosts.add(host("b" + cut, truncating, "replica", "Ready").replace("\"block\":2", block));
        }
        harness.start(hosts.toArray(String[]::new));
        try (WireConnection client = harness.client()) {
            for (int cut = 0; cut < complete.length; cut++) {
                String readOfGroup = nextReadSql().replace("cluster=2", "cluster=" + (FIRST_GROUP + cut));
                assertThat(value(client.execute(readOfGroup)))
                        .as("cut at byte %d", cut)
                        .isEqualTo("from-primary");
                for (int success = 0; success < successes; success++) {
                    assertThat(value(client.execute(nextReadSql()))).isEqualTo("from-replica");
                }
            }
        }
        assertThat(harness.pooler.counters()).contains(" stray_exceptions=0 ");
    }
}
