package frostreel;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.operation.ServingLifecycle;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The steps of a graceful shutdown, with a manual clock and a fake workload. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ShutdownSequenceTest {
    /** Longer than the interval at which the sequence checks whether clients and requests have ended. */
    private static final long STEP_US = 50_000;

    private static final long LONGEST_DEADLINE_US = 3_000_000;
    /** How long a test waits for an end that must not come. */
    private static final long NOT_ENDED_MS = 100;

    private final FakeWorkload workload = new FakeWorkload();
    private ManualLoop manual;
    private volatile boolean leftCluster;

    /** A workload whose open clients and requests are set by the test. */
    private static final class FakeWorkload implements ShutdownSequence.Workload {
        private final CountDownLatch started = new CountDownLatch(1);
        private volatile int openClients;
        private volatile int openRequests;
        private volatile int owedResponses;
        private volatile int lifecycleApplied;

        @Override
        public void applyLifecycle() {
            lifecycleApplied++; // Written on the loop alone.
            started.countDown();
        }

        @Override
        public int openClients() {
            return openClients;
        }

        @Override
        public int openRequests() {
            return openRequests;
        }

        @Override
        public int owedResponses() {
            return owedResponses;
        }
    }

    @BeforeEach
    void setUp() throws Exception {
        manual = new ManualLoop();
    }

    @AfterEach
    void tearDown() throws Exception {
        manual.end();
    }

    private FutureTask<Boolean> shutDown(ServingLifecycle lifecycle) throws InterruptedException {
        ShutdownSequence sequence =
                new ShutdownSequence(manual.loop, lifecycle, workload, timeoutMs -> leftCluster = true);
        FutureTask<Boolean> result = new FutureTask<>(sequence::run);
        new Thread(result).start();
        workload.started.await();
        return result;
    }

    @Test
    void handsOverOnceClientsAndRequestsHaveEnded() throws Exception {
        workload.openClients = 1;
        workload.openRequests = 1;
        FutureTask<Boolean> result = shutDown(new ServingLifecycle(true, LONGEST_DEADLINE_US));
        workload.openClients = 0;
        manual.advance(STEP_US);
        assertThat(result.isDone()).as("a request is open").isFalse();
        assertThat(leftCluster).isFalse();

        workload.openRequests = 0;
        manual.advance(STEP_US);

        assertThat(result.get()).isTrue();
        assertThat(leftCluster).isTrue();
    }

    @Test
    void runsForTheGracePeriodWithoutSuccessor() throws Exception {
        FutureTask<Boolean> result = shutDown(new ServingLifecycle(false, LONGEST_DEADLINE_US));
        manual.advance(ServingLifecycle.SHUTDOWN_GRACE_US - 1);
        assertThat(result.isDone()).isFalse();

        manual.advance(STEP_US);

        assertThat(result.get()).isTrue();
    }

    @Test
    void appliesTheLifecycleWheneverConnectionsHaveToClose() throws Exception {
        workload.openClients = 1;
        ServingLifecycle lifecycle = new ServingLifecycle(true, LONGEST_DEADLINE_US);
        FutureTask<Boolean> result = shutDown(lifecycle);
        manual.run(() -> {});
        assertThat(workload.lifecycleApplied).as("at SIGTERM").isEqualTo(1);

        manual.advanceTo(lifecycle.closeIdleAtUs());
        assertThat(workload.lifecycleApplied).as("when idle connections close").isEqualTo(2);

        manual.advanceTo(lifecycle.lastResponseUs());
        assertThat(workload.lifecycleApplied).as("when all connections close").isEqualTo(3);

        workload.openClients = 0;
        manual.advance(STEP_US);
        assertThat(result.get()).isTrue();
    }

    @Test
    void leavesTheClusterAfterTheTimeoutIfClientsNeverDisconnect() throws Exception {
        workload.openClients = 1;
        ServingLifecycle lifecycle = new ServingLifecycle(true, LONGEST_DEADLINE_US);
        FutureTask<Boolean> result = shutDown(lifecycle);
        manual.advance(lifecycle.shutdownTimeoutUs() - 1);
        assertThat(result.isDone()).isFalse();

        manual.advance(STEP_US);

        assertThat(result.get()).isFalse();
        assertThat(leftCluster).isTrue();
    }

    /** Guards against a process that exits by the deadlines of new settings while a request of earlier ones is open. */
    @Test
    void waitsForRequestsOfEarlierSettingsWithLongerDeadlines() throws Exception {
        workload.openClients = 1;
        workload.openRequests = 1;
        ServingLifecycle lifecycle = new ServingLifecycle(false, LONGEST_DEADLINE_US);
        lifecycle.setLongestDeadlineUs(LONGEST_DEADLINE_US / 3);
        FutureTask<Boolean> result = shutDown(lifecycle);

        manual.advance(lifecycle.shutdownTimeoutUs() + STEP_US);
        manual.advance(LONGEST_DEADLINE_US);
        assertThat(ended(result)).isFalse();

        workload.openClients = 0;
        workload.openRequests = 0;
        manual.advance(STEP_US);
        assertThat(result.get()).isTrue();
    }

    /** Guards against a process that cuts off the response that a server is still sending, or a client reading. */
    @Test
    void waitsForResponsesThatAreStillBeingSent() throws Exception {
        workload.openClients = 1;
        workload.owedResponses = 1;
        ServingLifecycle lifecycle = new ServingLifecycle(false, LONGEST_DEADLINE_US);
        FutureTask<Boolean> result = shutDown(lifecycle);

        manual.advance(lifecycle.shutdownTimeoutUs() + STEP_US);
        manual.advance(LONGEST_DEADLINE_US);
        assertThat(ended(result)).isFalse();

        workload.owedResponses = 0;
        manual.advance(STEP_US);
        assertThat(result.get()).as("a client is still connected").isFalse();
    }

    /** Guards against idle clients that are closed too late, or never, as their closing times have changed. */
    @Test
    void closesConnectionsByTheTimesOfSettingsThatComeAfterSigterm() throws Exception {
        workload.openClients = 1;
        ServingLifecycle lifecycle = new ServingLifecycle(false, LONGEST_DEADLINE_US);
        shutDown(lifecycle);
        long earlierUs = lifecycle.lastResponseUs();
        manual.run(() -> lifecycle.setLongestDeadlineUs(LONGEST_DEADLINE_US / 3));
        assertThat(lifecycle.lastResponseUs()).isLessThan(earlierUs);

        manual.advance(STEP_US); // The poll finds the new times.
        assertThat(workload.lifecycleApplied).as("at SIGTERM").isEqualTo(1);
        manual.advanceTo(lifecycle.lastResponseUs());

        assertThat(workload.lifecycleApplied)
                .as("also when idle connections close, and when all do")
                .isEqualTo(3);
    }

    /** Whether the shutdown has ended; gives the waiting thread the time that it needs to return if it has. */
    private boolean ended(FutureTask<Boolean> result) throws Exception {
        try {
            result.get(NOT_ENDED_MS, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        }
    }
}
