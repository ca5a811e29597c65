package frostreel.routing;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Request;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Cost and backoff of retries, and the conditions under which no further attempt is permitted. */
class RetryPolicyTest {
    private static final long NOW_US = 10_000_000;
    private static final long DEADLINE_US = NOW_US + 4_000_000;
    private static final long RECHECK_US = 10_000;
    private static final int MAX_ATTEMPTS = 3;
    private final Router.Settings settings = new SettingsBuilder().build();
    private final RetryPolicy policy = new RetryPolicy(RECHECK_US, new ClassLatencies(settings));

    private PendingRequest request(int classIndex) {
        GroupState group = new GroupState(1, new Goodput(() -> 1_000_000));
        Request original = new Request("request", classIndex, 42, 1, DEADLINE_US, Router.NO_WRITE, false);
        return new PendingRequest(original, settings.classes().get(classIndex), group, MAX_ATTEMPTS, NOW_US);
    }

    private boolean admitRetry(int classIndex, Outcome outcome) {
        return policy.admitRetry(NOW_US, request(classIndex), outcome);
    }

    @Test
    void retriesOfReadsStopWhenTheirTokensAreSpentAndGoOnAsRequestsArrive() {
        for (int i = 0; i < 10; i++) {
            assertThat(admitRetry(RouterHarness.ANY_READ, Outcome.TIMEOUT)).isTrue();
        }
        assertThat(admitRetry(RouterHarness.ANY_READ, Outcome.TIMEOUT)).isFalse();
        for (int i = 0; i < 4; i++) {
            policy.recordArrival();
        }
        assertThat(admitRetry(RouterHarness.ANY_READ, Outcome.TIMEOUT)).isFalse();
        policy.recordArrival();
        assertThat(admitRetry(RouterHarness.ANY_READ, Outcome.TIMEOUT)).isTrue();
    }

    @Test
    void retryCostsNothingAfterAnAttemptThatDidNotRunAndKeyedWritesNeedNoToken() {
        for (int i = 0; i < 20; i++) {
            assertThat(admitRetry(RouterHarness.ANY_READ, Outcome.REJECTED)).isTrue();
        }
        assertThat(admitRetry(RouterHarness.ANY_READ, Outcome.TIMEOUT)).isTrue();
        for (int i = 0; i < 20; i++) {
            assertThat(admitRetry(RouterHarness.KEYED_WRITE, Outcome.TIMEOUT)).isTrue();
        }
        assertThat(admitRetry(RouterHarness.ANY_READ, Outcome.TIMEOUT)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({
        "1, REJECTED, 50000",
        "2, TIMEOUT, 100000",
        "5, TIMEOUT, 800000",
        "9, RESET, 800000",
        "1, WRONG_ROLE_OR_STALE, 0",
        "1, CONNECT_FAILED, 0"
    })
    void backoffDoublesWithEachAttemptUpToABound(int attempts, Outcome outcome, long backoffUs) {
        PendingRequest request = request(RouterHarness.KEYED_WRITE);
        request.notBeforeUs = NOW_US;
        request.attempts = attempts;
        policy.backOff(NOW_US, request, outcome);
        assertThat(request.notBeforeUs).isEqualTo(NOW_US + backoffUs);
    }

    @Test
    void requestIsExhaustedByItsAttemptsAndTwoRechecksBeforeItsDeadline() {
        PendingRequest request = request(RouterHarness.ANY_READ);
        assertThat(policy.isExhausted(DEADLINE_US - 2 * RECHECK_US - 1, request))
                .isFalse();
        assertThat(policy.isExhausted(DEADLINE_US - 2 * RECHECK_US, request)).isTrue();
        request.attempts = MAX_ATTEMPTS;
        assertThat(policy.isExhausted(NOW_US, request)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "5, false, true", // ANY_READ: idempotent.
        "3, false, false", // KEYED_WRITE: deduplicated in its group only.
        "6, false, true", // KEYED_WRITE_ALL_ZONES
        "4, true, false" // NON_IDEMPOTENT_WRITE
    })
    void uncertainAttemptExhaustsNonIdempotentWritesAndDecidesWhetherClientsMayRetry(
            int classIndex, boolean exhausted, boolean clientMayRetry) {
        PendingRequest request = request(classIndex);
        assertThat(RetryPolicy.isClientRetryHarmless(request)).isTrue();
        request.sentAtUs = NOW_US;
        policy.recordUncertainAttempt(request, null);
        assertThat(policy.isExhausted(NOW_US, request)).isEqualTo(exhausted);
        assertThat(RetryPolicy.isClientRetryHarmless(request)).isEqualTo(clientMayRetry);
    }

    @Test
    void requestForWhichNothingWasSentHasWaitedTooLongAfterLessThanHalfItsTime() {
        PendingRequest request = request(RouterHarness.ANY_READ);
        long tooLongAfterUs = NOW_US + 1_800_000 - 2 * RECHECK_US;
        assertThat(policy.hasWaitedTooLong(tooLongAfterUs, request)).isFalse();
        assertThat(policy.hasWaitedTooLong(tooLongAfterUs + 1, request)).isTrue();
        request.attempts = 1;
        assertThat(policy.hasWaitedTooLong(tooLongAfterUs + 1, request)).isFalse();
    }
}
