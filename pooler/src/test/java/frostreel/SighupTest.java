package frostreel;

import static frostreel.PoolerHarness.list;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;

/** Configuration reload by SIGHUP, in a separate process. */
class SighupTest extends AbstractPoolerTest {
    @Test
    void sighupSwitchesDiscoveryAndNeverEndsTheProcess() throws Exception {
        BlockingQueue<String> newLists = new LinkedBlockingQueue<>();
        ScriptedPeer newDiscovery = harness.discovery(newLists);
        Map<String, String> environment =
                new HashMap<>(PoolerHarness.environment(PoolerHarness.configuration(harness.discovery.address())));
        Path file = Path.of(environment.get("GW_CONFIG"));
        environment.put("GW_DISCOVERY", harness.discovery.address()); // The file takes precedence.
        try (ServeProcess process = ServeProcess.start(environment)) {
            harness.lists.add(list(7, true));
            process.awaitReady();

            Files.writeString(
                    file, PoolerHarness.configuration(newDiscovery.address()).replace("\"n0\"", "7"));
            process.signal("HUP");
            process.awaitLog("field 'name' is not text; the configuration in force is kept");

            Files.writeString(file, PoolerHarness.configuration(newDiscovery.address()));
            process.signal("HUP");
            assertThat(newDiscovery.next()).startsWith("GET /discovery/hosts HTTP"); // The complete list.
            newLists.add(list(3, true));
            assertThat(newDiscovery.next()).contains("index=3&");
            harness.lists.add(list(8, true)); // If the previous watch were still active, it would poll again.
            harness.discovery.closedConnections.take(); // The previous watch has stopped.

            process.signal("HUP");
            process.signal("TERM");
            process.signal("HUP");
            process.awaitLog("stopping");
            assertThat(process.awaitExit()).isEqualTo(ServeProcess.EXIT_BY_SIGTERM);
        }
    }

    @Test
    void warnsWhenStartedWithSighupIgnored() throws Exception {
        Map<String, String> environment =
                PoolerHarness.environment(PoolerHarness.configuration(harness.discovery.address()));
        try (ServeProcess process = ServeProcess.startWithSighupIgnored(environment)) {
            process.awaitLog("SIGHUP was ignored at the start");
        }
    }

    @Test
    void sighupAppliesNewSettingsAndRejectsInvalidFile() throws Exception {
        Path settings = Files.createTempFile("settings", ".xml");
        String valid = "<frostreel xmlns=\"urn:frostreel:settings:1\"><log format=\"json\"/></frostreel>";
        Files.writeString(settings, valid);
        Map<String, String> environment =
                PoolerHarness.environment(PoolerHarness.configuration(harness.discovery.address()));
        try (ServeProcess process = ServeProcess.start(environment, "--settings", settings.toString())) {
            harness.lists.add(list(7, true));
            process.awaitLog("\"message\":\"ready\"");

            Files.writeString(settings, valid.replace("json", "xml"));
            process.signal("HUP");
            process.awaitLog("frostreel/log@format");

            Files.writeString(settings, valid.replace("json", "text"));
            process.signal("HUP");
            process.awaitLog("INFO frostreel.cli.Serve: settings reloaded from");
        }
        Files.delete(settings);
    }
}
