package frostreel;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.backend.ServerPool;
import frostreel.config.Config;
import frostreel.config.EndpointList;
import frostreel.net.EventLoop;
import frostreel.request.BackEnd;
import frostreel.request.BackEnd.Result;
import frostreel.request.FixedPayload;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Attempts that wait for a connection while the question whether they may begin leads to other events, as it reads the
 * client's socket and unread changes of the endpoint list.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class WaitingAttemptsTest {
    private static final long ATTEMPT_TIMEOUT_US = TimeUnit.SECONDS.toMicros(PoolerHarness.TIMEOUT_S);
    private static final long NO_HANDLE = -1;

    /** What happens while the pool asks whether an attempt may begin. */
    enum Event {
        NONE,
        UNRELATED_CHANGE_OF_THE_LIST,
        SERVER_DRAINS,
        ATTEMPT_IS_ABANDONED,
        ANOTHER_ATTEMPT_STARTS
    }

    private final BlockingQueue<WireConnection> handshakes = new LinkedBlockingQueue<>();
    private PoolerHarness harness;
    private EventLoop loop;
    private ScriptedPeer server;
    private ServerPool pool;
    private List<EndpointList.Endpoint> endpoints;

    @BeforeEach
    void setUp() throws Exception {
        harness = new PoolerHarness();
        loop = new EventLoop();
        server = harness.server(PoolerHarness.rows("served", "primary"));
        server.handshake = (text, link) -> handshakes.add(link);
        Config config = Config.load(PoolerHarness.environment(PoolerHarness.configuration(
                harness.discovery.address(), PoolerHarness.host("a", server, "primary", "Ready"))));
        endpoints = config.initialEndpoints().endpoints();
        pool = new ServerPool(loop, config.settings(), config.maxServerConnections());
        pool.updateEndpoints(endpoints, true);
    }

    @AfterEach
    void tearDown() throws Exception {
        loop.shutDown();
        harness.close();
    }

    /** Records the one result of an attempt, and lets an event happen when the attempt is about to begin. */
    private final class Recorder implements BackEnd.AttemptListener {
        private final String name;
        private final Runnable beforeBegin;
        private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();
        private volatile long handle = NO_HANDLE;

        Recorder(String name, Runnable beforeBegin) {
            this.name = name;
            this.beforeBegin = beforeBegin;
        }

        void start() {
            handle = pool.start("a", new FixedPayload(TestMessages.query(name)), ATTEMPT_TIMEOUT_US, this);
        }

        @Override
        public boolean mayBegin() {
            beforeBegin.run();
            return true;
        }

        @Override
        public void ended(Result result) {
            results.add(result);
        }

        Outcome outcome() throws InterruptedException {
            return results.poll(PoolerHarness.TIMEOUT_S, TimeUnit.SECONDS).outcome();
        }
    }

    private void onLoop(Runnable task) throws Exception {
        CompletableFuture.runAsync(task, loop.thread()).get();
    }

    private void happen(Event event, Recorder waiting, Recorder other) {
        switch (event) {
            case UNRELATED_CHANGE_OF_THE_LIST -> {
                pool.updateEndpoints(endpoints, false);
                pool.closeUnusableConnections();
            }
            case SERVER_DRAINS -> {
                pool.updateState("a", Router.State.DRAINING);
                pool.closeUnusableConnections();
            }
            case ATTEMPT_IS_ABANDONED -> pool.abandon(waiting.handle);
            case ANOTHER_ATTEMPT_STARTS -> other.start();
            default -> {}
        }
    }

    /**
     * Guards against writes that run twice: an attempt that was ended as not sent while the pool asked whether it may
     * begin was written all the same, beside the attempt that replaced it.
     */
    @ParameterizedTest
    @EnumSource
    void anAttemptIsWrittenOnceOrEndsAsNotSent(Event event) throws Exception {
        Recorder[] waiting = new Recorder[1];
        Recorder other = new Recorder("other", () -> {});
        waiting[0] = new Recorder("waiting", () -> happen(event, waiting[0], other));
        onLoop(waiting[0]::start);

        handshakes.take().completeHandshake();

        boolean ends = event == Event.SERVER_DRAINS || event == Event.ATTEMPT_IS_ABANDONED;
        if (event == Event.SERVER_DRAINS) {
            assertThat(waiting[0].outcome()).isEqualTo(Outcome.NOT_SENT);
        } else if (event != Event.ATTEMPT_IS_ABANDONED) {
            assertThat(waiting[0].outcome()).isEqualTo(Outcome.OK);
        }
        assertThat(requestsUpToTheLast()).filteredOn("Qwaiting|"::equals).hasSize(ends ? 0 : 1);
        assertThat(waiting[0].results).as("further results").isEmpty();
    }

    /** Runs a last attempt, and returns all requests that the server received up to it. */
    private List<String> requestsUpToTheLast() throws Exception {
        Recorder last = new Recorder("last", () -> {});
        onLoop(() -> {
            pool.updateState("a", Router.State.UP);
            last.start();
        });
        server.handshake = (text, link) -> link.completeHandshake();
        for (WireConnection link = handshakes.poll(); link != null; link = handshakes.poll()) {
            link.completeHandshake();
        }
        assertThat(last.outcome()).isEqualTo(Outcome.OK);
        return List.copyOf(server.received);
    }

    /** Guards against a connection that stays unused, or is used by two, when the attempt before it ends others. */
    @Test
    void everyWaitingAttemptHasOneResultWhenTheFirstEndsTheSecond() throws Exception {
        Recorder second = new Recorder("second", () -> {});
        Recorder third = new Recorder("third", () -> {});
        Recorder first = new Recorder("first", () -> pool.abandon(second.handle));
        onLoop(() -> {
            first.start();
            second.start();
            third.start();
        });
        for (int i = 0; i < 3; i++) {
            handshakes.take().completeHandshake();
        }

        assertThat(first.outcome()).isEqualTo(Outcome.OK);
        assertThat(third.outcome()).isEqualTo(Outcome.OK);
        assertThat(requestsUpToTheLast()).containsOnlyOnce("Qfirst|", "Qthird|").doesNotContain("Qsecond|");
        assertThat(second.results).isEmpty();
    }
}
