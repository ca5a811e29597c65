package frostreel.lab.rules;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.lab.rules.RunListener.Answer;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.State;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each checker convicts what breaks its rule, and nothing that keeps it. */
class InvariantCheckerTest {
    private static final Router.Limits LIMITS =
            new Router.Limits(3, Router.Probes.REPORT, true, true, 2_000_000, false, 0, 250_000, 50_000, 30_000_000, 1);
    private static final Router.Rules FIGURES =
            new Router.Rules(20_000, 1_000_000, false, 0.22, 15_000_000, 3, 2_000_000);
    private static final Router.RequestClass READ = requestClass(Router.Access.ANY, Router.Idempotency.IDEMPOTENT);
    private static final Router.RequestClass KEYED = requestClass(Router.Access.WRITE, Router.Idempotency.KEYED);
    private static final Router.RequestClass UNSAFE =
            requestClass(Router.Access.WRITE, Router.Idempotency.NON_IDEMPOTENT);
    private InvariantChecker book;

    private static Router.RequestClass requestClass(Router.Access access, Router.Idempotency repeat) {
        return new Router.RequestClass(
                "c", access, repeat, Router.DeduplicationScope.GROUP, 3_000_000, 0, 100, 1000, 1, 0);
    }

    @BeforeEach
    void open() {
        book = new InvariantChecker(LIMITS, FIGURES);
    }

    private List<String> broken() {
        return book.rules().stream().filter(r -> r.broken() > 0).map(Rule::name).toList();
    }

    @Test
    void aRunThatKeepsAllIsNotConvicted() {
        book.told(0, 1, "s", State.UP);
        book.asked(10, 1, "a", KEYED, 5_000_000);
        book.sent(20, 1, "a", "s");
        book.ended(30, 1, "a", Outcome.TIMEOUT, true);
        book.sent(2_000_000, 1, "a", "s");
        book.ended(2_000_010, 1, "a", Outcome.OK, false);
        book.answered(2_000_010, 1, "a", Answer.SERVED);
        book.read(2_000_010, "a", 100, 100);
        book.told(2_100_000, 1, "s", State.DRAINING);
        book.asked(2_100_000, 1, "b", READ, 5_000_000);
        book.sent(3_000_000, 1, "b", "s");
        book.answered(3_100_000, 1, "b", Answer.REFUSED);
        book.asked(9_000_000, 1, "c", READ, 9_990_000);
        book.end(10_000_000);
        assertThat(broken()).isEmpty();
        assertThat(book.broken()).isZero();
    }

    @Test
    void aSecondALateAndAMissingAnswer() {
        book.asked(0, 1, "a", READ, 1000);
        book.answered(10, 1, "a", Answer.REFUSED);
        book.answered(20, 1, "a", Answer.SERVED);
        book.asked(0, 1, "b", READ, 1000);
        book.answered(21_001, 1, "b", Answer.SERVED);
        book.asked(0, 1, "c", READ, 1000);
        book.end(21_001);
        assertThat(broken()).containsExactly("one final answer in time");
        assertThat(book.broken()).isEqualTo(3);
    }

    @Test
    void aDeadPoolerOwesNothingButItsNextLifeDoes() {
        book.asked(0, 1, "a", READ, 1000);
        book.asked(0, 1, "b", READ, 1000);
        book.died(500, 1);
        book.answered(600, 1, "a", Answer.SERVED); // It had been written before.
        assertThat(book.broken()).isZero();
        book.asked(700, 1, "b", READ, 2000);
        book.answered(800, 1, "b", Answer.SERVED);
        book.answered(900, 1, "b", Answer.SERVED);
        assertThat(book.broken()).isEqualTo(1);
        book.asked(1000, 1, "c", READ, 2000);
        book.end(30_000);
        assertThat(book.broken()).isEqualTo(2);
    }

    @Test
    void twoAttemptsInFlightAndTooMany() {
        book.asked(0, 1, "a", READ, 1000);
        book.sent(1, 1, "a", "s");
        book.sent(2, 1, "a", "t");
        assertThat(book.broken()).isEqualTo(1);
        for (int i = 0; i < 2; i++) {
            book.ended(3, 1, "a", Outcome.WRONG_ROLE_OR_STALE, false);
            book.sent(4, 1, "a", "s");
        }
        assertThat(broken()).containsExactly("one attempt at a time, 3 at most");
        assertThat(book.broken()).isEqualTo(2);
    }

    @Test
    void whatMayHaveRunIsSentAgain() {
        book.asked(0, 1, "a", UNSAFE, 9_000_000);
        book.sent(1, 1, "a", "s");
        book.ended(2, 1, "a", Outcome.TIMEOUT, true);
        book.sent(3, 1, "a", "s");
        book.asked(0, 1, "b", KEYED, 9_000_000);
        book.sent(1, 1, "b", "s");
        book.ended(2, 1, "b", Outcome.RESET, true);
        book.sent(3_000_002, 1, "b", "s");
        assertThat(broken()).containsExactly("sent again only as the class permits");
        assertThat(book.broken()).isEqualTo(2);
    }

    @Test
    void aSendAfterADrainWasToldBindsThePoolerThatWasTold() {
        book.told(0, 1, "s", State.DRAINING);
        book.sent(1_000_001, 1, "a", "s");
        book.sent(1_000_001, 2, "b", "s");
        assertThat(broken()).containsExactly("drains and ends kept");
        assertThat(book.broken()).isEqualTo(1);
        book.told(2_000_000, 1, "s", State.UP);
        book.sent(9_000_000, 1, "c", "s");
        assertThat(book.broken()).isEqualTo(1);
    }

    @Test
    void aColdServerFallsOver() {
        book.fell(1, "s");
        assertThat(broken()).containsExactly("no cold server pushed over");
    }

    @Test
    void aStaleRead() {
        book.read(1, "a", 99, 100);
        assertThat(broken()).containsExactly("no stale read");
        assertThat(book.rules().get(5).convictions()).singleElement().asString().contains("a was served 1 us");
    }
}
