package frostreel.routing;

import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.RequestClass;

/**
 * Decides whether and when a request may be tried again, and how long one attempt may take. Retries of attempts
 * that may have run are paid from a token bucket that the arriving requests fill, so that retries never
 * multiply an overload.
 */
final class RetryPolicy {
    /** Tokens that each arriving request adds; a retry after an attempt that may have run takes one. */
    private static final double TOKENS_PER_REQUEST = 0.2;
    /** The most tokens that are kept for later. */
    private static final double MOST_TOKENS = 10;
    /** First backoff of a write in microseconds; a primary that is merely full takes one within that time. */
    private static final long FIRST_BACKOFF_US = 25_000;
    /** How often the backoff may double. */
    private static final int MOST_DOUBLINGS = 5;
    /**
     * Part of its time that a request waits at the most before its first attempt: after that its client does better
     * to try another router.
     */
    private static final double MOST_WAIT = 0.45;
    /** A primary that reports this utilization is busy rather than silent. */
    private static final double BUSY_UTILIZATION = 0.9;
    /** A retried read should still be on time, if it takes this many times the expected latency. */
    private static final double RETRY_LATENCY_FACTOR = 1.5;
    /** A request must have time for this many rechecks, as the next one may come late. */
    private static final int RECHECKS_LEFT = 2;

    private final long recheckIntervalUs;
    private final ClassLatencies latencies;
    private double tokens = MOST_TOKENS;

    RetryPolicy(long recheckIntervalUs, ClassLatencies latencies) {
        this.recheckIntervalUs = recheckIntervalUs;
        this.latencies = latencies;
    }

    /** A request arrived. */
    void recordArrival() {
        tokens = Math.min(MOST_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    /** Whether nothing more may be tried: time, attempts or the window of the idempotency key have run out. */
    boolean isExhausted(long nowUs, PendingRequest request) {
        return recheckedByUs(nowUs) >= request.original.deadlineUs()
                || request.attempts >= request.maxAttempts
                || (request.mayHaveRun && !mayRunTwice(nowUs, request));
    }

    /** By when a request that has to wait now is rechecked at the latest. */
    private long recheckedByUs(long nowUs) {
        return nowUs + RECHECKS_LEFT * recheckIntervalUs;
    }

    private boolean mayRunTwice(long nowUs, PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case KEYED -> nowUs + recheckIntervalUs <= request.firstUncertainSendUs + requestClass.windowUs();
            case NON_IDEMPOTENT -> false;
        };
    }

    /** Whether a request that has had no attempt yet has waited for too much of its time. */
    boolean hasWaitedTooLong(long nowUs, PendingRequest request) {
        double mostWaitUs = MOST_WAIT * (request.original.deadlineUs() - request.arrivedUs);
        return request.attempts == 0 && recheckedByUs(nowUs) > request.arrivedUs + mostWaitUs;
    }

    /**
     * Whether a read would be answered when that has no value any more, even in half of the usual time. One that
     * has just arrived is tried in any case.
     */
    boolean isTooLateForRead(long nowUs, PendingRequest request) {
        boolean justArrived = request.attempts == 0 && nowUs <= request.arrivedUs;
        return !justArrived && nowUs + latencies.meanUs(request.classIndex()) / 2 > usefulUntilUs(request);
    }

    /** Until when an answer has any value: until the deadline, or the objective where late answers have none. */
    private static long usefulUntilUs(PendingRequest request) {
        return request.requestClass.lateWeight() > 0
                ? request.original.deadlineUs()
                : Math.min(request.original.deadlineUs(), request.objectiveUs());
    }

    /** An attempt ended that may have run: from now on the rules for running twice bind. */
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

    /** Whether a request may be tried again after this outcome; if so, a token is taken where it costs one. */
    boolean admitRetry(long nowUs, PendingRequest request, Outcome outcome) {
        if (isExhausted(nowUs, request)) {
            return false;
        }
        return outcome.provesNotRun || takeToken(request);
    }

    /** Takes a token; only keyed writes may be retried without a whole one. */
    private boolean takeToken(PendingRequest request) {
        if (tokens < 1 && request.requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return false;
        }
        tokens = Math.max(0, tokens - 1);
        return true;
    }

    /** Delays the retry of a write that the primary rejected or may have run, exponentially. */
    void backOff(long nowUs, PendingRequest request, Outcome outcome) {
        if (outcome == Outcome.REJECTED || !outcome.provesNotRun) {
            long backoffUs = FIRST_BACKOFF_US << Math.min(request.attempts, MOST_DOUBLINGS);
            request.notBeforeUs = nowUs + backoffUs;
        }
    }

    /** Whether its client may send the request again although an attempt may have run. */
    static boolean isClientRetryHarmless(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        return !request.mayHaveRun
                || requestClass.idempotency() == Idempotency.IDEMPOTENT
                || (requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL);
    }

    /**
     * How long an attempt of a write may take: until its member counts as silent, if the write can be retried then,
     * else until the deadline.
     *
     * @param utilization as the member last reported it, or {@link SlowStart#NO_REPORT}
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
     * Whether a primary reports itself busy, or reports nothing and has recently been late. A busy primary is not a
     * silent one: the same write again would only add to its work.
     */
    private static boolean isBusy(MemberState member, double utilization) {
        return utilization >= BUSY_UTILIZATION
                || (utilization == SlowStart.NO_REPORT && member.window.isBelowInitial());
    }

    /** Whether a write that is sent now may be sent again at that time. */
    private boolean mayRetryAt(long timeUs, long nowUs, PendingRequest request) {
        if (request.attempts + 1 >= request.maxAttempts) {
            return false;
        }
        long keyUsedAtUs = request.mayHaveRun ? request.firstUncertainSendUs : nowUs;
        return request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || timeUs + recheckIntervalUs < keyUsedAtUs + request.requestClass.windowUs();
    }

    /**
     * How long an attempt of a read may take: until a retry elsewhere could just be on time. At the smallest
     * window no read is kept waiting at the member beyond its use, as nothing else bounds the queue there.
     */
    long readTimeoutUs(long nowUs, PendingRequest request, MemberState member) {
        long untilUs = member.window.isAtMinimum() ? usefulUntilUs(request) : request.original.deadlineUs();
        long leftUs = untilUs - nowUs;
        double expectedUs = expectedLatencyUs(nowUs, request, member);
        double spareUs = request.objectiveUs() - nowUs - RETRY_LATENCY_FACTOR * expectedUs;
        boolean retryWouldBeOnTime = spareUs > OutlierDetector.SILENCE_FACTOR * expectedUs;
        return retryWouldBeOnTime && tokens >= 1 ? (long) Math.min((double) leftUs, spareUs) : leftUs;
    }

    private double expectedLatencyUs(long nowUs, PendingRequest request, MemberState member) {
        return member.outliers.expectedLatencyUs(nowUs, latencies.meanUs(request.classIndex()));
    }
}
