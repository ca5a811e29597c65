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

/** The close of client connections: accepted requests are answered, and bytes in transit reset nothing. */
class ConnectionCloseTest extends AbstractPoolerTest {
    /** The first replica group whose replica truncates its responses; one group a byte. */
    private static final int FIRST_GROUP = 100;

    /** Makes the pooler wait without limit for a closed client to close its side. */
    private void lingerWithoutLimit() {
        harness.lingerUs = Long.MAX_VALUE / 2;
    }

    /** The client sends after it saw the close: a socket that was closed in both directions would be reset by that. */
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
        WireConnection longestIdle = idleClients(PoolerHarness.USUAL_CLIENTS).get(0);
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
     * A connection in the kernel's backlog counts as accepted. It arrives while one timer runs, and the timer
     * that ends accepting is due in the same turn, before sockets are looked at: both fell due while the I/O
     * thread was blocked.
     */
    @Test
    void clientInBacklogWhenAcceptingEndsReceivesAResponse() throws Exception {
        harness.startSilent(host("a", primary, "primary", "Ready"));
        harness.discovery.next(); // A request that the pooler gives up after 1.5 s, which it logs.
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
                    for (int i = 0; i < 3; i++) { // Even after accepting had ended, the first would be accepted.
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

    /** Connects a client that sends nothing, and waits until it is closed: as long as a message may be incomplete. */
    private void awaitMessageTimeout() throws Exception {
        try (WireConnection silent = harness.connectWithoutStartup()) {
            assertClosedWithError(silent, "57P05");
        }
    }

    /** The slow reader is still served after two message timeouts, one after the other. */
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

    /** Bytes behind a request in flight are limited, also while its response waits for its reader. */
    @Test
    void excessivePipeliningClosesClientAfterItsLastResponse() throws Exception {
        CountDownLatch mayRespond = new CountDownLatch(1);
        primary.script = (text, link) -> {
            PoolerHarness.await(mayRespond);
            link.send(TestMessages.row("late", "primary"), TestMessages.READY);
        };
        start();
        try (WireConnection client = harness.client()) {
            // A write, as a read would be retried on another member and end too soon.
            client.send(query(writeSql("1", 9000)));
            byte[] excess = query("x".repeat(100_000)); // Of unknown form: an error each.
            for (int i = 0; i < 14; i++) {
                client.send(excess);
            }
            harness.awaitCounter("malformed=1");
            mayRespond.countDown();
            assertThat(value(client.readResponse())).isEqualTo("late");
            String last = client.take();
            while (last.contains("|C22023|")) {
                assertThat(client.take()).startsWith("Z");
                last = client.take();
            }
            assertThat(last).startsWith("E").contains("|C08P01|").contains("too much at once");
            assertThat(client.closedByPeer()).isTrue();
        }
    }

    /** Adds a server that sends the first bytes of its response, and then closes or resets the connection. */
    private ScriptedPeer truncatingServer(byte[] response, int length, boolean reset) throws Exception {
        return harness.server((text, link) -> {
            link.send(Arrays.copyOf(response, length));
            if (reset) {
                link.socket.setSoLinger(true, 0);
            }
            link.close();
        });
    }

    /** A response is complete or not served, wherever its connection is closed or reset. */
    @Test
    void responseTruncatedAtAnyByteIsNeverServed() throws Exception {
        byte[] complete = TestMessages.row("cut", "replica");
        int successes = 5; // Each success earns a fifth of a retry.
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
