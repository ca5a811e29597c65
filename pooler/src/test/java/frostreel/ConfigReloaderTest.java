package frostreel;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.backend.ServerPool;
import frostreel.broker.Broker;
import frostreel.config.Config;
import frostreel.config.SupersededSettings;
import frostreel.operation.RequestClassRegistry;
import frostreel.operation.ServingLifecycle;
import frostreel.routing.Router;
import frostreel.settings.OperatorSettings;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When each part of a reloaded configuration takes effect, with a manual clock. */
class ConfigReloaderTest {
    private static final String CONFIGURATION = PoolerHarness.configuration("127.0.0.1:1");
    private static final String FOUR_ATTEMPTS = "\"maxAttempts\":4";
    private static final long HALF_TRANSITION_US = RequestClassRegistry.TRANSITION_US / 2;

    /** The settings that the router received, in order. */
    private final List<Router.Settings> applied = new ArrayList<>();

    /** The settings that the latest reload left to a successor. */
    private final AtomicReference<List<SupersededSettings>> leftToSuccessors = new AtomicReference<>();

    private ManualLoop manual;
    private ServingLifecycle lifecycle;
    private RequestClassRegistry classes;
    private ConfigReloader reloader;

    @BeforeEach
    void setUp() throws Exception {
        manual = new ManualLoop();
        Config config = Config.parse(CONFIGURATION, Map.of());
        Router.Settings settings = config.settings();
        ServerPool pool = new ServerPool(manual.loop, settings, config.maxServerConnections());
        Broker broker = new Broker(
                manual.loop.clock(),
                manual.loop.deadlines(),
                manual.loop.counters(),
                pool,
                settings,
                config.maxOpenRequests(),
                (initial, actions) -> recordingRouter());
        classes = new RequestClassRegistry(settings.classes());
        lifecycle = new ServingLifecycle(false, ConfigReloader.longestDeadlineUs(settings));
        EndpointSource endpoints = new EndpointSource(manual.loop, config, 0, (list, kind) -> {}, () -> {});
        reloader = new ConfigReloader(
                manual.loop,
                pool,
                broker,
                lifecycle,
                classes,
                endpoints,
                null,
                leftToSuccessors::set,
                config,
                OperatorSettings.DEFAULT);
    }

    @AfterEach
    void tearDown() throws Exception {
        manual.end();
    }

    /** Returns a router that only records its settings. */
    private Router recordingRouter() {
        return (Router) Proxy.newProxyInstance(
                Router.class.getClassLoader(), new Class<?>[] {Router.class}, (proxy, method, arguments) -> {
                    assertThat(method.getName()).isEqualTo("onSettings");
                    applied.add((Router.Settings) arguments[0]);
                    return null;
                });
    }

    private void reload(String configuration) throws Exception {
        reloader.reload(Config.parse(configuration, Map.of()));
        manual.run(() -> {}); // The reload is queued on the loop before this.
    }

    private void reloadWithMaxAttempts(int maxAttempts) throws Exception {
        reload(CONFIGURATION.replace(FOUR_ATTEMPTS, "\"maxAttempts\":" + maxAttempts));
    }

    private Router.Settings inForce() {
        return applied.get(applied.size() - 1);
    }

    private int maxAttempts() {
        return inForce().limits().maxAttempts();
    }

    @Test
    void appliesLowerLimitOnAttemptsAtOnce() throws Exception {
        reloadWithMaxAttempts(2);

        assertThat(maxAttempts()).isEqualTo(2);
    }

    @Test
    void appliesHigherLimitOnAttemptsAfterTheTransition() throws Exception {
        reloadWithMaxAttempts(6);
        manual.advance(RequestClassRegistry.TRANSITION_US - 1);
        assertThat(maxAttempts()).isEqualTo(4);

        manual.advance(1);

        assertThat(maxAttempts()).isEqualTo(6);
    }

    @Test
    void newReloadReplacesTheEndOfAnEarlierTransition() throws Exception {
        reloadWithMaxAttempts(6);
        manual.advance(HALF_TRANSITION_US);
        reloadWithMaxAttempts(5);

        manual.advance(HALF_TRANSITION_US);
        assertThat(maxAttempts())
                .as("when the first transition would have ended")
                .isEqualTo(4);

        manual.advance(HALF_TRANSITION_US);
        assertThat(maxAttempts()).as("after the second transition").isEqualTo(5);
    }

    /** Guards against looser rules for clients of the first configuration, as both reloads run in one turn. */
    @Test
    void keepsTheStrictestClassOfTwoReloadsWhileTheLoopIsHeldUp() throws Exception {
        String fragile = CONFIGURATION.replace("\"repeat\":\"dedup\"", "\"repeat\":\"fragile\"");
        reload(fragile);
        manual.advance(RequestClassRegistry.TRANSITION_US);
        CountDownLatch release = new CountDownLatch(1);
        manual.loop.thread().execute(() -> awaitUninterruptibly(release));
        reloader.reload(Config.parse(CONFIGURATION, Map.of()));
        reloader.reload(Config.parse(CONFIGURATION.replace("\"deadlineS\":10", "\"deadlineS\":7"), Map.of()));
        release.countDown();
        manual.run(() -> {}); // Both reloads are queued on the loop before this.

        manual.advance(RequestClassRegistry.TRANSITION_US - 1);
        assertThat(idempotencyOfKeyedWrite()).isEqualTo(Router.Idempotency.NON_IDEMPOTENT);

        manual.advance(1);
        assertThat(idempotencyOfKeyedWrite()).isEqualTo(Router.Idempotency.KEYED);
    }

    @Test
    void leavesTheSettingsThatClientsMayStillFollowToASuccessor() throws Exception {
        reloadWithMaxAttempts(3);
        manual.advance(HALF_TRANSITION_US);
        reloadWithMaxAttempts(2);
        assertThat(leftToSuccessors.get())
                .extracting(left -> left.settings().limits().maxAttempts())
                .containsExactly(4, 3);

        manual.advance(HALF_TRANSITION_US);
        reloadWithMaxAttempts(5);

        assertThat(leftToSuccessors.get())
                .extracting(left -> left.settings().limits().maxAttempts())
                .containsExactly(3, 2);
    }

    /** Guards against looser rules for clients of an upgraded process that was reloaded shortly before. */
    @Test
    void continuesTheTransitionOfAnEarlierProcess() throws Exception {
        Config earlier = Config.parse(
                CONFIGURATION
                        .replace("\"repeat\":\"dedup\"", "\"repeat\":\"fragile\"")
                        .replace(FOUR_ATTEMPTS, "\"maxAttempts\":2"),
                Map.of());
        long supersededAtUs = manual.loop.clock().now();
        manual.advance(HALF_TRANSITION_US);

        manual.run(() -> reloader.resumeTransition(List.of(SupersededSettings.of(earlier, supersededAtUs))));

        assertThat(idempotencyOfKeyedWrite()).isEqualTo(Router.Idempotency.NON_IDEMPOTENT);
        assertThat(inForce().classes()).hasSameSizeAs(classes.all());
        assertThat(maxAttempts()).isEqualTo(2);
        manual.advance(HALF_TRANSITION_US);
        assertThat(idempotencyOfKeyedWrite()).isEqualTo(Router.Idempotency.KEYED);
        assertThat(maxAttempts()).isEqualTo(4);
    }

    @Test
    void ignoresSettingsThatNoClientFollowsAnyMore() throws Exception {
        Config config = Config.parse(CONFIGURATION, Map.of());
        long nowUs = manual.loop.clock().now();
        List<SupersededSettings> earlier = List.of(
                SupersededSettings.of(config, nowUs - RequestClassRegistry.TRANSITION_US),
                SupersededSettings.of(config, nowUs + 1)); // The time of a damaged file.

        manual.run(() -> reloader.resumeTransition(earlier));

        assertThat(applied).isEmpty();
    }

    private Router.Idempotency idempotencyOfKeyedWrite() throws Exception {
        int[] number = new int[1];
        manual.run(() -> number[0] = classes.classNumber(manual.loop.clock().now(), "post", true, true));
        return classes.all().get(number[0]).idempotency();
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void keepsDroppedClassesForRequestsInFlight() throws Exception {
        reload(CONFIGURATION.replace("\"name\":\"post\"", "\"name\":\"pay\""));

        assertThat(inForce().classes()).extracting(Router.RequestClass::name).containsExactly("look", "post", "pay");
    }

    @Test
    void appliesTheLongestDeadlineOfTheNewClassesToTheShutdown() throws Exception {
        long beforeUs = lifecycle.shutdownTimeoutUs();

        reload(CONFIGURATION.replace("\"deadlineS\":10", "\"deadlineS\":7"));

        assertThat(beforeUs - lifecycle.shutdownTimeoutUs()).isEqualTo(3_000_000);
    }

    @Test
    void longestDeadlineIsZeroWithoutClasses() throws Exception {
        Router.Settings settings = Config.parse(CONFIGURATION, Map.of()).settings();

        assertThat(ConfigReloader.longestDeadlineUs(settings.with(List.of(), 1)))
                .isZero();
    }
}
