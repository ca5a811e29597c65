package frostreel;

import static frostreel.PoolerHarness.errors;
import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.config.Config;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Operators' commands through the admin endpoint, and their effect on requests. */
class OperatorCommandsTest extends AbstractPoolerTest {
    private static final int MORE_THAN_MAX_CONNECTIONS = 60;

    @BeforeEach
    void startPooler() throws Exception {
        start();
    }

    @Test
    void suspendedServerReceivesNothingUntilRestored() throws Exception {
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-replica");
            assertThat(harness.command("SUSPEND b")).isEqualTo("OK\n");
            assertThat(value(client.execute(readSql("2", 9000)))).isEqualTo("from-primary");
            harness.sentLists.clear();
            harness.lists.add(
                    list(2, true, host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready")));
            harness.sentLists.take();
            harness.lists.add(list(3, false));
            harness.sentLists.take(); // The previous list was applied, as this poll came after it.
            assertThat(value(client.execute(readSql("3", 9000)))).isEqualTo("from-primary");
            assertThat(harness.command("SUSPEND b")).isEqualTo("OK\n");
            assertThat(value(client.execute("SHOW operation"))).contains("out=[b]");
            assertThat(harness.command("RESTORE b")).isEqualTo("OK\n");
            assertThat(value(client.execute("SHOW operation"))).contains("out=[]");
            for (int i = 4; replica.received.size() < 2; i++) { // In slow start its share grows gradually.
                client.execute(readSql(Integer.toString(i), 9000));
            }
        }
    }

    @Test
    void writeToSuspendedPrimaryIsRejectedUnsent() throws Exception {
        replica.script = PoolerHarness.errors("25006", "replica");
        assertThat(harness.command("SUSPEND a")).isEqualTo("OK\n");
        try (WireConnection client = harness.client()) {
            assertThat(client.execute(writeSql("1", 600)))
                    .singleElement()
                    .asString()
                    .contains("|C53300|");
            assertThat(primary.received).isEmpty();
        }
    }

    @Test
    void unknownServersAndCommandsAreRejected() throws Exception {
        assertThat(harness.command("SUSPEND nobody")).startsWith("ERR ");
        assertThat(harness.command("RESTORE nobody")).startsWith("ERR ");
        assertThat(harness.command("RESTORE a")).isEqualTo("OK\n");
        assertThat(harness.command("STATUS")).isEqualTo("OK\n");
        for (String line : List.of("", "SUSPEND", "STATUS a", "status", "PAUSE a b", "GET / HTTP/1.1")) {
            assertThat(harness.command(line)).as(line).startsWith("ERR ");
        }
    }

    @Test
    void silentConnectionsAndLongLinesBlockNoOperator() throws Exception {
        InetSocketAddress address = harness.pooler.adminAddress();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < MORE_THAN_MAX_CONNECTIONS; i++) {
            Socket caller = new Socket(address.getAddress(), address.getPort());
            caller.getOutputStream().write("STAT".getBytes(StandardCharsets.US_ASCII));
            silent.add(caller);
        }

        assertThat(harness.command("STATUS")).isEqualTo("OK\n");
        assertThat(harness.command("x".repeat(2000))).startsWith("ERR ");

        for (Socket caller : silent) {
            caller.close();
        }
    }

    @Test
    void pauseDrainsClientsAndResumeServesAgain() throws Exception {
        try (WireConnection kept = harness.client();
                WireConnection idle = harness.client()) {
            kept.execute(readSql("1", 9000));
            idle.execute(readSql("2", 9000));
            assertThat(harness.command("PAUSE")).isEqualTo("OK\n");
            assertThat(harness.command("STATUS")).startsWith("ERR ");
            try (WireConnection late = harness.client()) {
                assertThat(value(late.execute(readSql("3", 9000))))
                        .as("the load balancer still assigns clients")
                        .isNotEmpty();
                assertThat(late.execute("")).singleElement().asString().contains("|C57P03|");
                assertThat(late.closedByPeer()).isTrue();
            }
            assertThat(kept.closedByPeer()).isTrue();
            assertThat(idle.closedByPeer()).isTrue();

            assertThat(harness.command("PAUSE")).isEqualTo("OK\n");
            assertThat(harness.command("RESUME")).isEqualTo("OK\n");
            try (WireConnection client = harness.client()) {
                assertThat(client.execute("")).containsExactly("I");
                assertThat(value(client.execute(readSql("4", 9000)))).isNotEmpty();
            }
        }
    }

    /** Changed settings of the same pooler: the class "post" is replaced by "pay", which is not idempotent. */
    private static String changedConfiguration(String discovery) {
        return PoolerHarness.configuration(discovery)
                .replace("\"name\":\"post\"", "\"name\":\"pay\"")
                .replace("\"dedup\"", "\"fragile\"")
                .replace("\"maxAttempts\":4", "\"maxAttempts\":1");
    }

    @Test
    void reloadKeepsRulesOfRequestsInFlightAndServesNewClasses() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch reloaded = new CountDownLatch(1);
        replica.script = (text, link) -> {
            asked.countDown();
            PoolerHarness.await(reloaded);
            link.send(TestMessages.error("XX000"), TestMessages.READY);
        };
        try (WireConnection before = harness.client();
                WireConnection after = harness.client()) {
            before.send(TestMessages.query(readSql("1", 9000)));
            asked.await();

            harness.pooler.reload(
                    Config.load(PoolerHarness.environment(changedConfiguration(harness.discovery.address()))));
            while (!harness.pooler.counters().contains("reloads=1 ")) {
                Thread.onSpinWait(); // The reload is queued on the I/O thread.
            }

            String pay = writeSql("2", 9000).replace("c=post", "c=pay");
            assertThat(value(after.execute(pay))).isEqualTo("from-primary");
            assertThat(value(after.execute(writeSql("3", 9000))))
                    .as("clients may still follow the previous settings")
                    .isEqualTo("from-primary");

            reloaded.countDown();
            assertThat(value(before.readResponse())).as("a second attempt").isEqualTo("from-primary");
            replica.script = errors("XX000", "replica");
            primary.script = errors("XX000", "primary");
            assertThat(after.execute(readSql("4", 9000)))
                    .as("one attempt, and idempotent")
                    .singleElement()
                    .asString()
                    .contains("|C53300|");
            assertThat(after.execute(writeSql("5", 9000).replace("c=post", "c=pay")))
                    .as("may have run")
                    .singleElement()
                    .asString()
                    .doesNotContain("|C53300|");
        }
    }

    @Test
    void readsGoToPrimaryWithoutReplicasAndAreRejectedWithoutMembers() throws Exception {
        try (WireConnection client = harness.client()) {
            assertThat(harness.command("SUSPEND b")).isEqualTo("OK\n");
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-primary");
            assertThat(harness.command("SUSPEND a")).isEqualTo("OK\n");
            assertThat(client.execute(readSql("2", 600)))
                    .singleElement()
                    .asString()
                    .contains("|C53300|");
            assertThat(harness.command("RESTORE a")).isEqualTo("OK\n");
            assertThat(value(client.execute(writeSql("3", 9000)))).isEqualTo("from-primary");
        }
    }

    /** The request waits for a connection that is never established; the suspension must not wait for that. */
    @Test
    void requestWaitingForSuspendedServerMovesAtOnce() throws Exception {
        CountDownLatch connecting = new CountDownLatch(1);
        CountDownLatch testEnded = new CountDownLatch(1);
        replica.handshake = (text, link) -> {
            connecting.countDown();
            PoolerHarness.await(testEnded);
        };
        try (WireConnection client = harness.client()) {
            client.send(TestMessages.query(readSql("1", 9000)));
            connecting.await();

            assertThat(harness.command("SUSPEND b")).isEqualTo("OK\n");
            assertThat(value(client.readResponse())).isEqualTo("from-primary");
        } finally {
            testEnded.countDown();
        }
    }

    @Test
    void suspendedServerStaysOutWhenItIsListedAgain() throws Exception {
        assertThat(harness.command("SUSPEND b")).isEqualTo("OK\n");
        String listed = host("b", replica, "replica", "Ready");
        int version = 2;
        harness.sentLists.clear();
        for (String state : List.of("Gone", "Ready", "Terminating", "Ready")) {
            harness.lists.add(list(version++, false, listed.replace("Ready", state)));
        }
        harness.lists.add(list(version, false));
        for (int i = 0; i < 5; i++) {
            harness.sentLists.take();
        }
        try (WireConnection client = harness.client()) {
            for (int i = 0; i < 20; i++) {
                assertThat(value(client.execute(readSql("n" + i, 9000)))).isEqualTo("from-primary");
            }
            assertThat(replica.received).isEmpty();
        }
    }
}
