package frostreel.zones;

import frostreel.routing.Limits;
import frostreel.routing.Router;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the cost of zone failover for a read with three candidate members, and for recording one attempt. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(2)
public class LocalityPolicyBenchmark {
    private static final int GROUPS = 100;
    private static final int ZONES = 3;
    private static final double WORK_US = 40_000;

    private final int[] handles = new int[ZONES * GROUPS];
    private ZoneFailoverPolicy policy;
    private long nowUs = 1_000_000_000;
    private int group;

    /** Sets up 100 groups in three zones, the nearest of which is down. */
    @Setup
    public void takeNearestZoneDown() {
        policy = new ZoneFailoverPolicy(settings(), zones(), 0.5);
        for (int i = 0; i < handles.length; i++) {
            handles[i] = policy.onMemberAdded(i / ZONES, i % ZONES);
            policy.onAttemptEnded(nowUs, handles[i], Router.Outcome.OK, WORK_US);
        }
        for (int i = 0; i < 5 * handles.length; i += ZONES) {
            nowUs += 100_000;
            policy.onAttemptEnded(nowUs, handles[i % handles.length], Router.Outcome.TIMEOUT, WORK_US);
        }
    }

    private static Router.Settings settings() {
        Router.RequestClass read = new Router.RequestClass(
                "read",
                Router.Access.ANY,
                Router.Idempotency.IDEMPOTENT,
                Router.DeduplicationScope.GROUP,
                0,
                0,
                200_000,
                1_000_000,
                1,
                0);
        return new Router.Settings(
                1,
                0,
                0,
                1000,
                List.of(read, read),
                Router.StalenessCheck.REFUSE,
                Router.ListRole.LATE,
                Router.SessionTracking.CARRIED,
                true,
                Limits.builder()
                        .maxAttempts(10)
                        .healthChecks(Router.HealthChecks.REPORT)
                        .cancel(true)
                        .retryAfterAllowed(true)
                        .maxRetryAfterUs(1)
                        .connectTimeoutUs(250_000)
                        .staleReadWaitUs(50_000)
                        .idleTimeoutUs(30_000_000)
                        .build(),
                new Router.Rules(20_000, 1_000_000, false, 0.2, 15_000_000, 3, 2_000_000));
    }

    private static ZoneSettings zones() {
        ZoneSettings.Tier next = new ZoneSettings.Tier(List.of(1), 0.5);
        ZoneSettings.Tier others = new ZoneSettings.Tier(List.of(), 0.5);
        return new ZoneSettings(0, List.of(next, others), 10);
    }

    /** Queries cost factor and admission for the three candidate members of a read. */
    @Benchmark
    public double chooseAmongThree() {
        advance();
        double sum = 0;
        for (int zone = 0; zone < ZONES; zone++) {
            int handle = handles[ZONES * group + zone];
            double costFactor = policy.costFactor(nowUs, handle);
            sum += costFactor < Double.POSITIVE_INFINITY && policy.admits(nowUs, handle, 1) ? costFactor : 0;
        }
        return sum;
    }

    /** Records the start and the end of one attempt. */
    @Benchmark
    public void recordAttempt() {
        advance();
        int handle = handles[ZONES * group + 1];
        policy.onAttemptSent(nowUs, handle, 1, WORK_US);
        policy.onAttemptEnded(nowUs, handle, Router.Outcome.OK, WORK_US);
    }

    private void advance() {
        group = group == GROUPS - 1 ? 0 : group + 1;
        nowUs += 10;
    }
}
