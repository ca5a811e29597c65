package frostreel.broker;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.request.BackEnd;
import frostreel.request.FixedPayload;
import frostreel.request.Payload;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.routing.Limits;
import frostreel.routing.Router;
import frostreel.stats.Counters;
import frostreel.time.Deadlines;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Overdue requests: the broker fails a request that the router leaves open. The tests advance the clock. */
class BrokerTest {
    private static final long DEADLINE_US = 1_000_000;
    private long nowUs;
    private final Deadlines deadlines = new Deadlines(() -> nowUs, us -> {});
    private final List<String> failed = new ArrayList<>();

    private static Router.Settings settings(long responseSlackUs) {
        Router.RequestClass readClass = new Router.RequestClass(
                "look",
                Router.Access.ANY,
                Router.Idempotency.IDEMPOTENT,
                Router.DeduplicationScope.GROUP,
                0,
                0,
                DEADLINE_US,
                DEADLINE_US,
                1,
                0);
        return new Router.Settings(
                1,
                1,
                0,
                5_000,
                List.of(readClass),
                Router.StalenessCheck.WAIT,
                Router.ListRole.LATE,
                Router.SessionTracking.CARRIED,
                true,
                Limits.builder()
                        .maxAttempts(4)
                        .cancel(true)
                        .retryAfterAllowed(true)
                        .build(),
                new Router.Rules(responseSlackUs, 1_000_000, false, 1, 0, 1, 0));
    }

    /** Creates a broker whose router leaves every request open. */
    private Broker broker(Router.Settings settings) {
        Broker broker = new Broker(
                () -> nowUs, deadlines, new Counters(), null, settings, 16, (given, actions) -> new IdleRouter());
        broker.updateMembers(
                Router.ListKind.FULL, List.of(new Router.Member("a", 0, 0, 2, true, Router.State.UP, 1, 0)));
        return broker;
    }

    private void submit(Broker broker, String id) {
        broker.submit(
                new RequestAttributes(id, 0, 0, 2, DEADLINE_US, 0, false),
                new FixedPayload(new byte[0]),
                new FailureRecorder(id));
    }

    private void advanceTo(long atUs) {
        nowUs = atUs;
        deadlines.runDue();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 4_000, 20_000, 100_000})
    void failsOpenRequestWithinTheSlackOfTheSettings(long slackUs) {
        submit(broker(settings(slackUs)), "1");
        long dueUs = DEADLINE_US + slackUs * 3 / 4;
        advanceTo(dueUs - 1);
        assertThat(failed).isEmpty();
        advanceTo(dueUs);
        assertThat(failed).containsExactly("1");
    }

    @Test
    void appliesNewSlackOnlyToLaterRequests() {
        Broker broker = broker(settings(20_000));
        submit(broker, "before");
        broker.updateSettings(settings(4_000));
        submit(broker, "after");
        advanceTo(DEADLINE_US + 3_000);
        assertThat(failed).containsExactly("after");
        advanceTo(DEADLINE_US + 14_999);
        assertThat(failed).containsExactly("after");
        advanceTo(DEADLINE_US + 15_000);
        assertThat(failed).containsExactly("after", "before");
    }

    /**
     * Guards against writes that run twice: an attempt whose end was waiting to be processed was taken for one that was
     * never sent when the router cancelled it, which proves that a retry does no harm.
     */
    @Test
    void cancellingAnAttemptThatHasEndedKeepsItsOutcome() {
        List<Router.Outcome> outcomes = new ArrayList<>();
        EndingBackEnd backEnd = new EndingBackEnd();
        Broker broker = broker(backEnd, new Counters(), actions -> new SendingRouter(actions, outcomes) {
            @Override
            public void onMembers(long atUs, ListKind kind, List<Member> members) {
                if (kind == ListKind.CHANGES) {
                    actions.cancel(backEnd.requestId, 0); // Runs after this event.
                    backEnd.end(Outcome.RESET); // Its event is queued behind that.
                }
            }
        });
        submit(broker, "1");

        broker.updateMembers(Router.ListKind.CHANGES, List.of());

        assertThat(outcomes).containsExactly(Router.Outcome.RESET);
    }

    /** A router that sends each request once, records outcomes, and fails requests that are still open. */
    private static class SendingRouter extends IdleRouter {
        private final Actions actions;
        private final List<Outcome> outcomes;

        SendingRouter(Actions actions, List<Outcome> outcomes) {
            this.actions = actions;
            this.outcomes = outcomes;
        }

        @Override
        public void onRequest(long nowUs, Request request) {
            actions.send(request.id(), "a", DEADLINE_US);
        }

        @Override
        public void onOutcome(
                long nowUs,
                String requestId,
                int attempt,
                String memberId,
                Outcome outcome,
                boolean closed,
                long tookUs,
                Role role,
                long positionUs,
                Report report) {
            assertThat(closed).isFalse();
            outcomes.add(outcome);
            actions.fail(requestId);
        }
    }

    private Broker broker(BackEnd backEnd, Counters counters, Function<Router.Actions, Router> routerFactory) {
        Broker broker = new Broker(
                () -> nowUs,
                deadlines,
                counters,
                backEnd,
                settings(0),
                16,
                (given, actions) -> routerFactory.apply(actions));
        broker.updateMembers(
                Router.ListKind.FULL, List.of(new Router.Member("a", 0, 0, 2, true, Router.State.UP, 1, 0)));
        return broker;
    }

    /** Guards against old data that reaches the client before the router sees which server it is from. */
    @Test
    void responseThatTheRouterDoesNotLetPassIsDroppedAtItsEndOrAtTheBeginningOfALongOne() {
        List<Router.Outcome> outcomes = new ArrayList<>();
        EndingBackEnd backEnd = new EndingBackEnd();
        Counters counters = new Counters();
        Broker broker = broker(backEnd, counters, actions -> new SendingRouter(actions, outcomes) {
            @Override
            public boolean mayServe(long atUs, String requestId, Role role, long positionUs) {
                return false;
            }
        });
        submit(broker, "short");
        backEnd.end(Router.Outcome.OK);
        submit(broker, "long");
        assertThat(backEnd.listener.longResponseBegins(null)).isNull();
        backEnd.end(Router.Outcome.CANCELLED);

        assertThat(failed).containsExactly("short", "long");
        assertThat(outcomes).containsExactly(Router.Outcome.WRONG_ROLE_OR_STALE, Router.Outcome.CANCELLED);
        assertThat(counters.responsesTooOld).isEqualTo(2);
    }

    /** Holds one attempt, which the test ends. */
    private static final class EndingBackEnd implements BackEnd {
        /** The router's id of the only request: its handle, which is that of the first slot. */
        private final String requestId = "0";

        private AttemptListener listener;

        void end(Router.Outcome outcome) {
            AttemptListener ending = listener;
            listener = null;
            ending.ended(Result.of(outcome));
        }

        @Override
        public long start(String memberId, Payload payload, long timeoutUs, AttemptListener newListener) {
            listener = newListener;
            return 1;
        }

        @Override
        public boolean hasBegun(long attemptHandle) {
            return true;
        }

        @Override
        public Abandoned abandon(long attemptHandle) {
            return listener == null ? Abandoned.ALREADY_ENDED : Abandoned.MAY_HAVE_REACHED_SERVER;
        }

        @Override
        public void checkHealth(String memberId, AttemptListener checkListener) {}
    }

    private final class FailureRecorder implements ResponseHandler {
        private final String id;

        FailureRecorder(String id) {
            this.id = id;
        }

        @Override
        public void served(byte[] response) {
            throw new AssertionError(id);
        }

        @Override
        public void rejected(long retryAfterUs) {
            throw new AssertionError(id);
        }

        @Override
        public void failed() {
            failed.add(id);
        }

        @Override
        public void cancelled() {
            throw new AssertionError(id);
        }

        @Override
        public boolean isClientConnected() {
            return true;
        }
    }

    private static class IdleRouter implements Router {
        @Override
        public void onSettings(Settings settings) {}

        @Override
        public void onRequest(long nowUs, Request request) {}

        @Override
        public void onOutcome(
                long nowUs,
                String requestId,
                int attempt,
                String memberId,
                Outcome outcome,
                boolean closed,
                long tookUs,
                Role role,
                long positionUs,
                Report report) {}

        @Override
        public boolean mayStillBegin(long nowUs, String requestId) {
            return true;
        }

        @Override
        public void onMembers(long nowUs, ListKind kind, List<Member> members) {}

        @Override
        public void onHealthCheck(long nowUs, String memberId, boolean ok, long tookUs, Report report) {}

        @Override
        public void onTimer(long nowUs, String name) {}

        @Override
        public void onClientDisconnected(long nowUs, String requestId) {}
    }
}
