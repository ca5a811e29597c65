package frostreel;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.config.Config;
import frostreel.config.EndpointList;
import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The wait for the first list without a discovery agent; {@link DiscoveryTest} covers the agent's reports. */
class EndpointSourceTest {
    private static final long CONFIGURED_LIST_WAIT_US = EndpointSource.CONFIGURED_LIST_WAIT_US;
    private static final String SERVER = "{\"host\":\"a\",\"dial\":\"127.0.0.1:1\",\"site\":\"dc\",\"class\":\"m\","
            + "\"block\":2,\"health\":\"Ready\",\"share\":1.0,\"born_ms\":0,\"role\":\"primary\"}";

    private record Received(EndpointList list, Router.ListKind kind) {}

    private final List<Received> received = new ArrayList<>();
    private ManualLoop manual;
    private boolean serversKnown;

    @BeforeEach
    void setUp() throws Exception {
        manual = new ManualLoop();
    }

    @AfterEach
    void tearDown() throws Exception {
        manual.end();
    }

    private EndpointSource source(String... configuredServers) throws Exception {
        Config config = Config.parse(PoolerHarness.configuration("127.0.0.1:1", configuredServers), Map.of());
        return new EndpointSource(
                manual.loop,
                config,
                CONFIGURED_LIST_WAIT_US,
                (list, kind) -> received.add(new Received(list, kind)),
                () -> serversKnown = true);
    }

    @Test
    void deliversTheConfiguredListOnceAsCached() throws Exception {
        EndpointSource source = source(SERVER);

        source.applyConfigured();
        source.applyConfigured();

        assertThat(received).singleElement().satisfies(only -> {
            assertThat(only.kind()).isEqualTo(Router.ListKind.CACHED);
            assertThat(only.list().endpoints()).hasSize(1);
        });
    }

    @Test
    void waitsTwoSecondsForTheFirstListIfNoneIsConfigured() throws Exception {
        manual.run(source()::limitWaitForFirstList);
        manual.advance(EndpointSource.FIRST_LIST_WAIT_US - 1);
        assertThat(serversKnown).isFalse();

        manual.advance(1);

        assertThat(serversKnown).isTrue();
    }

    @Test
    void waitsLongerWithConfiguredListWhileDiscoveryIsUnreachable() throws Exception {
        manual.run(source(SERVER)::limitWaitForFirstList);
        manual.advance(EndpointSource.UNREACHABLE_WAIT_FACTOR * CONFIGURED_LIST_WAIT_US - 1);
        assertThat(serversKnown).isFalse();

        manual.advance(1);

        assertThat(serversKnown).isTrue();
    }

    @Test
    void showsThatNoOtherDiscoveryAgentIsAwaited() throws Exception {
        assertThat(source()).asString().endsWith(" next_discovery=none");
    }
}
