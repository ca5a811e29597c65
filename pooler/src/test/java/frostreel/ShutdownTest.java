package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static frostreel.TestMessages.row;
import static frostreel.TestMessages.writeSql;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Graceful shutdown while clients send requests for as long as their connections stay open. */
class ShutdownTest extends AbstractPoolerTest {
    private static final String SHORT_DEADLINES = PoolerHarness.SETTINGS
            .replace("\"deadlineS\":10", "\"deadlineS\":0.3")
            .replace("\"onTimeS\":5", "\"onTimeS\":0.2");
    /** Longer than a shutdown by {@link #SHORT_DEADLINES} lasts. */
    private static final long EXIT_BY_SHORT_DEADLINES_MS = 1_700;

    private static final int CLIENTS = 8;

    /** The state of the process at SIGTERM, or how often the signal is sent. */
    enum Situation {
        SERVING,
        SIGTERM_TWICE,
        PAUSED,
        NOT_READY
    }

    private Map<String, String> environment() throws IOException {
        return PoolerHarness.environment(configuration().replace(PoolerHarness.SETTINGS, SHORT_DEADLINES));
    }

    /** Sends requests until the connection ends; a request sent while it is being closed gets no response. */
    private static void sendUntilClosed(int port, String name, Set<String> completed) throws IOException {
        try (WireConnection client = PoolerHarness.client(port)) {
            for (int i = 0; true; i++) {
                client.send(query(readSql(name + "x" + i, 300)));
                client.readResponse();
                completed.add(name + "x" + i);
            }
        } catch (EOFException | SocketException end) {
            return; // The connection has ended.
        }
    }

    @ParameterizedTest
    @EnumSource
    void everyRequestThatReachedAServerGetsItsResponseBeforeExit(Situation situation) throws Exception {
        boolean ready = situation != Situation.NOT_READY;
        try (ServeProcess process = ServeProcess.start(environment())) {
            if (ready) {
                harness.lists.add(list(1, false));
            }
            int port = process.awaitPort();
            int adminPort = process.awaitAdminPort();
            if (ready) {
                process.awaitReady();
            }
            Set<String> completed = ConcurrentHashMap.newKeySet();
            List<Thread> clients = startClients(port, completed);
            while (ready && completed.size() < CLIENTS) {
                Thread.onSpinWait();
            }
            if (situation == Situation.PAUSED) {
                pause(adminPort);
            }

            process.signal("TERM");
            if (situation == Situation.SIGTERM_TWICE) {
                process.signal("TERM");
            }

            assertThat(process.awaitExit()).isEqualTo(ServeProcess.EXIT_BY_SIGTERM);
            for (Thread client : clients) {
                client.join();
            }
            assertThat(requestsThatReachedServers()).isSubsetOf(completed);
        }
    }

    private static List<Thread> startClients(int port, Set<String> completed) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            clients.add(PoolerHarness.spawn(() -> sendUntilClosed(port, name, completed)));
        }
        return clients;
    }

    private static void pause(int adminPort) throws IOException {
        try (Socket caller = new Socket("127.0.0.1", adminPort)) {
            caller.getOutputStream().write("PAUSE\n".getBytes(StandardCharsets.US_ASCII));
            String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(response).startsWith("OK");
        }
    }

    private Set<String> requestsThatReachedServers() {
        Set<String> reached = new HashSet<>();
        for (ScriptedPeer peer : List.of(primary, replica)) {
            peer.received.forEach(text -> reached.add(TestMessages.requestId(text)));
        }
        return reached;
    }

    /**
     * Guards against idle clients that use up all descriptors, so that the process can no longer reach discovery after
     * an outage, connect to servers or accept clients.
     */
    @Test
    void idleClientsDoNotStarveDiscoveryServersOrNewClients() throws Exception {
        int many = 3 * PoolerHarness.MAX_CLIENTS;
        List<WireConnection> idle = new ArrayList<>();
        try (ServeProcess process = ServeProcess.start(environment())) {
            harness.lists.add(list(1, false));
            int port = process.awaitPort();
            process.awaitReady();
            limitDescriptors(process, 128);
            harness.discovery.script = (text, link) -> {}; // No response from the next poll on.
            harness.lists.add("no list");
            process.awaitLog("keeping the last endpoint list");
            for (int i = 0; i < many; i++) {
                WireConnection client = PoolerHarness.connect(port);
                idle.add(client);
                client.send(TestMessages.startup(), query(readSql("i" + i, 300)));
                client.readResponse();
                assertThat(client.readResponse()).as("client %d", i).isNotEmpty();
            }
            byte[] drains = TestMessages.http(list(2, false, host("b", replica, "replica", "Terminating")));
            harness.discovery.script = (text, link) -> link.send(drains);
            process.awaitLog("discovery recovered after");
            try (WireConnection client = PoolerHarness.client(port)) {
                assertThat(value(client.execute(readSql("late", 300)))).isEqualTo("from-primary");
            }
        } finally {
            for (WireConnection client : idle) {
                client.close();
            }
        }
    }

    /**
     * Guards against a process that exits by the deadlines of new settings, before the response to a request that came
     * under the earlier ones with longer deadlines.
     */
    @Test
    void requestOfEarlierSettingsGetsItsResponseBeforeExit() throws Exception {
        CountDownLatch requestArrived = new CountDownLatch(1);
        CountDownLatch stopping = new CountDownLatch(1);
        replica.script = (text, link) -> {
            requestArrived.countDown();
            PoolerHarness.await(stopping);
            PoolerHarness.awaitElapsed(System.nanoTime(), EXIT_BY_SHORT_DEADLINES_MS);
            link.send(row("after-sigterm", "replica"), TestMessages.READY);
        };
        Map<String, String> environment = PoolerHarness.environment(configuration());
        try (ServeProcess process = ServeProcess.start(environment)) {
            harness.lists.add(list(1, false));
            int port = process.awaitPort();
            process.awaitReady();
            try (WireConnection client = PoolerHarness.client(port)) {
                client.send(query(readSql("1", 9000)));
                requestArrived.await();
                Files.writeString(
                        Path.of(environment.get("GW_CONFIG")),
                        configuration().replace(PoolerHarness.SETTINGS, SHORT_DEADLINES));
                process.signal("HUP");
                process.awaitLog("configuration reloaded");
                process.signal("TERM");
                process.awaitLog("stopping");
                stopping.countDown();

                assertThat(value(client.readResponse())).isEqualTo("after-sigterm");
            }
            assertThat(process.awaitExit()).isEqualTo(ServeProcess.EXIT_BY_SIGTERM);
        }
    }

    private static void limitDescriptors(ServeProcess process, int limit) throws IOException, InterruptedException {
        String pid = Long.toString(process.pid());
        new ProcessBuilder("prlimit", "--pid", pid, "--nofile=" + limit + ":" + limit)
                .start()
                .waitFor();
    }

    @Test
    void shutdownCompletesRequestsInFlightThenClosesClients() throws Exception {
        List<String> warnings = new CopyOnWriteArrayList<>();
        Handler handler = warningsTo(warnings);
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        CountDownLatch requestArrived = new CountDownLatch(1);
        CountDownLatch mayRespond = new CountDownLatch(1);
        replica.script = (text, link) -> {
            requestArrived.countDown();
            PoolerHarness.await(mayRespond);
            link.send(row("after-sigterm", "replica"), TestMessages.READY);
        };
        start();
        try (WireConnection client = harness.client();
                WireConnection idle = harness.client()) {
            client.send(query(readSql("1", 9000)));
            requestArrived.await();
            Thread stop = stopPooler();
            String last = "";
            // Until deadlines of 9 s are reduced to the time that remains before SIGKILL.
            for (int i = 0; !last.matches(".*d=(3[0-2]|[12]?.)..,.*"); i++) {
                assertThat(value(idle.execute(writeSql("s" + i, 9000)))).isEqualTo("from-primary");
                last = primary.next();
            }
            // The idle client's connection is closed while the other client is still served.
            assertThat(idle.closedByPeer()).isTrue();
            mayRespond.countDown();
            assertThat(value(client.readResponse())).isEqualTo("after-sigterm");
            assertThat(client.closedByPeer()).isTrue();
            stop.join();
            harness.pooler = null;
        } finally {
            root.removeHandler(handler);
        }
        assertThat(warnings).isEmpty(); // Setting a timer while the I/O thread ends must not fail.
    }

    private static Handler warningsTo(List<String> warnings) {
        return new StreamHandler() {
            @Override
            public void publish(LogRecord entry) {
                if (entry.getLevel().intValue() >= Level.WARNING.intValue()) {
                    warnings.add(entry.getLevel() + " " + entry.getMessage());
                }
            }
        };
    }
}
