package example;

import frostreel.routing.ChainRouter;
import frostreel.routing.Limits;
import frostreel.routing.Router;
import java.util.List;

/** Example of a proxy that embeds the router: it passes in events, and carries out the requested actions. */
public final class Embedding implements Router.Actions {
    private static final int WRITE_CLASS = 0;
    private static final int READ_CLASS = 1;
    private static final int GROUP = 7;
    private static final int ZONE = 0;
    private static final long SESSION = 42;
    private static final String PRIMARY = "10.0.0.1:5432";
    private static final String REPLICA = "10.0.0.2:5432";

    /** Simulates a write, its response, and a read of the same session. */
    public static void main(String[] args) {
        Router router = new ChainRouter(settings(), new Embedding());
        long nowUs = 1_000_000;
        router.onMembers(nowUs, Router.ListKind.FULL, List.of(member(PRIMARY, true), member(REPLICA, false)));
        router.onRequest(
                nowUs, new Router.Request("order-1", WRITE_CLASS, SESSION, GROUP, nowUs + 5_000_000, 0, false));
        router.onOutcome(
                nowUs + 30_000, "order-1", 0, PRIMARY, Router.Outcome.OK, true, 30_000, Router.Role.PRIMARY, 0, null);
        router.onRequest(
                nowUs + 40_000,
                new Router.Request("look-1", READ_CLASS, SESSION, GROUP, nowUs + 1_000_000, 30_000, false));
    }

    private static Router.Member member(String id, boolean primary) {
        return new Router.Member(id, ZONE, 0, GROUP, primary, Router.State.UP, 1, 0);
    }

    private static Router.Settings settings() {
        return new Router.Settings(
                1,
                0,
                ZONE,
                1_000,
                List.of(writes(), reads()),
                Router.StalenessCheck.WAIT,
                Router.ListRole.LATE,
                Router.SessionTracking.CARRIED,
                false,
                Limits.builder()
                        .maxAttempts(8)
                        .healthChecks(Router.HealthChecks.REPORT)
                        .cancel(true)
                        .retryAfterAllowed(true)
                        .maxRetryAfterUs(500_000)
                        .connectTimeoutUs(250_000)
                        .staleReadWaitUs(50_000)
                        .idleTimeoutUs(30_000_000)
                        .build(),
                new Router.Rules(20_000, 500_000, false, 0.15, 18_000_000, 3, 3_000_000));
    }

    private static Router.RequestClass writes() {
        return new Router.RequestClass(
                "post",
                Router.Access.WRITE,
                Router.Idempotency.NON_IDEMPOTENT,
                Router.DeduplicationScope.GROUP,
                0,
                0,
                400_000,
                5_000_000,
                4,
                0.3);
    }

    private static Router.RequestClass reads() {
        return new Router.RequestClass(
                "view",
                Router.Access.BOUNDED,
                Router.Idempotency.IDEMPOTENT,
                Router.DeduplicationScope.GROUP,
                0,
                800_000,
                200_000,
                1_000_000,
                1,
                0);
    }

    @Override
    public void send(String requestId, String memberId, long timeoutUs) {
        System.out.println(requestId + " -> " + memberId);
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        System.out.println(requestId + " rejected, Retry-After " + retryAfterUs + " us");
    }

    @Override
    public void fail(String requestId) {
        System.out.println(requestId + " failed");
    }

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
