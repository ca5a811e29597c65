package frostreel.broker;

import frostreel.log.EventLog;
import frostreel.operation.WriteObserver;
import frostreel.request.BackEnd;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.stats.Counters;
import frostreel.time.Clock;
import frostreel.time.Deadlines;
import frostreel.util.SlotTable;
import java.util.function.Consumer;

/**
 * Runs attempts on the back end, applies their timeouts, and reports the outcome of each to the router. Used only on
 * the I/O thread.
 */
final class AttemptRunner {
    /** Commit position of an attempt for which the server reported none. */
    private static final long NO_POSITION = 0;

    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final EventLog log;
    private final BackEnd backEnd;
    private final Router router;
    private final WriteObserver writeObserver;
    private final RequestTable requests;
    private final EventQueue events;
    private final Consumer<ActiveRequest> onDisconnect;

    /** {@code onDisconnect} withdraws a request whose client has disconnected. */
    AttemptRunner(
            Clock clock,
            Deadlines deadlines,
            Counters counters,
            EventLog log,
            BackEnd backEnd,
            Router router,
            WriteObserver writeObserver,
            RequestTable requests,
            EventQueue events,
            Consumer<ActiveRequest> onDisconnect) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.log = log;
        this.backEnd = backEnd;
        this.router = router;
        this.writeObserver = writeObserver;
        this.requests = requests;
        this.events = events;
        this.onDisconnect = onDisconnect;
    }

    /** Forwards the events of one attempt. */
    private final class RunningAttempt implements BackEnd.AttemptListener {
        private final ActiveRequest request;
        private final int attempt;

        RunningAttempt(ActiveRequest request, int attempt) {
            this.request = request;
            this.attempt = attempt;
        }

        @Override
        public void ended(BackEnd.Result result) {
            events.run(() -> {
                if (isInFlight(request, attempt)) { // It may have been abandoned by an event before this one.
                    onEnded(request, attempt, result);
                }
            });
        }

        @Override
        public BackEnd.ResponseStream longResponseBegins(BackEnd.ResponseSource source) {
            return onLongResponse(request, attempt, source);
        }

        @Override
        public boolean mayBegin() {
            // The router is asked last: looking for a disconnect may run events, which may also end this attempt.
            return requestAllowsAttempt(request)
                    && isInFlight(request, attempt)
                    && router.mayStillBegin(clock.now(), request.routerId);
        }
    }

    private static boolean isInFlight(ActiveRequest request, int attempt) {
        return request.hasAttemptInFlight() && request.isLatestAttempt(attempt);
    }

    // ---- Start of an attempt. ----

    /**
     * Starts the next attempt of an open request. An attempt is not sent, and is reported to the router as such, if
     * another attempt of the request is in flight, the limit on attempts is reached, the deadline or the period in
     * which a retry is safe is over, or the client has disconnected.
     */
    void start(ActiveRequest request, String memberId, long timeoutUs) {
        int attempt = request.attemptCount++;
        long now = clock.now();
        long leftUs = Math.min(timeoutUs, request.attributes.deadlineUs() - now);
        boolean admissible = !request.hasAttemptInFlight() && attempt < request.maxAttempts && leftUs > 0;
        if (!admissible || !requestAllowsAttempt(request)) {
            events.run(() -> reportNotSent(request, attempt, memberId));
            return;
        }
        counters.attemptsStarted++;
        request.lastMemberId = memberId;
        request.lastSentUs = now;
        requests.recordAttempt(request);
        if (request.isWrite()) {
            writeObserver.onSent(now, request.attributes.session(), request.attributes.deadlineUs());
        }
        request.attemptHandle = backEnd.start(memberId, request.payload, leftUs, new RunningAttempt(request, attempt));
        startTimeout(request, attempt, now, leftUs);
    }

    /** Whether an attempt may begin now. Also detects a disconnect of the client that no event has reported yet. */
    private boolean requestAllowsAttempt(ActiveRequest request) {
        if (request.closed || clock.now() >= request.noAttemptFromUs()) {
            return false;
        }
        boolean connected = request.handler.isClientConnected();
        if (!connected) {
            events.run(() -> onDisconnect.accept(request));
        }
        return connected && !request.closed;
    }

    /** Schedules the end of the attempt: at its timeout, or when it may no longer begin if it has not begun by then. */
    private void startTimeout(ActiveRequest request, int attempt, long nowUs, long leftUs) {
        long beginWithinUs = Math.min(leftUs, request.noAttemptFromUs() - nowUs);
        request.attemptTimeout = deadlines.after(
                beginWithinUs,
                () -> events.run(() -> {
                    if (beginWithinUs < leftUs && backEnd.hasBegun(request.attemptHandle)) {
                        request.attemptTimeout = deadlines.after(
                                leftUs - beginWithinUs,
                                () -> events.run(() -> stop(request, attempt, Outcome.TIMEOUT)));
                    } else {
                        stop(request, attempt, Outcome.TIMEOUT);
                    }
                }));
    }

    // ---- End of an attempt. ----

    /** Stops the latest attempt, if it is in flight and no long response has begun. */
    void stopLatest(ActiveRequest request, Outcome outcome) {
        stop(request, request.attemptCount - 1, outcome);
    }

    /**
     * Stops this attempt, if it is in flight and no long response has begun. If it cannot have reached its server, it
     * ends as not sent, which proves that it was not executed. If it has ended already, it ends with its own result, in
     * a later event.
     */
    void stop(ActiveRequest request, int attempt, Outcome outcome) {
        if (!isInFlight(request, attempt) || request.streaming) {
            return;
        }
        switch (backEnd.abandon(request.attemptHandle)) {
            case ALREADY_ENDED -> {}
            case NOT_SENT -> onEnded(request, attempt, BackEnd.Result.of(Outcome.NOT_SENT));
            case MAY_HAVE_REACHED_SERVER -> onEnded(request, attempt, BackEnd.Result.of(outcome));
        }
    }

    private void onEnded(ActiveRequest request, int attempt, BackEnd.Result reported) {
        long now = clock.now();
        BackEnd.Result result = dropIfTooOld(now, request, reported);
        recordOutcome(request, result.outcome());
        if (request.streaming) {
            endStream(request, result);
            return;
        }
        reportWriteEnded(now, request, result.outcome(), result.positionUs());
        if (result.outcome() == Outcome.OK && !request.closed) {
            request.markClosed(deadlines);
            counters.requestsServed++;
            request.handler.served(result.response());
        }
        router.onOutcome(
                now,
                request.routerId,
                attempt,
                request.lastMemberId,
                result.outcome(),
                request.closed,
                now - request.lastSentUs,
                result.role(),
                result.positionUs(),
                result.report());
        requests.removeIfDone(request);
    }

    /** Returns the result without its response if the response may be too old for the client, which is not served. */
    private BackEnd.Result dropIfTooOld(long nowUs, ActiveRequest request, BackEnd.Result result) {
        boolean isForClient = result.outcome() == Outcome.OK && !request.closed;
        if (!isForClient || router.mayServe(nowUs, request.routerId, result.role(), result.positionUs())) {
            return result;
        }
        counters.responsesTooOld++;
        // An idempotent read may be repeated as freely as one that was declined; any other one has run.
        boolean isIdempotent = request.requestClass.idempotency() == Router.Idempotency.IDEMPOTENT;
        Outcome outcome = isIdempotent ? Outcome.WRONG_ROLE_OR_STALE : Outcome.CANCELLED;
        return new BackEnd.Result(outcome, result.role(), result.positionUs(), result.report(), null);
    }

    private void recordOutcome(ActiveRequest request, Outcome outcome) {
        deadlines.cancel(request.attemptTimeout);
        request.attemptHandle = SlotTable.NONE;
        request.lastOutcome = outcome;
        counters.countOutcome(outcome);
        if (outcome != Outcome.OK) {
            log.record(EventLog.Kind.ATTEMPT_FAILED, () -> request.describe(clock.now()));
        }
        if (!outcome.provesNotRun) {
            request.firstMaybeExecutedUs = Math.min(request.firstMaybeExecutedUs, request.lastSentUs);
        }
    }

    /** Called before the response is passed on, as its client may then read through another process. */
    private void reportWriteEnded(long nowUs, ActiveRequest request, Outcome outcome, long positionUs) {
        if (request.isWrite()) {
            writeObserver.onEnded(
                    nowUs, request.attributes.session(), request.attributes.deadlineUs(), outcome, positionUs);
        }
    }

    private void reportNotSent(ActiveRequest request, int attempt, String memberId) {
        router.onOutcome(
                clock.now(),
                request.routerId,
                attempt,
                memberId,
                Outcome.NOT_SENT,
                request.closed,
                0,
                Router.Role.UNKNOWN,
                NO_POSITION,
                null);
    }

    // ---- Long responses. ----

    /** Closes the request, as a response that has begun is final; the router gets the time to the first bytes. */
    private BackEnd.ResponseStream onLongResponse(ActiveRequest request, int attempt, BackEnd.ResponseSource source) {
        if (request.closed || !request.isLatestAttempt(attempt)) {
            return null;
        }
        long now = clock.now();
        if (!router.mayServe(now, request.routerId, Router.Role.UNKNOWN, NO_POSITION)) {
            counters.responsesTooOld++;
            return null; // The attempt ends as cancelled.
        }
        request.markClosed(deadlines);
        deadlines.cancel(request.attemptTimeout);
        request.streaming = true;
        counters.requestsServed++;
        counters.responsesStreamed++;
        reportWriteEnded(now, request, Outcome.OK, NO_POSITION);
        BackEnd.ResponseStream stream = request.handler.longResponseBegins(source);
        events.run(() -> router.onOutcome(
                now,
                request.routerId,
                attempt,
                request.lastMemberId,
                Outcome.OK,
                true,
                now - request.lastSentUs,
                Router.Role.UNKNOWN,
                NO_POSITION,
                null));
        return stream;
    }

    private void endStream(ActiveRequest request, BackEnd.Result result) {
        if (result.outcome() == Outcome.OK) {
            request.handler.served(result.response());
            router.onLongResponseEnded(clock.now(), request.lastMemberId, result.role(), result.positionUs());
        } else {
            counters.streamedResponsesBroken++;
            request.handler.responseBroken();
        }
        requests.removeIfDone(request);
    }
}
