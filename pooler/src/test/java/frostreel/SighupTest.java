package frostreel;

import static frostreel.PoolerHarness.list;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;

/** Configuration reload by SIGHUP, in a process of its own. */
class SighupTest extends ClientScript {
    @Test
    void aHangupTakesTheNewDiscoveryAndNeverEndsTheProgram() throws Exception {
        BlockingQueue<String> lists = new LinkedBlockingQueue<>();
        PoolerHarness.Peer next = stage.discovery(lists);
        Map<String, String> environment =
                new HashMap<>(PoolerHarness.environment(PoolerHarness.configuration(stage.discovery.address())));
        Path file = Path.of(environment.get("GW_CONFIG"));
        environment.put("GW_DISCOVERY", stage.discovery.address()); // As old as the start: the file must win.
        Process program = PoolerHarness.program(environment);
        try (BufferedReader log = program.errorReader()) {
            stage.lists.add(list(7, true));
            PoolerHarness.await(log, "ready");
            Files.writeString(file, PoolerHarness.configuration(next.address()).replace("\"n0\"", "7"));
            PoolerHarness.hangUp(program);
            PoolerHarness.await(log, "field 'name' is not text; the configuration in force is kept");
            Files.writeString(file, PoolerHarness.configuration(next.address()));
            PoolerHarness.hangUp(program);
            assertThat(next.next()).startsWith("GET /discovery/hosts HTTP"); // The whole list.
            lists.add(list(3, true));
            assertThat(next.next()).contains("index=3&");
            stage.lists.add(list(8, true)); // To a watch that went on, it would bring its next call.
            stage.discovery.ended.take(); // The old watch has really ended.
            PoolerHarness.hangUp(program);
            program.toHandle().destroy(); // Its streams stay open.
            PoolerHarness.hangUp(program);
            PoolerHarness.await(log, "stopping");
            assertThat(program.waitFor()).isEqualTo(143); // By SIGTERM, after its end in order.
        } finally {
            program.destroyForcibly();
        }
    }

    @Test
    void aStartWithHangupsIgnoredIsToldOf() throws Exception {
        Map<String, String> environment = PoolerHarness.environment(PoolerHarness.configuration(stage.discovery.address()));
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh",
                "-c",
                "trap '' HUP; exec \"$@\"",
                "sh",
                ProcessHandle.current().info().command().orElseThrow(),
                "-cp",
                System.getProperty("java.class.path"),
                "frostreel.cli.Main",
                "serve");
        builder.environment().putAll(environment);
        Process program = builder.start();
        try (BufferedReader log = program.errorReader()) {
            PoolerHarness.await(log, "SIGHUP was ignored at the start");
        } finally {
            program.destroyForcibly();
        }
    }

    @Test
    void aHangupTakesNewSettingsAndAFaultyFileNeverReplacesThem() throws Exception {
        Path settings = Files.createTempFile("settings", ".xml");
        String good = "<frostreel xmlns=\"urn:frostreel:settings:1\"><log format=\"json\"/></frostreel>";
        Files.writeString(settings, good);
        Process program = PoolerHarness.program(
                PoolerHarness.environment(PoolerHarness.configuration(stage.discovery.address())), "--settings", settings.toString());
        try (BufferedReader log = program.errorReader()) {
            stage.lists.add(list(7, true));
            PoolerHarness.await(log, "\"message\":\"ready\"");
            Files.writeString(settings, good.replace("json", "xml"));
            PoolerHarness.hangUp(program);
            PoolerHarness.await(log, "frostreel/log@format"); // Told in JSON still.
            Files.writeString(settings, good.replace("json", "text"));
            PoolerHarness.hangUp(program);
            PoolerHarness.await(log, "INFO frostreel.cli.Serve: the settings of");
        } finally {
            program.destroyForcibly();
        }
        Files.delete(settings);
    }
}
