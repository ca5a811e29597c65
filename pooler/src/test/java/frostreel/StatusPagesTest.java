package frostreel;

import static frostreel.TestMessages.query;
import static frostreel.TestMessages.readSql;
import static org.assertj.core.api.Assertions.assertThat;

import frostreel.config.Config;
import frostreel.log.Logging;
import frostreel.settings.OperatorSettings;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import org.junit.jupiter.api.Test;

/** The {@code SHOW} pages of a serving pooler. */
class StatusPagesTest extends AbstractPoolerTest {
    private static final int UNREAD_BYTES = 100_000;

    @Test
    void showStatsReturnsTheCounters() throws Exception {
        start();
        try (WireConnection client = harness.client()) {
            client.execute(readSql("1", 9000));
            assertThat(value(client.execute("SHOW stats")))
                    .contains(" requests=1 ")
                    .contains(" served=1 ")
                    .contains("outcomes={OK=1}");
        }
    }

    @Test
    void showHealthReportsTheMemoryOfUnreadInput() throws Exception {
        withholdResponses();
        start();
        try (WireConnection waiting = harness.client();
                WireConnection observer = harness.client()) {
            waiting.send(query(readSql("1", 9000)), new byte[UNREAD_BYTES]);
            while (healthValue(observer, "buffered_bytes") < UNREAD_BYTES) {
                Thread.onSpinWait(); // Until the input behind the request in progress has been read.
            }
            assertThat(healthValue(observer, "buffered_peak_bytes")).isGreaterThanOrEqualTo(UNREAD_BYTES);
        }
    }

    private static long healthValue(WireConnection client, String key) throws IOException {
        return Long.parseLong(value(client.execute("SHOW health")).replaceAll(".* " + key + "=(\\d+).*", "$1"));
    }

    @Test
    void readsFollowZoneTiersAndShowZonesReportsThem() throws Exception {
        harness.operatorSettings = new OperatorSettings(
                Logging.Format.TEXT,
                Level.INFO,
                Optional.of(new OperatorSettings.Zones(List.of(new OperatorSettings.Tier(List.of(), 1)), 2)),
                Optional.empty());
        start();
        try (WireConnection client = harness.client()) {
            assertThat(value(client.execute(readSql("1", 9000)))).isEqualTo("from-replica");
            assertThat(value(client.execute("SHOW zones")))
                    .contains("sent_by_tier=[1, 0]")
                    .contains("replicas={0={UP=1}}");
            harness.pooler.reload(
                    Config.load(PoolerHarness.environment(PoolerHarness.configuration(harness.discovery.address()))),
                    harness.operatorSettings);
            while (!value(client.execute("SHOW zones")).contains("sent_by_tier=[0, 0]")) {
                Thread.onSpinWait(); // The reload is queued on the I/O thread.
            }
        }
    }
}
