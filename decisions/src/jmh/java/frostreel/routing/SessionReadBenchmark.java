package frostreel.routing;

import frostreel.operation.SharedRoleTable;
import frostreel.operation.SharedTableStorage;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the decisions for one session read, from its arrival to its response, by what the processes share. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(2)
public class SessionReadBenchmark implements Router.Actions {
    private static final int GROUPS = 4;
    private static final int MEMBERS = 12;
    private static final long INTERVAL_US = 2_300;
    private static final long TOOK_US = 1_000;
    /** Requests between two heartbeats, of which there are five a second. */
    private static final int HEARTBEAT_REQUESTS = 60;

    private static final long DEADLINE_US = 1_500_000;

    /** What the benchmarked process shares roles with. */
    public enum Peers {
        NONE,
        ALONE,
        LIVING
    }

    @Param
    public Peers peers;

    private final long[] stored = new long[SharedRoleTable.LONGS];
    private Router router;
    private SharedRoleTable other;
    private String lastMember;
    private long nowUs = 1_000_000_000;
    private int requests;

    /** Sets up a router with a dozen members in groups of three, and the other process. */
    @Setup
    public void start() {
        SharedTableStorage storage = new ArrayStorage();
        other = peers == Peers.LIVING ? new SharedRoleTable(storage, 1, nowUs, 0) : null;
        PeerRoles roles = peers == Peers.NONE ? PeerRoles.NONE : new SharedRoleTable(storage, 2, nowUs, 0);
        router = new ChainRouter(settings(), this, new NearestZonePolicy(0), PeerCommits.NONE, roles);
        List<Router.Member> members = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            boolean isPrimary = i / GROUPS == 0;
            members.add(
                    new Router.Member("s-" + i, 0, 0, i % GROUPS, isPrimary, Router.State.UP, 1, 0));
        }
        router.onMembers(nowUs, Router.ListKind.CACHED, members);
    }

    /** A read that arrives, is sent and is served. */
    @Benchmark
    public String read() {
        nowUs += INTERVAL_US;
        String id = "1";
        int group = requests++ % GROUPS;
        if (other != null && requests % HEARTBEAT_REQUESTS == 0) {
            other.onHeartbeat(nowUs);
        }
        router.onRequest(nowUs, new Router.Request(id, 0, 7, group, nowUs + DEADLINE_US, 0, false));
        nowUs += TOOK_US;
        if (!router.mayServe(nowUs, id, Router.Role.REPLICA, nowUs)) {
            throw new IllegalStateException("a response with a position of now");
        }
        router.onOutcome(
                nowUs, id, 0, lastMember, Router.Outcome.OK, true, TOOK_US, Router.Role.REPLICA, nowUs, null);
        return lastMember;
    }

    private static Router.Settings settings() {
        Router.RequestClass read = new Router.RequestClass(
                "read",
                Router.Access.SESSION,
                Router.Idempotency.IDEMPOTENT,
                Router.DeduplicationScope.GROUP,
                0,
                0,
                400_000,
                DEADLINE_US,
                1,
                0);
        return new Router.Settings(
                1,
                1,
                0,
                1000,
                List.of(read),
                Router.StalenessCheck.SILENT,
                Router.ListRole.START,
                Router.SessionTracking.REMEMBERED,
                true,
                Limits.builder()
                        .maxAttempts(10)
                        .healthChecks(Router.HealthChecks.LIVENESS)
                        .cancel(true)
                        .connectTimeoutUs(250_000)
                        .idleTimeoutUs(30_000_000)
                        .build(),
                new Router.Rules(20_000, 250_000, false, 0.16, 15_000_000, 2, 1_000_000));
    }

    /** Storage in an array; a file adds about 0.6 us for each read and 0.8 us for each write. */
    private final class ArrayStorage implements SharedTableStorage {
        @Override
        public boolean read(long[] copy, int index, int length) {
            System.arraycopy(stored, index, copy, index, length);
            return true;
        }

        @Override
        public boolean write(long[] copy, int index, int length) {
            System.arraycopy(copy, index, stored, index, length);
            return true;
        }
    }

    @Override
    public void send(String requestId, String memberId, long timeoutUs) {
        lastMember = memberId;
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {}

    @Override
    public void fail(String requestId) {}

    @Override
    public void cancel(String requestId, int attempt) {}

    @Override
    public void checkHealth(String memberId) {}

    @Override
    public void setTimer(long inUs, String name) {}

    @Override
    public void log(String text) {}

    @Override
    public void subscribe() {}
}
