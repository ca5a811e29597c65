package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.PoolerHarness.look;
import static frostreel.PoolerHarness.query;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The program's end, with clients that send on every connection for as long as it stays open. */
class ShutdownTest extends ClientScript {
    private static final String SHORT = PoolerHarness.SETTINGS
            .replace("\"deadlineS\":10", "\"deadlineS\":0.3")
            .replace("\"onTimeS\":5", "\"onTimeS\":0.2");
    private static final int CLIENTS = 8;

    /** What comes before the end, or with it. */
    enum Before {
        NOTHING,
        ANOTHER_SIGTERM,
        PAUSE,
        NOT_READY
    }

    private Map<String, String> environment() throws IOException {
        return PoolerHarness.environment(PoolerHarness.configuration(
                        stage.discovery.address(),
                        host("a", primary, "primary", "Ready"),
                        host("b", replica, "replica", "Ready"))
                .replace(PoolerHarness.SETTINGS, SHORT));
    }

    private static int port(String line) {
        return Integer.parseInt(line.replaceAll(".*127.0.0.1:(\\d+).*", "$1"));
    }

    /** Asks until its connection ends; one that is sent when that has ended crosses the end, unanswered. */
    private static void asks(int port, String name, Set<String> answered) throws IOException {
        try (PoolerHarness.Link c = new PoolerHarness.Link(new Socket("127.0.0.1", port))) {
            c.send(PoolerHarness.startup());
            c.takeAnswer();
            for (int i = 0; true; i++) {
                c.send(query(look(name + "x" + i, 300)));
                c.takeAnswer();
                answered.add(name + "x" + i);
            }
        } catch (EOFException | SocketException end) {
            return; // Here it ends.
        }
    }

    @ParameterizedTest
    @EnumSource
    void everyRequestThatReachedAServerIsAnsweredAndTheEndIsInOrder(Before before) throws Exception {
        Process program = PoolerHarness.program(environment());
        try (BufferedReader log = program.errorReader()) {
            if (before != Before.NOT_READY) {
                stage.lists.add(list(1, false));
            }
            int port = port(PoolerHarness.await(log, "listening on /127.0.0.1:"));
            int calls = port(PoolerHarness.await(log, "operators call at /127.0.0.1:"));
            if (before != Before.NOT_READY) {
                PoolerHarness.await(log, "ready");
            }
            Set<String> answered = ConcurrentHashMap.newKeySet();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String name = "c" + i;
                clients.add(PoolerHarness.spawn(() -> asks(port, name, answered)));
            }
            while (before != Before.NOT_READY && answered.size() < CLIENTS) {
                Thread.onSpinWait();
            }
            if (before == Before.PAUSE) {
                try (Socket s = new Socket("127.0.0.1", calls)) {
                    s.getOutputStream().write("PAUSE\n".getBytes());
                    assertThat(new String(s.getInputStream().readAllBytes())).startsWith("OK");
                }
            }
            PoolerHarness.signal(program, "TERM");
            if (before == Before.ANOTHER_SIGTERM) {
                PoolerHarness.signal(program, "TERM");
            }
            assertThat(program.waitFor()).isEqualTo(143);
            for (Thread c : clients) {
                c.join();
            }
            Set<String> reached = new HashSet<>();
            for (PoolerHarness.Peer p : List.of(primary, replica)) {
                p.heard.forEach(
                        t -> reached.add(t.replaceAll(".*id=(\\w+),.*", "$1").replace("|", "")));
            }
            reached.removeAll(answered);
            assertThat(reached).isEmpty();
        } finally {
            program.destroyForcibly().waitFor();
        }
    }

    /** Clients that asked and stay hold all places that are theirs; discovery goes away and comes back. */
    @Test
    void idleClientsKeepNeitherDiscoveryNorServersNorOtherClientsOut() throws Exception {
        int many = 3 * PoolerHarness.MAX_CLIENTS;
        Process program = PoolerHarness.program(environment());
        List<PoolerHarness.Link> idle = new ArrayList<>();
        try (BufferedReader log = program.errorReader()) {
            stage.lists.add(list(1, false));
            int port = port(PoolerHarness.await(log, "listening on /127.0.0.1:"));
            PoolerHarness.await(log, "ready");
            int descriptors = 128;
            new ProcessBuilder(
                            "prlimit",
                            "--pid",
                            Long.toString(program.pid()),
                            "--nofile=" + descriptors + ":" + descriptors)
                    .start()
                    .waitFor();
            stage.discovery.script = (text, link) -> {}; // From the next call on it is silent.
            stage.lists.add("no list");
            PoolerHarness.await(log, "keeping the last endpoint list");
            for (int i = 0; i < many; i++) {
                PoolerHarness.Link c = new PoolerHarness.Link(new Socket("127.0.0.1", port));
                idle.add(c);
                c.send(PoolerHarness.startup(), query(look("i" + i, 300)));
                c.takeAnswer();
                assertThat(c.takeAnswer()).as("client %d", i).isNotEmpty();
            }
            byte[] drains = PoolerHarness.http(list(2, false, host("b", replica, "replica", "Terminating")));
            stage.discovery.script = (text, link) -> link.send(drains);
            PoolerHarness.await(log, "discovery recovered after");
            try (PoolerHarness.Link c = new PoolerHarness.Link(new Socket("127.0.0.1", port))) {
                c.send(PoolerHarness.startup());
                c.takeAnswer();
                assertThat(value(c.ask(look("late", 300)))).isEqualTo("from-primary");
            }
        } finally {
            program.destroyForcibly().waitFor();
            for (PoolerHarness.Link c : idle) {
                c.close();
            }
        }
    }
}
