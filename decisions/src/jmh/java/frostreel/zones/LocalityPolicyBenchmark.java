package frostreel.zones;

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
import frostreel.routing.Router;

/**
 * What the adviser costs a read that looks at three members: price and leave of each, and one send and end.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(2)
public class LocalityPolicyBenchmark {
    private static final int GROUPS = 100;
    private static final double WORK = 40_000;
    private final int[] handles = new int[3 * GROUPS];
    private ZoneFailoverPolicy policy;
    private long now = 1_000_000_000;
    private int at;

    /** A hundred groups over three zones, one of them lost. */
    @Setup public void raise() {
        Router.RequestClass read = new Router.RequestClass("look", Router.Access.ANY, Router.Idempotency.IDEMPOTENT,
                Router.DeduplicationScope.GROUP, 0, 0, 200_000, 1_000_000, 1, 0);
        Router.Settings settings = new Router.Settings(1, 0, 0, 1000, List.of(read, read), Router.StalenessCheck.REFUSE,
                Router.ListRole.LATE, Router.SessionTracking.CARRIED, true,
                new Router.Limits(10, Router.Probes.REPORT, true, true, 1, false, 0,
                        250_000, 50_000, 30_000_000, 1),
                new Router.Rules(20_000, 1_000_000, false, 0.2, 15_000_000, 3, 2_000_000));
        policy = new ZoneFailoverPolicy(settings, new ZoneSettings(0, List.of(
                new ZoneSettings.Tier(List.of(1), 0.5), new ZoneSettings.Tier(List.of(), 0.5)), 10), 0.5);
        for (int i = 0; i < handles.length; i++) {
            handles[i] = policy.memberHandle(i / 3, i % 3);
            policy.ended(now, handles[i], Router.Outcome.OK, WORK);
        }
        for (int i = 0; i < 5 * handles.length; i++) {
            if (i % 3 == 0) {
                now += 100_000;
                policy.ended(now, handles[i % handles.length], Router.Outcome.TIMEOUT, WORK);
            }
        }
    }

    /** The three questions of one pick. */
    @Benchmark public double pick() {
        at = at == GROUPS - 1 ? 0 : at + 1;
        now += 10;
        double sum = 0;
        for (int z = 0; z < 3; z++) {
            int handle = handles[3 * at + z];
            double costFactor = policy.costFactor(now, handle);
            sum += costFactor < Double.POSITIVE_INFINITY && policy.admits(now, handle, 1) ? costFactor : 0;
        }
        return sum;
    }

    /** The two words of one attempt. */
    @Benchmark public void attempt() {
        at = at == GROUPS - 1 ? 0 : at + 1;
        now += 10;
        int handle = handles[3 * at + 1];
        policy.sent(now, handle, 1, WORK);
        policy.ended(now, handle, Router.Outcome.OK, WORK);
    }
}
