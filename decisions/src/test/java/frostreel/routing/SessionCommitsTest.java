package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Outcome;
import org.junit.jupiter.api.Test;

/** What a session's reads must see of its writes, told or in doubt. */
class SessionCommitsTest {
    private static final long T = 1_000_000_000;
    private static final long MS = 1_000;
    private static final long KEEP = 100_000 * MS;
    private final SessionCommits commits = new SessionCommits();

    @Test
    void aCommitThatWasToldBindsItsSessionAlone() {
        commits.sent(T, 1);
        commits.ended(T + 50 * MS, 1, T + 3_000 * MS, Outcome.OK, T + 40 * MS, KEEP);
        assertThat(commits.need(T + 60 * MS, 1)).isEqualTo(T + 41 * MS);
        assertThat(commits.need(T + 60 * MS, 2)).isZero();
    }

    @Test
    void aWriteThatIsOutBindsOnceItsAnswerMayCountAsKnown() {
        commits.sent(T, 1);
        assertThat(commits.need(T + 100 * MS, 1)).isZero();
        assertThat(commits.need(T + 150 * MS, 1)).isEqualTo(T + 50 * MS);
        commits.ended(T + 200 * MS, 1, T + 3_000 * MS, Outcome.WRONG_ROLE_OR_STALE, 0, KEEP); // It never ran.
        assertThat(commits.need(T + 250 * MS, 1)).isZero();
    }

    @Test
    void ofTwoWritesAtOnceTheOldestBindsUntilBothHaveEnded() {
        commits.sent(T, 1);
        commits.sent(T + 500 * MS, 1);
        commits.ended(T + 510 * MS, 1, T + 3_000 * MS, Outcome.REJECTED, 0, KEEP);
        assertThat(commits.need(T + 520 * MS, 1)).isEqualTo(T + 420 * MS);
        commits.ended(T + 530 * MS, 1, T + 3_000 * MS, Outcome.OK, T + 5 * MS, KEEP);
        assertThat(commits.need(T + 540 * MS, 1)).isEqualTo(T + 6 * MS);
    }

    @Test
    void oneThatEndedInDoubtBindsToAllThatItsServerMayYetHaveAnswered() {
        commits.sent(T, 1);
        commits.ended(T + 700 * MS, 1, T + 3_000 * MS, Outcome.TIMEOUT, 0, KEEP);
        assertThat(commits.need(T + 800 * MS, 1)).isEqualTo(T + 700 * MS);
        assertThat(commits.need(T + 2_000 * MS, 1)).isEqualTo(T + 1_900 * MS);
        assertThat(commits.need(T + 60_000 * MS, 1)).isEqualTo(T + 3_000 * MS);
    }

    @Test
    void oneWhoseConnectionBrokeOrWhoseCommitWasNotToldWasAnsweredByThen() {
        for (Outcome o : new Outcome[] {Outcome.RESET, Outcome.ERROR, Outcome.OK}) {
            commits.sent(T, o.ordinal());
            commits.ended(T + 700 * MS, o.ordinal(), T + 3_000 * MS, o, 0, KEEP);
            assertThat(commits.need(T + 60_000 * MS, o.ordinal())).isEqualTo(T + 700 * MS);
        }
    }

    @Test
    void whatIsForgottenBindsEverySession() {
        commits.sent(T, 1);
        commits.ended(T, 1, T + MS, Outcome.OK, T - MS, KEEP);
        commits.sent(T + 2 * KEEP, 2);
        commits.ended(T + 2 * KEEP, 2, T + 3 * KEEP, Outcome.OK, T + 2 * KEEP, KEEP);
        assertThat(commits.size()).isEqualTo(1);
        assertThat(commits.need(T + 2 * KEEP, 3)).isEqualTo(T - MS);
    }

    @Test
    void noMoreThanABoundIsKeptAndADroppedWriteStillBinds() {
        for (int i = 0; i <= SessionCommits.MOST + 1; i++) {
            commits.sent(T, i);
        }
        commits.ended(T, 7, T + MS, Outcome.WRONG_ROLE_OR_STALE, 0, KEEP);
        assertThat(commits.size()).isLessThanOrEqualTo(SessionCommits.MOST);
        assertThat(commits.need(T + 500 * MS, 0)).isEqualTo(T + 500 * MS);
    }
}
