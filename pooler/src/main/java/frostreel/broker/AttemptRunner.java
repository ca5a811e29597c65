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
 * Runs the attempts of requests on the back end, ends them in time, and reports each one's outcome to the router.
 * Used on the I/O thread alone.
 */
final class AttemptRunner {
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final EventLog log;
    private final BackEnd backEnd;
    private final Router router;
    private final WriteObserver writeObserver;
    private final RequestTable requests;
    private final EventQueue events;
    private final Consumer<ActiveRequest> onClientGone;

    /** {@code onClientGone}: withdraws a request whose client turns out to have disconnected. */
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
            Consumer<ActiveRequest> onClientGone) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.log = log;
        this.backEnd = backEnd;
        this.router = router;
        this.writeObserver = writeObserver;
        this.requests = requests;
        this.events = events;
        this.onClientGone = onClientGone;
    }

    /**
     * Starts the next attempt of an unanswered request. Whatever the router asks for, there are never two attempts in
     * flight, none past the limit, the deadline or the time in which a retry is safe, and none for a client that has
     * disconnected: such an attempt is reported as not sent.
     */
    void start(ActiveRequest request, String memberId, long timeoutUs) {
        int attempt = request.attempts++;
        long now = clock.now();
        long leftUs = Math.min(timeoutUs, request.attributes.deadlineUs() - now);
        if (request.hasAttemptInFlight() || attempt >= request.maxAttempts || leftUs <= 0 || !mayBegin(request)) {
            events.run(() -> reportNotSent(request, attempt, memberId));
            return;
        }
        counters.attemptsStarted++;
        request.memberId = memberId;
        request.sentUs = now;
        if (request.requestClass.access() == Router.Access.WRITE) {
            writeObserver.onSent(now, request.attributes.session(), request.attributes.deadlineUs());
        }
        request.attemptHandle = backEnd.start(memberId, request.payload, leftUs, listener(request, attempt));
        startTimeout(request, attempt, now, leftUs);
    }

    /** Asked right before an attempt's first byte: what its client did may not have been read until then. */
    private boolean mayBegin(ActiveRequest request) {
        if (request.answered || clock.now() >= request.beginByUs()) {
            return false;
        }
        boolean connected = request.handler.isClientConnected();
        if (!connected) {
            events.run(() -> onClientGone.accept(request));
        }
        return connected && !request.answered;
    }

    private void onEnded(ActiveRequest request, int attempt, BackEnd.Result result) {
        long now = clock.now();
        deadlines.cancel(request.attemptTimeout);
        request.attemptHandle = SlotTable.NONE;
        counters.countOutcome(result.outcome());
        request.lastOutcome = result.outcome();
        if (result.outcome() != Outcome.OK) {
            log.record(EventLog.Kind.ATTEMPT_FAILED, () -> request.describe(clock.now()));
        }
        if (!result.outcome().provesNotRun) {
            request.firstMaybeRunUs = Math.min(request.firstMaybeRunUs, request.sentUs);
        }
        if (request.streaming) {
            endStream(request, result);
            return;
        }
        reportWriteEnded(now, request, result.outcome(), result.positionUs());
        if (result.outcome() == Outcome.OK && !request.answered) {
            request.close(deadlines);
            counters.requestsServed++;
            request.handler.served(result.answer());
        }
        router.onOutcome(
                now,
                request.id,
                attempt,
                request.memberId,
                result.outcome(),
                request.answered,
                now - request.sentUs,
                result.role(),
                result.positionUs(),
                result.report());
        requests.removeIfDone(request);
    }

    private void endStream(ActiveRequest request, BackEnd.Result result) {
        if (result.outcome() == Outcome.OK) {
            request.handler.served(result.answer());
        } else {
            counters.streamedResponsesBroken++;
            request.handler.responseBroken();
        }
        requests.removeIfDone(request);
    }

    /** Called before the answer: once its client has that, it may read through another process. */
    private void reportWriteEnded(long now, ActiveRequest request, Outcome outcome, long positionUs) {
        if (request.requestClass.access() == Router.Access.WRITE) {
            writeObserver.onEnded(
                    now, request.attributes.session(), request.attributes.deadlineUs(), outcome, positionUs);
        }
    }

    /** A long response that has begun is final; the router is notified of the time to its first bytes. */
    private BackEnd.ResponseStream longResponseBegins(
            ActiveRequest request, int attempt, BackEnd.ResponseSource source) {
        if (request.answered || !request.isLatestAttempt(attempt)) {
            return null;
        }
        long now = clock.now();
        request.close(deadlines);
        deadlines.cancel(request.attemptTimeout);
        request.streaming = true;
        counters.requestsServed++;
        counters.responsesStreamed++;
        reportWriteEnded(now, request, Outcome.OK, 0);
        BackEnd.ResponseStream stream = request.handler.longResponseBegins(source);
        events.run(() -> router.onOutcome(
                now,
                request.id,
                attempt,
                request.memberId,
                Outcome.OK,
                true,
                now - request.sentUs,
                Router.Role.UNKNOWN,
                0,
                null));
        return stream;
    }

    /** An attempt that never reached its server counts as not sent, which proves that it was not executed. */
    void stop(ActiveRequest request, int attempt, Outcome outcome) {
        if (request.hasAttemptInFlight() && request.isLatestAttempt(attempt) && !request.streaming) {
            boolean reached = backEnd.abandon(request.attemptHandle);
            onEnded(request, attempt, BackEnd.Result.of(reached ? outcome : Outcome.NOT_SENT));
        }
    }

    private void reportNotSent(ActiveRequest request, int attempt, String memberId) {
        router.onOutcome(
                clock.now(),
                request.id,
                attempt,
                memberId,
                Outcome.NOT_SENT,
                request.answered,
                0,
                Router.Role.UNKNOWN,
                0,
                null);
    }

    private BackEnd.AttemptListener listener(ActiveRequest request, int attempt) {
        return new BackEnd.AttemptListener() {
            @Override
            public void ended(BackEnd.Result result) {
                events.run(() -> AttemptRunner.this.onEnded(request, attempt, result));
            }

            @Override
            public BackEnd.ResponseStream longResponseBegins(BackEnd.ResponseSource source) {
                return AttemptRunner.this.longResponseBegins(request, attempt, source);
            }

            @Override
            public boolean mayBegin() {
                return router.mayStillBegin(clock.now(), request.id) && AttemptRunner.this.mayBegin(request);
            }
        };
    }

    /** An attempt that has not begun when it no longer may ends then; one that has begun, after all its time. */
    private void startTimeout(ActiveRequest request, int attempt, long nowUs, long leftUs) {
        long beginWithinUs = Math.min(leftUs, request.beginByUs() - nowUs);
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
}
