package example;

import frostreel.routing.ChainRouter;
import frostreel.routing.Router;
import java.util.List;

/** A proxy's side of the router: hand in what happens, carry out what it asks for. */
public final class Embedding implements Router.Actions {
    public static void main(String[] args) {
        Router.RequestClass post = new Router.RequestClass(
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
        Router.RequestClass view = new Router.RequestClass(
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
        Router.Settings settings = new Router.Settings(
                1,
                0,
                0,
                1_000,
                List.of(post, view),
                Router.StalenessCheck.WAIT,
                Router.ListRole.LATE,
                Router.SessionTracking.CARRIED,
                false,
                new Router.Limits(
                        8, Router.Probes.REPORT, true, true, 500_000, false, 0, 250_000, 50_000, 30_000_000, 1),
                new Router.Rules(20_000, 500_000, false, 0.15, 18_000_000, 3, 3_000_000));
        Router router = new ChainRouter(settings, new Embedding());

        long now = 1_000_000;
        router.onMembers(
                now,
                Router.ListKind.FULL,
                List.of(
                        new Router.Member("10.0.0.1:5432", 0, 0, 7, true, Router.State.UP, 1, 0),
                        new Router.Member("10.0.0.2:5432", 0, 0, 7, false, Router.State.UP, 1, 0)));
        router.onRequest(now, new Router.Request("order-1", 0, 42, 7, now + 5_000_000, 0, false));
        router.onOutcome(
                now + 30_000,
                "order-1",
                0,
                "10.0.0.1:5432",
                Router.Outcome.OK,
                true,
                30_000,
                Router.Role.PRIMARY,
                0,
                null);
        router.onRequest(now + 40_000, new Router.Request("look-1", 1, 42, 7, now + 1_000_000, 30_000, false));
    }

    @Override
    public void send(String requestId, String memberId, long timeoutUs) {
        System.out.println(requestId + " -> " + memberId);
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        System.out.println(requestId + " refused, come back in " + retryAfterUs + " us");
    }

    @Override
    public void fail(String requestId) {
        System.out.println(requestId + " failed");
    }

    @Override
    public void cancel(String requestId, int attempt) {}

    @Override
    public void probe(String memberId) {}

    @Override
    public void setTimer(long inUs, String name) {}

    @Override
    public void log(String text) {}

    @Override
    public void subscribe() {}
}
