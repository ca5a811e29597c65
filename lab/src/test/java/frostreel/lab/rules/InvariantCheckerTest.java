package frostreel.lab.rules;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.rules.RunListener.Answer;
import frostreel.routing.Limits;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.State;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each rule reports the runs that break it, and no others; every event reaches the rules that depend on it. */
class InvariantCheckerTest {
    private static final Limits LIMITS = Limits.builder()
            .maxAttempts(3)
            .healthChecks(Router.HealthChecks.REPORT)
            .cancel(true)
            .retryAfterAllowed(true)
            .maxRetryAfterUs(2_000_000)
            .connectTimeoutUs(250_000)
            .staleReadWaitUs(50_000)
            .idleTimeoutUs(30_000_000)
            .build();
    private static final Router.Rules FIGURES =
            new Router.Rules(20_000, 1_000_000, false, 0.22, 15_000_000, 3, 2_000_000);
    private static final Router.RequestClass READ = requestClass(Router.Access.ANY, Router.Idempotency.IDEMPOTENT);
    private static final Router.RequestClass KEYED_WRITE = requestClass(Router.Access.WRITE, Router.Idempotency.KEYED);
    private static final Router.RequestClass NON_IDEMPOTENT_WRITE =
            requestClass(Router.Access.WRITE, Router.Idempotency.NON_IDEMPOTENT);
    private InvariantChecker checker;

    private static Router.RequestClass requestClass(Router.Access access, Router.Idempotency idempotency) {
        return new Router.RequestClass(
                "c", access, idempotency, Router.DeduplicationScope.GROUP, 3_000_000, 0, 100, 1000, 1, 0);
    }

    @BeforeEach
    void createChecker() {
        checker = new InvariantChecker(LIMITS, FIGURES);
    }

    private List<String> broken() {
        return checker.rules().stream()
                .filter(rule -> rule.broken() > 0)
                .map(Rule::name)
                .toList();
    }

    @Test
    void reportsNoViolationOfARunThatKeepsAllRules() {
        checker.endpointUpdated(0, 1, "s", State.UP);
        checker.requestTaken(10, 1, "a", KEYED_WRITE, 5_000_000);
        checker.attemptSent(20, 1, "a", "s");
        checker.attemptEnded(30, 1, "a", Outcome.TIMEOUT, true);
        checker.attemptSent(2_000_000, 1, "a", "s");
        checker.attemptEnded(2_000_010, 1, "a", Outcome.OK, false);
        checker.requestAnswered(2_000_010, 1, "a", Answer.SERVED);
        checker.readServed(2_000_010, "a", 100, 100);
        checker.endpointUpdated(2_100_000, 1, "s", State.DRAINING);
        checker.requestTaken(2_100_000, 1, "b", READ, 5_000_000);
        checker.attemptSent(3_000_000, 1, "b", "s");
        checker.requestAnswered(3_100_000, 1, "b", Answer.REJECTED);
        checker.requestTaken(9_000_000, 1, "c", READ, 9_990_000);
        checker.end(10_000_000);
        assertThat(broken()).isEmpty();
        assertThat(checker.broken()).isZero();
    }

    @Test
    void reportsDuplicateLateAndMissingAnswers() {
        checker.requestTaken(0, 1, "a", READ, 1000);
        checker.requestAnswered(10, 1, "a", Answer.REJECTED);
        checker.requestAnswered(20, 1, "a", Answer.SERVED);
        checker.requestTaken(0, 1, "b", READ, 1000);
        checker.requestAnswered(21_001, 1, "b", Answer.SERVED);
        checker.requestTaken(0, 1, "c", READ, 1000);
        checker.end(21_001);
        assertThat(broken()).containsExactly("one final answer in time");
        assertThat(checker.broken()).isEqualTo(3);
    }

    @Test
    void requestsOfAKilledPoolerNeedNoAnswerButThoseOfItsNextIncarnationDo() {
        checker.requestTaken(0, 1, "a", READ, 1000);
        checker.requestTaken(0, 1, "b", READ, 1000);
        checker.poolerKilled(500, 1);
        checker.requestAnswered(600, 1, "a", Answer.SERVED); // Written before the process was killed.
        assertThat(checker.broken()).isZero();
        checker.requestTaken(700, 1, "b", READ, 2000);
        checker.requestAnswered(800, 1, "b", Answer.SERVED);
        checker.requestAnswered(900, 1, "b", Answer.SERVED);
        assertThat(checker.broken()).isEqualTo(1);
        checker.requestTaken(1000, 1, "c", READ, 2000);
        checker.end(30_000);
        assertThat(checker.broken()).isEqualTo(2);
    }

    @Test
    void reportsConcurrentAndTooManyAttempts() {
        checker.requestTaken(0, 1, "a", READ, 1000);
        checker.attemptSent(1, 1, "a", "s");
        checker.attemptSent(2, 1, "a", "t");
        assertThat(checker.broken()).isEqualTo(1);
        for (int i = 0; i < 2; i++) {
            checker.attemptEnded(3, 1, "a", Outcome.WRONG_ROLE_OR_STALE, false);
            checker.attemptSent(4, 1, "a", "s");
        }
        assertThat(broken()).containsExactly("one attempt at a time, 3 at most");
        assertThat(checker.broken()).isEqualTo(2);
    }

    @Test
    void reportsForbiddenRetriesOfRequestsThatMayHaveRun() {
        checker.requestTaken(0, 1, "a", NON_IDEMPOTENT_WRITE, 9_000_000);
        checker.attemptSent(1, 1, "a", "s");
        checker.attemptEnded(2, 1, "a", Outcome.TIMEOUT, true);
        checker.attemptSent(3, 1, "a", "s");
        checker.requestTaken(0, 1, "b", KEYED_WRITE, 9_000_000);
        checker.attemptSent(1, 1, "b", "s");
        checker.attemptEnded(2, 1, "b", Outcome.RESET, true);
        checker.attemptSent(3_000_002, 1, "b", "s");
        assertThat(broken()).containsExactly("sent again only as the class permits");
        assertThat(checker.broken()).isEqualTo(2);
    }

    @Test
    void reportsSendsToDrainingServersOnlyByPoolersThatWereNotified() {
        checker.endpointUpdated(0, 1, "s", State.DRAINING);
        checker.attemptSent(1_000_001, 1, "a", "s");
        checker.attemptSent(1_000_001, 2, "b", "s");
        assertThat(broken()).containsExactly("drains and ends kept");
        assertThat(checker.broken()).isEqualTo(1);
        checker.endpointUpdated(2_000_000, 1, "s", State.UP);
        checker.attemptSent(9_000_000, 1, "c", "s");
        assertThat(checker.broken()).isEqualTo(1);
    }

    @Test
    void reportsSendsToSuspendedServersUntilTheyAreRestored() {
        checker.serverSuspended(0, 1, "s", true);
        checker.attemptSent(1_000_001, 1, "a", "s");
        assertThat(broken()).containsExactly("drains and ends kept");
        checker.serverSuspended(1_000_002, 1, "s", false);
        checker.attemptSent(9_000_000, 1, "b", "s");
        assertThat(checker.broken()).isEqualTo(1);
    }

    @Test
    void requestsOfAPausedPoolerNeedNoAnswer() {
        checker.requestTaken(0, 1, "a", READ, 1000);
        checker.poolerPaused(500, 1, true);
        checker.requestTaken(600, 1, "b", READ, 2000);
        checker.poolerPaused(700, 1, false);
        checker.requestTaken(800, 1, "c", READ, 2000);
        checker.requestExcused(900, "c");
        checker.end(30_000);
        assertThat(broken()).isEmpty();
    }

    @Test
    void reportsOverloadedColdServers() {
        checker.serverOverloaded(1, "s");
        assertThat(broken()).containsExactly("no cold server pushed over");
    }

    @Test
    void reportsStaleReads() {
        checker.readServed(1, "a", 99, 100);
        assertThat(broken()).containsExactly("no stale read");
        assertThat(checker.rules().get(5).firstViolations())
                .singleElement()
                .asString()
                .contains("a was served 1 us");
    }
}
