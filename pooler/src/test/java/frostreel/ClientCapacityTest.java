package frostreel;

import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The limits on client connections: which clients are closed to make room, and which requests are rejected. */
class ClientCapacityTest extends AbstractPoolerTest {
    /** Number of idle clients above which idle clients are closed while most connections are in use. */
    private static final int IDLE_LIMIT = PoolerHarness.EXPECTED_CLIENTS / 3;
    /** Number of clients up to which none is closed for being idle. */
    private static final int MAX_CLIENTS_WITHOUT_CLOSE = PoolerHarness.EXPECTED_CLIENTS * 3 / 4;

    /** Connects a client that terminates its connection, and must not count as idle afterwards. */
    private void connectAndTerminate() throws Exception {
        try (WireConnection client = harness.client()) {
            client.send(TestMessages.bytes('X', ""));
            assertThat(client.closedByPeer()).isTrue();
        }
    }

    @Test
    void closesIdleClientsForNewOnesAtTheLimit() throws Exception {
        harness.unlimitedConcurrency = true;
        start();
        connectAndTerminate();
        List<WireConnection> idle = idleClients(IDLE_LIMIT - 1);
        withholdResponses();
        busyClients(PoolerHarness.BUSY_LIMIT - idle.size());
        try (WireConnection late = harness.client()) { // Accepted once the first client has been idle for long enough.
            assertThat(late.execute("")).containsExactly("I");
            assertThat(idle.get(0).closedByPeer()).isTrue();
        }
        harness.awaitCounter("clients_evicted=1 clients_spared=0"); // The counter is updated after the close is sent.
    }

    @Test
    void closesLongestIdleClientsOnlyAboveThreeQuartersOfTheExpectedCount() throws Exception {
        start();
        connectAndTerminate(); // The client that awaited readiness has disconnected as well.
        List<WireConnection> clients = new ArrayList<>(idleClients(MAX_CLIENTS_WITHOUT_CLOSE));
        assertThat(harness.pooler.counters()).contains(" clients_spared=0 ");
        int excess = PoolerHarness.EXPECTED_CLIENTS - MAX_CLIENTS_WITHOUT_CLOSE;
        clients.addAll(idleClients(excess));
        // clients_spared counts the clients closed because too many are idle.
        harness.awaitCounter("clients_spared=" + excess); // The last response is sent before the next client is closed.
        for (WireConnection longestIdle : clients.subList(0, excess)) {
            assertThat(longestIdle.closedByPeer()).isTrue();
        }
        for (WireConnection client : clients.subList(excess, clients.size())) {
            assertThat(value(client.execute(nextReadSql()))).isEqualTo("from-replica");
        }
    }

    @Test
    void servesIdleClientWithUnreadRequestInsteadOfClosingIt() throws Exception {
        primary.script = (text, link) -> {
            if (!text.startsWith("QINSERT")) {
                link.send(row("from-primary", "primary"), TestMessages.READY);
            }
        };
        start();
        List<WireConnection> idle = idleClients(IDLE_LIMIT);
        for (int i = idle.size(); i < MAX_CLIENTS_WITHOUT_CLOSE - 1; i++) { // Busy clients.
            harness.client().send(query(writeSql("write" + i, 9000)));
        }
        List<WireConnection> late = List.of(harness.client(), harness.client());
        List<WireConnection> longestIdle = idle.subList(0, late.size() + 2); // More than could be closed.
        // All requests are sent while the I/O thread is blocked; the pooler itself responds to the late clients.
        harness.whileLoopIsBlocked(() -> {
            for (WireConnection client : late) {
                client.send(query(""));
            }
            for (WireConnection client : longestIdle) {
                client.send(query(nextReadSql()));
            }
        });
        for (WireConnection client : longestIdle) {
            assertThat(value(client.readResponse())).startsWith("from-");
        }
        for (WireConnection client : late) {
            assertThat(client.readResponse()).containsExactly("I");
        }
    }

    @Test
    void notifiesAndClosesSilentClientsSoThatOthersAreServed() throws Exception {
        start();
        List<WireConnection> silent = new ArrayList<>();
        for (int i = 0; i < 2 * PoolerHarness.MAX_CLIENTS; i++) {
            silent.add(harness.connectWithoutStartup());
        }
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-replica");
        }
        WireConnection last = silent.get(silent.size() - 1);
        last.send(TestMessages.startup(), Arrays.copyOf(query(readSql("2", 9000)), 40));
        last.readResponse();
        assertClosedWithError(last, "57P05");
        for (WireConnection client : silent) {
            client.close();
        }
        assertThat(harness.pooler.counters()).contains(" requests=1 ");
    }

    @Test
    void rejectsRequestAtOnceNearTheConnectionLimit() throws Exception {
        harness.unlimitedConcurrency = true;
        withholdResponses();
        start();
        busyClients(PoolerHarness.BUSY_LIMIT);
        harness.awaitCounter("requests=" + PoolerHarness.BUSY_LIMIT);
        List<String> response = harness.client().execute(readSql("last", 9000));
        assertError(response, "53300");
        assertThat(response.get(0)).containsPattern("\\|D\\d+\\|");
        assertThat(harness.pooler.counters()).contains(" crowded_out=1 ");
    }
}
