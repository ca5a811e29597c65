package frostreel;

import static frostreel.PoolerHarness.host;
import static frostreel.PoolerHarness.list;
import static frostreel.PoolerHarness.look;
import static frostreel.PoolerHarness.post;
import static frostreel.PoolerHarness.query;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** A process that was suspended by SIGSTOP while lists and requests arrived. */
class PausedProcessTest extends ClientScript {
    private static Path stat(Process program) {
        return Path.of("/proc/" + program.pid() + "/stat");
    }

    /** What comes first on its sockets is the request, then the list: the order that would mislead it. */
    @Test
    void aPausedProcessThatWakesKnowsWhatDiscoveryToldBeforeItSends() throws Exception {
        Process program = PoolerHarness.program(PoolerHarness.environment(PoolerHarness.configuration(
                stage.discovery.address(),
                host("a", primary, "primary", "Ready"),
                host("b", replica, "replica", "Ready"))));
        try (BufferedReader log = program.errorReader()) {
            stage.lists.add(list(1, false));
            String listening = PoolerHarness.await(log, ": listening on /127.0.0.1:");
            PoolerHarness.await(log, "ready");
            assertThat(stage.told.take()).isEqualTo("told");
            int port = Integer.parseInt(listening.replaceAll(".*127.0.0.1:(\\d+) .*", "$1"));
            try (PoolerHarness.Link c = new PoolerHarness.Link(new Socket("127.0.0.1", port))) {
                c.send(PoolerHarness.startup());
                c.takeAnswer();
                assertThat(value(c.ask(look("1", 9000)))).isEqualTo("from-replica");
                PoolerHarness.signal(program, "STOP");
                while (!Files.readString(stat(program)).contains(") T ")) {
                    Thread.onSpinWait();
                }
                long pausedAt = System.nanoTime();
                c.send(query(look("2", 9000)));
                stage.lists.add(list(2, false, host("b", replica, "replica", "Terminating")));
                assertThat(stage.told.take()).isEqualTo("told");
                PoolerHarness.pass(pausedAt, 300); // What a silence is.
                PoolerHarness.signal(program, "CONT");
                assertThat(value(c.takeAnswer())).isEqualTo("from-primary");
                assertThat(replica.heard).hasSize(1);
            }
        } finally {
            program.destroyForcibly().waitFor();
        }
    }

    /** What waited while the process did has no more time than its client: the time began at the sending. */
    @Test
    void theTimeThatARequestWaitedForAPausedProcessIsNotGivenTwice() throws Exception {
        long pausedMs = 600;
        Process program = PoolerHarness.program(PoolerHarness.environment(PoolerHarness.configuration(
                stage.discovery.address(),
                host("a", primary, "primary", "Ready"),
                host("b", replica, "replica", "Ready"))));
        try (BufferedReader log = program.errorReader()) {
            stage.lists.add(list(1, false));
            String listening = PoolerHarness.await(log, ": listening on /127.0.0.1:");
            PoolerHarness.await(log, "ready");
            int port = Integer.parseInt(listening.replaceAll(".*127.0.0.1:(\\d+) .*", "$1"));
            try (PoolerHarness.Link c = new PoolerHarness.Link(new Socket("127.0.0.1", port));
                    PoolerHarness.Link late = new PoolerHarness.Link(new Socket("127.0.0.1", port))) {
                c.send(PoolerHarness.startup());
                c.takeAnswer();
                PoolerHarness.signal(program, "STOP");
                while (!Files.readString(stat(program)).contains(") T ")) {
                    Thread.onSpinWait();
                }
                c.send(query(post("1", 9000)));
                late.send(PoolerHarness.startup(), query(post("2", 300)));
                PoolerHarness.pass(System.nanoTime(), pausedMs);
                PoolerHarness.signal(program, "CONT");
                assertThat(value(c.takeAnswer())).isEqualTo("from-primary");
                assertThat(Integer.parseInt(primary.next()
                                .replaceAll(".*,d=(\\d+),.*", "$1")
                                .replace("|", "")))
                        .isLessThanOrEqualTo((int) (9000 - pausedMs));
                late.takeAnswer();
                assertThat(late.takeAnswer()).singleElement().asString().contains("|C53300|");
                assertThat(primary.heard).isEmpty();
            }
        } finally {
            program.destroyForcibly().waitFor();
        }
    }
}
