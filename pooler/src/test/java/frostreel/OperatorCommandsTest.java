package frostreel;

import static frostreel.PoolerHarness.errors;
import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.PoolerHarness.look;
import static frostreel.PoolerHarness.post;
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

/** What operators call for, over sockets. */
class OperatorCommandsTest extends ClientScript {
    @BeforeEach
    void begin() throws Exception {
        start();
    }

    @Test
    void suspendedServerReceivesNothingUntilRestored() throws Exception {
        try (PoolerHarness.Link client = stage.client()) {
            assertThat(value(client.ask(look("1", 9000)))).isEqualTo("from-replica");
            assertThat(stage.call("SUSPEND b")).isEqualTo("OK\n");
            assertThat(value(client.ask(look("2", 9000)))).isEqualTo("from-primary");
            stage.told.clear();
            stage.lists.add(
                    list(2, true, host("a", primary, "primary", "Ready"), host("b", replica, "replica", "Ready")));
            stage.told.take();
            stage.lists.add(list(3, false));
            stage.told.take(); // The list before was taken, as this call came only after it.
            assertThat(value(client.ask(look("3", 9000)))).isEqualTo("from-primary");
            assertThat(stage.call("SUSPEND b")).isEqualTo("OK\n");
            assertThat(value(client.ask("SHOW operation"))).contains("out=[b]");
            assertThat(stage.call("RESTORE b")).isEqualTo("OK\n");
            assertThat(value(client.ask("SHOW operation"))).contains("out=[]");
            for (int i = 4; replica.heard.size() < 2; i++) { // Cold at first: its share comes by and by.
                client.ask(look(Integer.toString(i), 9000));
            }
        }
    }

    @Test
    void writeToSuspendedPrimaryIsRejectedUnsent() throws Exception {
        replica.script = PoolerHarness.errors("25006", "replica");
        assertThat(stage.call("SUSPEND a")).isEqualTo("OK\n");
        try (PoolerHarness.Link client = stage.client()) {
            assertThat(client.ask(post("1", 600))).singleElement().asString().contains("|C53300|");
            assertThat(primary.heard).isEmpty();
        }
    }

    @Test
    void unknownServersAndCommandsAreRejected() throws Exception {
        assertThat(stage.call("SUSPEND nobody")).startsWith("ERR ");
        assertThat(stage.call("RESTORE nobody")).startsWith("ERR ");
        assertThat(stage.call("RESTORE a")).isEqualTo("OK\n");
        assertThat(stage.call("STATUS")).isEqualTo("OK\n");
        for (String line : List.of("", "SUSPEND", "STATUS a", "status", "PAUSE a b", "GET / HTTP/1.1")) {
            assertThat(stage.call(line)).as(line).startsWith("ERR ");
        }
    }

    @Test
    void silentCallersAndLongLinesBlockNobody() throws Exception {
        InetSocketAddress at = stage.pooler.callsAt();
        List<Socket> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket caller = new Socket(at.getAddress(), at.getPort());
            caller.getOutputStream().write("STAT".getBytes(StandardCharsets.US_ASCII));
            silent.add(caller);
        }
        assertThat(stage.call("STATUS")).isEqualTo("OK\n");
        assertThat(stage.call("x".repeat(2000))).startsWith("ERR ");
        for (Socket caller : silent) {
            caller.close();
        }
    }

    @Test
    void pauseDrainsClientsAndResumeServesAgain() throws Exception {
        try (PoolerHarness.Link kept = stage.client();
                PoolerHarness.Link idle = stage.client()) {
            kept.ask(look("1", 9000));
            idle.ask(look("2", 9000));
            assertThat(stage.call("PAUSE")).isEqualTo("OK\n");
            assertThat(stage.call("STATUS")).startsWith("ERR ");
            try (PoolerHarness.Link late = stage.client()) {
                assertThat(value(late.ask(look("3", 9000))))
                        .as("still dealt out")
                        .isNotEmpty();
                assertThat(late.ask("")).singleElement().asString().contains("|C57P03|");
                assertThat(late.endsNext()).isTrue();
            }
            assertThat(kept.endsNext()).isTrue();
            assertThat(idle.endsNext()).isTrue();
            assertThat(stage.call("PAUSE")).isEqualTo("OK\n");
            assertThat(stage.call("RESUME")).isEqualTo("OK\n");
            try (PoolerHarness.Link client = stage.client()) {
                assertThat(client.ask("")).containsExactly("I");
                assertThat(value(client.ask(look("4", 9000)))).isNotEmpty();
            }
        }
    }

    /** Other settings of the same pooler: the class "post" is dropped, "pay" may not be repeated. */
    private static String changed(String discovery) {
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
            link.send(PoolerHarness.error("XX000"), PoolerHarness.READY);
        };
        try (PoolerHarness.Link open = stage.client();
                PoolerHarness.Link later = stage.client()) {
            open.send(PoolerHarness.query(look("1", 9000)));
            asked.await();
            stage.pooler.reload(Config.load(PoolerHarness.environment(changed(stage.discovery.address()))));
            while (!stage.pooler.counters().contains("reloads=1 ")) {
                Thread.onSpinWait(); // The reload waits its turn on the I/O thread.
            }
            String pay = post("2", 9000).replace("c=post", "c=pay");
            assertThat(value(later.ask(pay))).isEqualTo("from-primary");
            assertThat(value(later.ask(post("3", 9000))))
                    .as("clients may still speak by the old")
                    .isEqualTo("from-primary");
            reloaded.countDown();
            assertThat(value(open.takeAnswer())).as("a second attempt").isEqualTo("from-primary");
            replica.script = errors("XX000", "replica");
            primary.script = errors("XX000", "primary");
            assertThat(later.ask(look("4", 9000)))
                    .as("one attempt, and safe to repeat")
                    .singleElement()
                    .asString()
                    .contains("|C53300|");
            assertThat(later.ask(post("5", 9000).replace("c=post", "c=pay")))
                    .as("may have run")
                    .singleElement()
                    .asString()
                    .doesNotContain("|C53300|");
        }
    }

    @Test
    void readsGoToPrimaryWithoutReplicasAndAreRejectedWithoutMembers() throws Exception {
        try (PoolerHarness.Link client = stage.client()) {
            assertThat(stage.call("SUSPEND b")).isEqualTo("OK\n");
            assertThat(value(client.ask(look("1", 9000)))).isEqualTo("from-primary");
            assertThat(stage.call("SUSPEND a")).isEqualTo("OK\n");
            assertThat(client.ask(look("2", 600))).singleElement().asString().contains("|C53300|");
            assertThat(stage.call("RESTORE a")).isEqualTo("OK\n");
            assertThat(value(client.ask(post("3", 9000)))).isEqualTo("from-primary");
        }
    }

    /** The attempt waits for a connection that never comes up; the call must not wait for it. */
    @Test
    void requestWaitingForSuspendedServerMovesAtOnce() throws Exception {
        CountDownLatch welcomed = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        replica.welcome = (text, link) -> {
            welcomed.countDown();
            PoolerHarness.await(over);
        };
        try (PoolerHarness.Link client = stage.client()) {
            client.send(PoolerHarness.query(look("1", 9000)));
            welcomed.await();
            assertThat(stage.call("SUSPEND b")).isEqualTo("OK\n");
            assertThat(value(client.takeAnswer())).isEqualTo("from-primary");
        } finally {
            over.countDown();
        }
    }

    @Test
    void suspendedServerStaysOutWhenItIsListedAgain() throws Exception {
        assertThat(stage.call("SUSPEND b")).isEqualTo("OK\n");
        String listed = host("b", replica, "replica", "Ready");
        int seq = 2;
        stage.told.clear();
        for (String state : List.of("Gone", "Ready", "Terminating", "Ready")) {
            stage.lists.add(list(seq++, false, listed.replace("Ready", state)));
        }
        stage.lists.add(list(seq, false));
        for (int i = 0; i < 5; i++) {
            stage.told.take();
        }
        try (PoolerHarness.Link client = stage.client()) {
            for (int i = 0; i < 20; i++) {
                assertThat(value(client.ask(look("n" + i, 9000)))).isEqualTo("from-primary");
            }
            assertThat(replica.heard).isEmpty();
        }
    }
}
