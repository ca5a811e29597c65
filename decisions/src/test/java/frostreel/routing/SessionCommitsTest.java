package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Positions that the reads of a session must see after its writes, whose commit is known or whose outcome is unknown.
 */
class SessionCommitsTest {
    private static final long START_US = 1_000_000_000;
    private static final long RETENTION_US = 100_000_000;
    private static final long DEADLINE_US = afterMs(3_000);
    private static final long NO_COMMIT = 0;
    private static final long SESSION = 1;
    private static final long OTHER_SESSION = 2;
    private final SessionCommits commits = new SessionCommits();

    private static long afterMs(long milliseconds) {
        return START_US + milliseconds * 1_000;
    }

    @Test
    void readsOfOtherSessionsNeedNotSeeAReportedCommit() {
        commits.recordSend(START_US, SESSION);
        commits.recordOutcome(afterMs(50), SESSION, DEADLINE_US, Outcome.OK, afterMs(40), RETENTION_US);
        assertThat(commits.requiredPositionUs(afterMs(60), SESSION)).isEqualTo(afterMs(41));
        assertThat(commits.requiredPositionUs(afterMs(60), OTHER_SESSION)).isZero();
    }

    @Test
    void readsMustSeeAWriteInFlightOnceItsResponseCountsAsKnown() {
        commits.recordSend(START_US, SESSION);
        assertThat(commits.requiredPositionUs(afterMs(100), SESSION)).isZero();
        assertThat(commits.requiredPositionUs(afterMs(150), SESSION)).isEqualTo(afterMs(50));
        commits.recordOutcome(afterMs(200), SESSION, DEADLINE_US, Outcome.WRONG_ROLE_OR_STALE, NO_COMMIT, RETENTION_US);
        assertThat(commits.requiredPositionUs(afterMs(250), SESSION))
                .as("the write never ran")
                .isZero();
    }

    @Test
    void readsMustSeeTheOldestOfTwoConcurrentWritesUntilBothHaveEnded() {
        commits.recordSend(START_US, SESSION);
        commits.recordSend(afterMs(500), SESSION);
        commits.recordOutcome(afterMs(510), SESSION, DEADLINE_US, Outcome.REJECTED, NO_COMMIT, RETENTION_US);
        assertThat(commits.requiredPositionUs(afterMs(520), SESSION)).isEqualTo(afterMs(420));
        commits.recordOutcome(afterMs(530), SESSION, DEADLINE_US, Outcome.OK, afterMs(5), RETENTION_US);
        assertThat(commits.requiredPositionUs(afterMs(540), SESSION)).isEqualTo(afterMs(6));
    }

    @Test
    void readsMustSeeAWriteThatTimedOutUpToItsDeadline() {
        commits.recordSend(START_US, SESSION);
        commits.recordOutcome(afterMs(700), SESSION, DEADLINE_US, Outcome.TIMEOUT, NO_COMMIT, RETENTION_US);
        assertThat(commits.requiredPositionUs(afterMs(800), SESSION)).isEqualTo(afterMs(700));
        assertThat(commits.requiredPositionUs(afterMs(2_000), SESSION)).isEqualTo(afterMs(1_900));
        assertThat(commits.requiredPositionUs(afterMs(60_000), SESSION)).isEqualTo(afterMs(3_000));
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"RESET", "ERROR", "OK"})
    void readsMustSeeAWriteWithoutReportedCommitUpToItsEnd(Outcome outcome) {
        commits.recordSend(START_US, SESSION);
        commits.recordOutcome(afterMs(700), SESSION, DEADLINE_US, outcome, NO_COMMIT, RETENTION_US);
        assertThat(commits.requiredPositionUs(afterMs(60_000), SESSION)).isEqualTo(afterMs(700));
    }

    @Test
    void readsOfAllSessionsMustSeeADroppedCommit() {
        commits.recordSend(START_US, SESSION);
        commits.recordOutcome(START_US, SESSION, afterMs(1), Outcome.OK, afterMs(-1), RETENTION_US);
        long laterUs = START_US + 2 * RETENTION_US;
        commits.recordSend(laterUs, OTHER_SESSION);
        commits.recordOutcome(laterUs, OTHER_SESSION, laterUs + RETENTION_US, Outcome.OK, laterUs, RETENTION_US);
        assertThat(commits.size()).isEqualTo(1);
        assertThat(commits.requiredPositionUs(laterUs, 3)).isEqualTo(afterMs(-1));
    }

    @Test
    void numberOfSessionsIsBoundedAndReadsMustSeeADroppedWrite() {
        for (int session = 0; session <= SessionCommits.MAX_SESSIONS + 1; session++) {
            commits.recordSend(START_US, session);
        }
        commits.recordOutcome(START_US, 7, afterMs(1), Outcome.WRONG_ROLE_OR_STALE, NO_COMMIT, RETENTION_US);
        assertThat(commits.size()).isLessThanOrEqualTo(SessionCommits.MAX_SESSIONS);
        assertThat(commits.requiredPositionUs(afterMs(500), 0)).isEqualTo(afterMs(500));
    }
}
