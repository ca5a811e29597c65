package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.rows;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.discovery.DiscoveryWatch;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The close of client connections: accepted requests are answered, and bytes in transit reset nothing. */
class ConnectionCloseTest extends AbstractPoolerTest {
    /** Makes the pooler wait without limit for a closed client to close its end. */
    private void lingerWithoutEnd() {
        harness.lingerUs = Long.MAX_VALUE / 2;
    }

    /** The client sends after it saw the end: a socket that was closed in both directions would be reset by that. */
    private void assertBytesAfterCloseAreDroppedWithoutReset(WireConnection client) throws Exception {
        assertThat(client.closedByPeer()).isTrue();
        long before = harness.counter("requests");
        for (int i = 0; i < 3; i++) {
            client.send(query(readSql("crossed" + i, 9000)));
        }
        assertThat(client.closedByPeer()).isTrue();
        client.close();
        assertThat(harness.counter("requests")).isEqualTo(before);
    }

    @Test
    void bytesSentWhileIdleClientIsClosedDoNotResetIt() throws Exception {
        lingerWithoutEnd();
        start();
        List<WireConnection> clients = new ArrayList<>();
        for (int i = 0; i < PoolerHarness.USUAL_CLIENTS; i++) {
            clients.add(harness.client());
            assertThat(value(clients.get(i).execute(readSql("c" + i, 9000)))).isEqualTo("from-replica");
        }
        assertBytesAfterCloseAreDroppedWithoutReset(clients.get(0));
    }

    @Test
    void bytesSentDuringShutdownSweepDoNotResetTheConnection() throws Exception {
        lingerWithoutEnd();
        harness.settings = PoolerHarness.SETTINGS
                .replace("\"deadlineS\":10", "\"deadlineS\":0.3")
                .replace("\"onTimeS\":5", "\"onTimeS\":0.2"); // SIGKILL is due after 1 s, the sweep after 0.6 s.
        start();
        try (WireConnection asked = harness.client();
                WireConnection silent = harness.client()) {
            assertThat(value(asked.execute(readSql("1", 300)))).isEqualTo("from-replica");
            Thread stopThreads = stopPooler();
            assertBytesAfterCloseAreDroppedWithoutReset(asked);
            assertBytesAfterCloseAreDroppedWithoutReset(silent);
            stopThreads.join();
        }
    }

    /**
     * A connection in the kernel's backlog counts as accepted. It arrives while one timer runs, and the timer
     * that ends accepting is due in the same turn, before sockets are looked at: both fell due while the I/O
     * thread was blocked.
     */
    @Test
    void clientInBacklogWhenAcceptingEndsIsAnswered() throws Exception {
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
                        backlogged.add(harness.connectWithoutStartup());
                        backlogged.get(i).send(TestMessages.startup(), query(readSql("" + i, 300)));
                    }
                });
        for (WireConnection client : backlogged) {
            client.readResponse();
            assertThat(client.readResponse()).singleElement().asString().contains("|C53300|");
            client.close();
        }
        stopThreads.get(0).join();
    }

    /** Two silent clients, one after the other, show that the limit on incomplete messages has passed. */
    @Test
    void slowReaderIsNotTakenForASilentClient() throws Exception {
        String large = "x".repeat(60_000);
        replica.script = rows(large, "replica");
        start();
        int count = 300;
        try (WireConnection client = harness.client()) {
            for (int i = 0; i < count; i++) {
                client.send(query(readSql("q" + i, 9000)));
            }
            for (int i = 0; i < 2; i++) {
                try (WireConnection silent = harness.connectWithoutStartup()) {
                    assertThat(silent.take()).startsWith("E").contains("|C57P05|");
                    assertThat(silent.closedByPeer()).isTrue();
                }
            }
            for (int i = 0; i < count; i++) {
                assertThat(value(client.readResponse())).isEqualTo(large);
            }
        }
    }

    /** Bytes behind a request in flight are bounded, also while its response waits for its reader. */
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

    /** A response is complete or not served, wherever its connection is closed or reset. */
    @Test
    void responseTruncatedAtAnyByteIsNeverServed() throws Exception {
        byte[] complete = TestMessages.row("cut", "replica");
        int resetEvery = 2; // Close and reset alternate from byte to byte.
        int successes = 5; // Each success earns a fifth of a retry.
        List<String> hosts = new ArrayList<>(
                List.of(host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready")));
        for (int i = 0; i < complete.length; i++) {
            int cut = i;
            boolean reset = i % resetEvery == 0;
            ScriptedPeer cutter = harness.server((text, link) -> {
                link.send(java.util.Arrays.copyOf(complete, cut));
                if (reset) {
                    link.socket.setSoLinger(true, 0);
                }
                link.close();
            });
            String block = "\"block\":" + (100 + i);
            hosts.add(host("a" + i, primary, "primary", "Ready").replace("\"block\":2", block));
            hosts.add(host("b" + i, cutter, "replica", "Ready").replace("\"block\":2", block));
        }
        harness.start(hosts.toArray(String[]::new));
        try (WireConnection client = harness.client()) {
            for (int i = 0; i < complete.length; i++) {
                assertThat(value(client.execute(readSql("q" + i, 9000).replace("cluster=2", "cluster=" + (100 + i)))))
                        .as("cut at byte %d", i)
                        .isEqualTo("from-primary");
                for (int j = 0; j < successes; j++) {
                    assertThat(value(client.execute(readSql("q" + i + "x" + j, 9000))))
                            .isEqualTo("from-replica");
                }
            }
        }
        assertThat(harness.pooler.counters()).contains(" stray_exceptions=0 ");
    }
}
