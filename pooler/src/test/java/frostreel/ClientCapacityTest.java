package frostreel;

import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The limit on client connections: who is closed to make room, and who is rejected. */
class ClientCapacityTest extends AbstractPoolerTest {
    @Test
    void idleClientsAreClosedForNewOnesAtTheLimit() throws Exception {
        harness.unlimitedConcurrency = true;
        start();
        try (WireConnection leaver = harness.client()) {
            leaver.send(TestMessages.bytes('X', "")); // A client that has left must not be taken for an idle one.
            assertThat(leaver.closedByPeer()).isTrue();
        }
        List<WireConnection> clients = new ArrayList<>();
        int idle = PoolerHarness.USUAL_CLIENTS / 3 - 1; // With one more the limit on idle clients is reached.
        for (int i = 0; i < idle; i++) {
            clients.add(harness.client());
            assertThat(value(clients.get(i).execute(readSql("c" + i, 9000)))).isEqualTo("from-replica");
        }
        replica.script = (text, link) -> {};
        primary.script = replica.script;
        for (int i = idle; i < PoolerHarness.BUSY_LIMIT; i++) { // These have a request in flight.
            clients.add(harness.client());
            clients.get(i).send(query(readSql("c" + i, 9000)));
        }
        try (WireConnection late = harness.client()) { // Admitted once the first has been idle for long enough.
            assertThat(late.execute("")).containsExactly("I");
            assertThat(clients.get(0).closedByPeer()).isTrue();
        }
        while (!harness.pooler.counters().contains(" clients_evicted=1 clients_spared=0 ")) {
            Thread.onSpinWait(); // The client sees the close before it is counted.
        }
    }

    @Test
    void longestIdleClientsAreClosedOnlyAboveTheUsualCount() throws Exception {
        start();
        try (WireConnection leaver = harness.client()) { // The client that awaited readiness has gone as well.
            leaver.send(TestMessages.bytes('X', ""));
            assertThat(leaver.closedByPeer()).isTrue();
        }
        List<WireConnection> clients = new ArrayList<>();
        int unlimited = PoolerHarness.USUAL_CLIENTS * 3 / 4;
        for (int i = 0; i < PoolerHarness.USUAL_CLIENTS; i++) {
            clients.add(harness.client());
            assertThat(value(clients.get(i).execute(readSql("c" + i, 9000)))).isEqualTo("from-replica");
            if (i < unlimited) {
                assertThat(harness.pooler.counters()).contains(" clients_spared=0 ");
            }
        }
        int closed = PoolerHarness.USUAL_CLIENTS - unlimited;
        while (!harness.pooler.counters().contains(" clients_spared=" + closed + " ")) {
            Thread.onSpinWait(); // The last response is sent before the next client is closed.
        }
        for (int i = 0; i < closed; i++) { // The longest idle first.
            assertThat(clients.get(i).closedByPeer()).isTrue();
        }
        for (int i = closed; i < clients.size(); i++) {
            assertThat(value(clients.get(i).execute(readSql("d" + i, 9000)))).isEqualTo("from-replica");
        }
    }

    @Test
    void idleClientWithUnreadRequestIsAnsweredNotClosed() throws Exception {
        primary.script = (text, link) -> {
            if (!text.startsWith("QINSERT")) {
                link.send(row("from-primary", "primary"), TestMessages.READY);
            }
        };
        start();
        List<WireConnection> idle = new ArrayList<>();
        for (int i = 0; i < PoolerHarness.USUAL_CLIENTS / 3; i++) {
            idle.add(harness.client());
            assertThat(value(idle.get(i).execute(readSql("c" + i, 9000)))).isEqualTo("from-replica");
        }
        for (int i = idle.size(); i < PoolerHarness.USUAL_CLIENTS * 3 / 4 - 1; i++) { // Busy ones.
            harness.client().send(query(writeSql("p" + i, 9000)));
        }
        List<WireConnection> late = List.of(harness.client(), harness.client());
        int longest = late.size() + 2; // The longest idle: more than might be closed.
        // While the I/O thread is blocked all of them send; those of the late clients are answered at once.
        harness.whileLoopIsBlocked(() -> {
            for (WireConnection client : late) {
                client.send(query(""));
            }
            for (int i = 0; i < longest; i++) {
                idle.get(i).send(query(readSql("d" + i, 9000)));
            }
        });
        for (WireConnection client : idle.subList(0, longest)) {
            assertThat(value(client.readResponse())).startsWith("from-");
        }
        for (WireConnection client : late) {
            assertThat(client.readResponse()).containsExactly("I");
        }
    }

    @Test
    void silentClientsAreNotifiedAndClosedAndBlockNobody() throws Exception {
        start();
        List<WireConnection> silent = new ArrayList<>();
        for (int i = 0; i < 2 * PoolerHarness.MAX_CLIENTS; i++) {
            silent.add(harness.connectWithoutStartup());
        }
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-replica");
        }
        WireConnection last = silent.get(silent.size() - 1);
        last.send(TestMessages.startup(), java.util.Arrays.copyOf(query(readSql("2", 9000)), 40));
        last.readResponse();
        assertThat(last.take()).startsWith("E").contains("|C57P05|");
        assertThat(last.closedByPeer()).isTrue();
        for (WireConnection client : silent) {
            client.close();
        }
        assertThat(harness.pooler.counters()).contains(" requests=1 ");
    }

    @Test
    void requestIsRejectedAtOnceNearTheConnectionLimit() throws Exception {
        harness.unlimitedConcurrency = true;
        replica.script = (text, link) -> {};
        primary.script = replica.script;
        start();
        List<WireConnection> clients = new ArrayList<>();
        int busy = PoolerHarness.BUSY_LIMIT;
        for (int i = 0; i < busy; i++) {
            clients.add(harness.client());
            clients.get(i).send(query(readSql("c" + i, 9000)));
        }
        while (!harness.pooler.counters().contains(" requests=" + busy + " ")) {
            Thread.onSpinWait();
        }
        clients.add(harness.client());
        List<String> response = clients.get(busy).execute(readSql("last", 9000));
        assertThat(response).singleElement().asString().contains("|C53300|").containsPattern("\\|D\\d+\\|");
        assertThat(harness.pooler.counters()).contains(" crowded_out=1 ");
    }
}
