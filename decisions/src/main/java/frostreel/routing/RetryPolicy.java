package frostreel.routing;

import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;

/**
 * Decides whether and when a request may be retried, and how long one attempt may take. A retry after an attempt that
 * may have run takes a token from a bucket that arriving requests fill, so that retries never multiply an overload.
 */
final class RetryPolicy {
    /** Tokens that each arriving request adds. */
    private static final double TOKENS_PER_REQUEST = 0.2;
    /** Capacity of the token bucket. */
    private static final double MAX_TOKENS = 10;
    /**
     * Base of the exponential backoff of a write, in microseconds, within which a primary that is merely full accepts a
     * write. It is doubled once per attempt made so far, so that the backoff after the first attempt is twice the base.
     */
    private static final long BACKOFF_BASE_US = 25_000;
    /** Maximum number of times that the backoff doubles. */
    private static final int MAX_DOUBLINGS = 5;
    /**
     * Share of the time to its deadline that a request may wait for its first attempt; after that its client does
     * better to try another router.
     */
    private static final double MAX_WAIT_SHARE = 0.45;
    /** Utilization from which a primary that does not respond counts as busy rather than silent. */
    private static final double BUSY_UTILIZATION = 0.9;
    /** Multiple of the expected latency that a retried read may take and still be on time. */
    private static final double RETRY_LATENCY_FACTOR = 1.5;
    /** Number of recheck intervals that must be left until the deadline, as the next recheck may be late. */
    private static final int MIN_RECHECKS_LEFT = 2;

    private final long recheckIntervalUs;
    private final ClassLatencies latencies;
    private double tokens = MAX_TOKENS;

    RetryPolicy(long recheckIntervalUs, ClassLatencies latencies) {
        this.recheckIntervalUs = recheckIntervalUs;
        this.latencies = latencies;
    }

    /** Records the arrival of a request. */
    void recordArrival() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /**
     * Whether no further attempt is permitted: the time or the attempts are used up, or an attempt may have run and the
     * request must not run again.
     */
    boolean isExhausted(long nowUs, PendingRequest request) {
        return latestRecheckUs(nowUs) >= request.original.deadlineUs()
                || request.attempts >= request.maxAttempts
                || (request.mayHaveRun && !mayRunAgain(nowUs, request));
    }

    /** The latest time at which a request that is queued now is rechecked. */
    private long latestRecheckUs(long nowUs) {
        return nowUs + MIN_RECHECKS_LEFT * recheckIntervalUs;
    }

    private boolean mayRunAgain(long nowUs, PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case KEYED ->
                nowUs + recheckIntervalUs <= request.firstUncertainSendUs + requestClass.deduplicationWindowUs();
            case NON_IDEMPOTENT -> false;
        };
    }

    /** Whether a request without any attempt has waited for more than its permitted share of time. */
    boolean hasWaitedTooLong(long nowUs, PendingRequest request) {
        double maxWaitUs = MAX_WAIT_SHARE * (request.original.deadlineUs() - request.arrivedUs);
        return request.attempts == 0 && latestRecheckUs(nowUs) > request.arrivedUs + maxWaitUs;
    }

    /**
     * Whether a response to a read would come too late to have any value, even in half of the mean latency. A read that
     * has just arrived is always tried.
     */
    boolean isTooLateForRead(long nowUs, PendingRequest request) {
        boolean justArrived = request.attempts == 0 && nowUs <= request.arrivedUs;
        return !justArrived && nowUs + latencies.meanUs(request.classIndex()) / 2 > usefulUntilUs(request);
    }

    /** The time until which a response has value: the deadline, or the objective if late responses have none. */
    private static long usefulUntilUs(PendingRequest request) {
        return request.requestClass.lateWeight() > 0
                ? request.original.deadlineUs()
                : Math.min(request.original.deadlineUs(), request.onTimeUntilUs());
    }

    /** Records the end of an attempt that may have run; from now on the rules for running again apply. */
    void recordUncertainAttempt(PendingRequest request, MemberState member) {
        if (request.mayHaveRun) {
            return;
        }
        request.mayHaveRun = true;
        request.firstUncertainSendUs = request.sentAtUs;
        request.deduplicationZone = isKeyedWithinZone(request.requestClass) ? member.zone : PendingRequest.ANY_ZONE;
    }

    private static boolean isKeyedWithinZone(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.KEYED
                && requestClass.deduplicationScope() == DeduplicationScope.ZONE;
    }

    /** Whether a request may be retried after this outcome; takes a token if the attempt may have run. */
    boolean admitRetry(long nowUs, PendingRequest request, Outcome outcome) {
        if (isExhausted(nowUs, request)) {
            return false;
        }
        return outcome.provesNotRun || takeToken(request);
    }

    /**
     * Takes a token; returns whether the request may be retried. An idempotent request needs a whole token. A keyed one
     * may always be retried: it takes a token, or empties the bucket if less than a token is left.
     */
    private boolean takeToken(PendingRequest request) {
        if (tokens < 1 && request.requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    /** Delays the retry of a write that the primary rejected or may have executed, with exponential backoff. */
    void backOff(long nowUs, PendingRequest request, Outcome outcome) {
        if (outcome == Outcome.REJECTED || !outcome.provesNotRun) {
            long backoffUs = BACKOFF_BASE_US << Math.min(request.attempts, MAX_DOUBLINGS);
            request.notBeforeUs = nowUs + backoffUs;
        }
    }

    /** Whether the client may send the request again: no attempt can have run, or running again is harmless. */
    static boolean isClientRetryHarmless(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return !request.mayHaveRun
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    /**
     * Timeout of a write attempt: the time after which its member counts as silent, at least the latency objective, if
     * the write can be retried then and the member is not busy; else the time to the deadline.
     *
     * @param utilization the member's last reported utilization, or {@link SlowStart#NO_REPORT}
     */
    long writeTimeoutUs(long nowUs, PendingRequest request, MemberState member, double utilization) {
        long leftUs = request.original.deadlineUs() - nowUs;
        if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT || isBusy(member, utilization)) {
            return leftUs;
        }
        double silenceUs = OutlierDetector.SILENCE_FACTOR * expectedLatencyUs(nowUs, request, member);
        long timeoutUs = (long) Math.max((double) request.requestClass.latencyObjectiveUs(), silenceUs);
        return mayRetryAt(nowUs + timeoutUs, nowUs, request) ? Math.min(leftUs, timeoutUs) : leftUs;
    }

    /**
     * Whether a primary reports high utilization or, if it reports none, has recently been late. A retry at a busy
     * primary would only add to its work.
     */
    private static boolean isBusy(MemberState member, double utilization) {
        return utilization >= BUSY_UTILIZATION
                || (utilization == SlowStart.NO_REPORT && member.window.isBelowInitial());
    }

    /** Whether a write that is sent now may be retried at {@code timeUs}. */
    private boolean mayRetryAt(long timeUs, long nowUs, PendingRequest request) {
        if (request.attempts + 1 >= request.maxAttempts) {
            return false;
        }
        long keyUsedAtUs = request.mayHaveRun ? request.firstUncertainSendUs : nowUs;
        return request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || timeUs + recheckIntervalUs < keyUsedAtUs + request.requestClass.deduplicationWindowUs();
    }

    /**
     * Timeout of a read attempt. It is at most the time to the deadline or, at a member whose concurrency window has
     * its minimum size, the time in which a response has value, as nothing else bounds that member's queue. It is
     * shortened to leave time for a retry at another member if that can be on time and a token for it is available.
     */
    long readTimeoutUs(long nowUs, PendingRequest request, MemberState member) {
        long untilUs = member.window.isAtMinimum() ? usefulUntilUs(request) : request.original.deadlineUs();
        long leftUs = untilUs - nowUs;
        double expectedUs = expectedLatencyUs(nowUs, request, member);
        double spareUs = request.onTimeUntilUs() - nowUs - RETRY_LATENCY_FACTOR * expectedUs;
        boolean retryWouldBeOnTime = spareUs > OutlierDetector.SILENCE_FACTOR * expectedUs;
        return retryWouldBeOnTime && tokens >= 1 ? (long) Math.min((double) leftUs, spareUs) : leftUs;
    }

    private double expectedLatencyUs(long nowUs, PendingRequest request, MemberState member) {
        return member.outliers.expectedLatencyUs(nowUs, latencies.meanUs(request.classIndex()));
    }
}
