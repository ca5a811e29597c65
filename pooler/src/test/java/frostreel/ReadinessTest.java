package frostreel;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.ReadinessStatus;
import frostreel.operation.ServingLifecycle;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The prerequisites of serving, reported in any order. */
class ReadinessTest {
    private static final long LONGEST_DEADLINE_US = 3_000_000;

    private final List<String> events = new ArrayList<>();
    private ServingLifecycle lifecycle;
    private Readiness readiness;

    private void createReadiness(boolean hasSuccessor) {
        lifecycle = new ServingLifecycle(hasSuccessor, LONGEST_DEADLINE_US);
        readiness = new Readiness(lifecycle, () -> events.add("admits clients: " + lifecycle.status()));
        readiness.beforeServing(() -> events.add("before serving: " + lifecycle.status()));
    }

    private void report(String prerequisite) {
        switch (prerequisite) {
            case "servers" -> readiness.serversKnown();
            case "commands" -> readiness.commandsRestored();
            case "sockets" -> readiness.socketsOpen();
            default -> throw new IllegalArgumentException(prerequisite);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "servers,commands,sockets",
        "servers,sockets,commands",
        "commands,servers,sockets",
        "commands,sockets,servers",
        "sockets,servers,commands",
        "sockets,commands,servers"
    })
    void servesOnceAllPrerequisitesAreReported(String first, String second, String third) {
        createReadiness(false);
        report(first);
        report(second);
        assertThat(events).isEmpty();
        assertThat(lifecycle.status()).isEqualTo(ReadinessStatus.STARTING);

        report(third);

        assertThat(events).containsExactly("before serving: STARTING", "admits clients: READY");
    }

    @Test
    void beginsToServeOnlyOnce() {
        createReadiness(false);
        List.of("servers", "commands", "sockets", "servers").forEach(this::report);

        assertThat(events).hasSize(2);
    }

    @Test
    void showsTheFirstMissingPrerequisite() {
        createReadiness(false);
        assertThat(readiness.missing()).isEqualTo("servers");
        report("commands");
        assertThat(readiness.missing()).isEqualTo("servers");
        report("servers");
        assertThat(readiness.missing()).isEqualTo("sockets");
        report("sockets");
        assertThat(readiness.missing()).isEqualTo("nothing");
    }

    @Test
    void showsMissingCommandsBeforeMissingSockets() {
        createReadiness(false);
        report("servers");

        assertThat(readiness.missing()).isEqualTo("orders");
    }

    @Test
    void doesNotServeOnceASuccessorTookOver() {
        createReadiness(true);
        lifecycle.terminate(0);

        List.of("servers", "commands", "sockets").forEach(this::report);

        assertThat(events).isEmpty();
        assertThat(lifecycle.status()).isEqualTo(ReadinessStatus.STOPPING);
    }
}
