package frostreel.broker;

import frostreel.log.EventLog;
import frostreel.operation.WriteObserver;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.stats.Counters;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Owns the requests: hands events to the decision module and carries its actions out. It knows no protocol: a
 * front
 * end hands in opaque bytes, a {@link BackEnd} reports outcomes. It runs on the I/O thread alone.
 */
public final class Broker implements Router.Actions {
    /** What the decisions need of a request; {@code id} is its own name, as its sender gave it. */
    public record RequestAttributes(
            String id, int cls, long session, int group, long deadlineUs, long sinceWriteUs, boolean repeated) {}

    private static final class ActiveRequest {
        final RequestAttributes attributes;
        final Payload payload;
        final ResponseHandler handler;
        long handle;
        String id;
        boolean answered;
        /** Its answer has begun, and goes on as it comes. */
        boolean streaming;

        final Router.RequestClass requestClass;
        final int maxAttempts;
        int attempts;
        long attemptHandle = SlotTable.NONE;
        String memberId;
        long sentUs;
        /** How the last attempt ended, null while none has. */
        Outcome lastOutcome;
        /** When the first attempt was sent that may have run; {@code Long.MAX_VALUE} while none was. */
        long firstMaybeRunUs = Long.MAX_VALUE;

        Deadlines.Deadline attemptTimeout;
        Deadlines.Deadline overdueTimeout;

        ActiveRequest(
                RequestAttributes attributes,
                Payload payload,
                ResponseHandler handler,
                Router.RequestClass requestClass,
                int maxAttempts) {
            this.requestClass = requestClass;
            this.maxAttempts = maxAttempts;
            this.attributes = attributes;
            this.payload = payload;
            this.handler = handler;
        }

        /** From when on no attempt of it may begin: its deadline, or the end of what may be repeated. */
        long beginByUs() {
            if (firstMaybeRunUs == Long.MAX_VALUE || requestClass.idempotency() == Router.Idempotency.IDEMPOTENT) {
                return attributes.deadlineUs();
            }
            return requestClass.idempotency() == Router.Idempotency.NON_IDEMPOTENT
                    ? firstMaybeRunUs
                    : Math.min(attributes.deadlineUs(), firstMaybeRunUs + requestClass.windowUs());
        }
    }

    /**
     * After its deadline by this share of the slack that the rules leave an answer, a request that the module
     * left unanswered is answered here; the rest is for the answer's way.
     */
    private static final double OVERDUE_SHARE = 0.75;

    private static final Logger LOG = Logger.getLogger(Broker.class.getName());
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final EventLog log;
    private final BackEnd backEnd;
    private final Router router;
    private final WriteObserver writeObserver;
    private Router.Settings settings;
    private final SlotTable<ActiveRequest> requests;
    private final Set<Integer> knownGroups = new HashSet<>();
    private final Set<String> senderIds = new HashSet<>();
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean inEvent;

    public Broker(
            Clock clock,
            Deadlines deadlines,
            Counters counters,
            BackEnd backEnd,
            Router.Settings settings,
            int maxRequests,
            BiFunction<Router.Settings, Router.Actions, Router> routerFactory) {
        this(
                clock,
                deadlines,
                counters,
                EventLog.silent(),
                backEnd,
                settings,
                maxRequests,
                routerFactory,
                WriteObserver.NONE);
    }

    /** {@code writeObserver}: is notified of the writes, for the processes that serve beside this one. */
    public Broker(
            Clock clock,
            Deadlines deadlines,
            Counters counters,
            EventLog log,
            BackEnd backEnd,
            Router.Settings settings,
            int maxRequests,
            BiFunction<Router.Settings, Router.Actions, Router> routerFactory,
            WriteObserver writeObserver) {
        this.writeObserver = writeObserver;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.log = log;
        this.backEnd = backEnd;
        this.settings = settings;
        this.requests = new SlotTable<>(maxRequests);
        this.router = routerFactory.apply(settings, this);
    }

    /**
     * Events are handed in one after another: an action taken inside one may cause the next, which must not
     * reach
     * the module before it has returned.
     */
    private void run(Runnable event) {
        events.add(event);
        if (inEvent) {
            return;
        }
        inEvent = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                try {
                    next.run();
                } catch (RuntimeException | Error e) {
                    // A fault in one event must not end the process; its request meets the overdue deadline.
                    counters.strayExceptions++;
                    LOG.log(Level.SEVERE, "an event failed", e);
                }
            }
        } finally {
            inEvent = false;
        }
    }

    // ---- From the front end and from discovery. ----

    /** New settings hold for requests from now on; those in hand keep what they came with. */
    public void updateSettings(Router.Settings settings) {
        this.settings = settings;
        run(() -> router.onSettings(settings));
    }

    /** When to come back, as a refusal may tell it: the settings' most at most, 0 where they allow none. */
    public long retryAfterUs(long wantedUs) {
        Router.Limits limits = settings.limits();
        return limits.retryAfterAllowed() ? Math.min(wantedUs, limits.maxRetryAfterUs()) : 0;
    }

    /** Whether a request of that name is open, or an attempt of it still out: another would be a second. */
    public boolean isActive(String senderId) {
        return senderIds.contains(senderId);
    }

    /** Takes a request; its caller may be answered before this returns. */
    public long submit(RequestAttributes attributes, Payload payload, ResponseHandler handler) {
        counters.requests++;
        ActiveRequest request = new ActiveRequest(
                attributes,
                payload,
                handler,
                settings.classes().get(attributes.cls()),
                settings.limits().maxAttempts());
        request.handle = requests.add(request);
        if (request.handle == SlotTable.NONE || !knownGroups.contains(attributes.group())) {
            requests.remove(request.handle);
            counters.refused++;
            handler.rejected(0);
            return SlotTable.NONE;
        }
        senderIds.add(attributes.id());
        request.id = Long.toString(request.handle);
        request.overdueTimeout = deadlines.at(
                attributes.deadlineUs() + (long) (settings.rules().answerSlackUs() * OVERDUE_SHARE),
                () -> run(() -> onOverdue(request)));
        run(() -> router.onRequest(
                clock.now(),
                new Router.Request(
                        request.id,
                        attributes.cls(),
                        attributes.session(),
                        attributes.group(),
                        attributes.deadlineUs(),
                        attributes.sinceWriteUs(),
                        attributes.repeated())));
        return request.handle;
    }

    /** The caller went away; a stale handle does nothing. */
    public void onClientDisconnected(long handle) {
        run(() -> {
            ActiveRequest request = requests.get(handle);
            if (request != null && request.streaming) {
                counters.longBroken++;
                backEnd.abandon(request.attemptHandle);
                request.attemptHandle = SlotTable.NONE;
                removeIfDone(request);
            } else if (request != null) {
                withdrawForGoneClient(request);
            }
        });
    }

    private void withdrawForGoneClient(ActiveRequest request) {
        if (!request.answered) {
            counters.clientsGone++;
            log.tell(EventLog.Kind.REQUEST_WITHDRAWN, () -> describe(request) + ": its client has gone");
            withdraw(request);
        }
    }

    /**
     * The caller withdraws its request, and gets its one answer; nothing is done where it has that, or the
     * beginning of it, already.
     */
    public void onClientCancelled(long handle) {
        run(() -> {
            ActiveRequest request = requests.get(handle);
            if (request != null && !request.answered) {
                counters.clientsCancelled++;
                log.tell(EventLog.Kind.REQUEST_WITHDRAWN, () -> describe(request) + ": cancelled by its client");
                withdraw(request);
                request.handler.cancelled();
            }
        });
    }

    /** Nobody wants it any more: an attempt that has not begun never does, whatever the module may cancel. */
    private void withdraw(ActiveRequest request) {
        close(request);
        router.onClientDisconnected(clock.now(), request.id);
        if (request.attemptHandle != SlotTable.NONE && !backEnd.hasBegun(request.attemptHandle)) {
            stopAttempt(request, request.attempts - 1, Outcome.CANCELLED);
        }
        removeIfDone(request);
    }

    public void updateMembers(Router.ListKind kind, List<Router.Member> members) {
        members.forEach(member -> knownGroups.add(member.group()));
        run(() -> router.onMembers(clock.now(), kind, members));
    }

    /** Requests taken and not yet answered. */
    public int openRequests() {
        int[] count = {0};
        requests.forEach(request -> count[0] += request.answered ? 0 : 1);
        return count[0];
    }

    /** What is known of a request, for the log: its own id, its attempts and its time. */
    private String describe(ActiveRequest request) {
        return "request " + request.attributes.id() + " of class " + request.requestClass.name() + ", attempts "
                + request.attempts
                + (request.attempts == 0
                        ? ""
                        : ", last to " + request.memberId
                                + (request.attemptHandle != SlotTable.NONE
                                        ? " and out"
                                        : " ended " + request.lastOutcome))
                + ", left " + (request.attributes.deadlineUs() - clock.now()) / 1000 + " ms";
    }

    // ---- What ends a request. ----

    private void close(ActiveRequest request) {
        request.answered = true;
        deadlines.cancel(request.overdueTimeout);
    }

    /** An answered request keeps its slot until its attempt has ended. */
    private void removeIfDone(ActiveRequest request) {
        if (request.answered && request.attemptHandle == SlotTable.NONE) {
            requests.remove(request.handle);
            senderIds.remove(request.attributes.id());
        }
    }

    private void onOverdue(ActiveRequest request) {
        if (!request.answered) {
            counters.overdue++;
            log.tell(EventLog.Kind.REQUEST_OVERDUE, () -> describe(request) + ": left open by the decisions");
            close(request);
            request.handler.failed();
            router.onClientDisconnected(clock.now(), request.id);
            removeIfDone(request);
        }
    }

    /** Looked at right before an attempt's first byte, as what its client did may stand unread until then. */
    private boolean mayBegin(ActiveRequest request) {
        if (request.answered || clock.now() >= request.beginByUs()) {
            return false;
        }
        boolean connected = request.handler.isClientConnected();
        if (!connected) {
            run(() -> withdrawForGoneClient(request));
        }
        return connected && !request.answered;
    }

    private void onAttemptEnded(ActiveRequest request, int attempt, BackEnd.Result result) {
        long now = clock.now();
        deadlines.cancel(request.attemptTimeout);
        request.attemptHandle = SlotTable.NONE;
        counters.outcome(result.outcome());
        request.lastOutcome = result.outcome();
        if (result.outcome() != Outcome.OK) {
            log.tell(EventLog.Kind.ATTEMPT_FAILED, () -> describe(request));
        }
        if (!result.outcome().provesNotRun) {
            request.firstMaybeRunUs = Math.min(request.firstMaybeRunUs, request.sentUs);
        }
        if (request.streaming) {
            if (result.outcome() == Outcome.OK) {
                request.handler.served(result.answer());
            } else {
                counters.longBroken++;
                request.handler.responseBroken();
            }
            removeIfDone(request);
            return;
        }
        reportWriteEnded(now, request, result.outcome(), result.positionUs());
        if (result.outcome() == Outcome.OK && !request.answered) {
            close(request);
            counters.served++;
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
        removeIfDone(request);
    }

    /** Before the answer: its client may read through another process as soon as it has that. */
    private void reportWriteEnded(long now, ActiveRequest request, Outcome outcome, long positionUs) {
        if (request.requestClass.access() == Router.Access.WRITE) {
            writeObserver.onEnded(
                    now, request.attributes.session(), request.attributes.deadlineUs(), outcome, positionUs);
        }
    }

    /** An answer that has begun is the final one: the module hears of the time to its first bytes. */
    private BackEnd.ResponseStream longResponseBegins(
            ActiveRequest request, int attempt, BackEnd.ResponseSource source) {
        if (request.answered || attempt != request.attempts - 1) {
            return null;
        }
        long now = clock.now();
        close(request);
        deadlines.cancel(request.attemptTimeout);
        request.streaming = true;
        counters.served++;
        counters.longAnswers++;
        reportWriteEnded(now, request, Outcome.OK, 0);
        BackEnd.ResponseStream stream = request.handler.longResponseBegins(source);
        run(() -> router.onOutcome(
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

    // ---- What the module asks for; on a slot that was freed or used again nothing is done. ----

    private ActiveRequest requestById(String requestId) {
        return requests.get(Long.parseLong(requestId));
    }

    @Override
    public void send(String requestId, String memberId, long timeoutUs) {
        ActiveRequest request = requestById(requestId);
        if (request == null || request.answered) {
            return;
        }
        int attempt = request.attempts++;
        long now = clock.now();
        long leftUs = Math.min(timeoutUs, request.attributes.deadlineUs() - now);
        // Never two attempts in flight, none past the limit, the deadline or the repeats' end, none for a
        // client that has gone, whatever is asked for.
        if (request.attemptHandle != SlotTable.NONE
                || attempt >= request.maxAttempts
                || leftUs <= 0
                || !mayBegin(request)) {
            run(() -> router.onOutcome(
                    clock.now(),
                    request.id,
                    attempt,
                    memberId,
                    Outcome.NOT_SENT,
                    request.answered,
                    0,
                    Router.Role.UNKNOWN,
                    0,
                    null));
            return;
        }
        counters.attempts++;
        request.memberId = memberId;
        request.sentUs = now;
        if (request.requestClass.access() == Router.Access.WRITE) {
            writeObserver.onSent(now, request.attributes.session(), request.attributes.deadlineUs());
        }
        request.attemptHandle = backEnd.start(memberId, request.payload, leftUs, new BackEnd.AttemptListener() {
            @Override
            public void ended(BackEnd.Result result) {
                run(() -> Broker.this.onAttemptEnded(request, attempt, result));
            }

            @Override
            public BackEnd.ResponseStream longResponseBegins(BackEnd.ResponseSource source) {
                return Broker.this.longResponseBegins(request, attempt, source);
            }

            @Override
            public boolean mayBegin() {
                return router.mayStillBegin(clock.now(), request.id) && Broker.this.mayBegin(request);
            }
        });
        long beginWithinUs = Math.min(leftUs, request.beginByUs() - now);
        request.attemptTimeout = deadlines.after(
                beginWithinUs,
                () -> run(() -> {
                    if (beginWithinUs < leftUs && backEnd.hasBegun(request.attemptHandle)) {
                        request.attemptTimeout = deadlines.after(
                                leftUs - beginWithinUs,
                                () -> run(() -> stopAttempt(request, attempt, Outcome.TIMEOUT)));
                    } else {
                        stopAttempt(request, attempt, Outcome.TIMEOUT);
                    }
                }));
    }

    /** An attempt that never reached its server is moot: that proves that it never ran. */
    private void stopAttempt(ActiveRequest request, int attempt, Outcome outcome) {
        if (request.attemptHandle != SlotTable.NONE && attempt == request.attempts - 1 && !request.streaming) {
            boolean reached = backEnd.abandon(request.attemptHandle);
            onAttemptEnded(request, attempt, BackEnd.Result.of(reached ? outcome : Outcome.NOT_SENT));
        }
    }

    @Override
    public void cancel(String requestId, int attempt) {
        ActiveRequest request = requestById(requestId);
        if (request != null) {
            run(() -> stopAttempt(request, attempt, Outcome.CANCELLED));
        }
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        ActiveRequest request = requestById(requestId);
        if (request != null && !request.answered) {
            close(request);
            log.tell(
                    EventLog.Kind.REQUEST_REFUSED,
                    () -> describe(request) + ": to come back in " + retryAfterUs / 1000 + " ms");
            counters.refused++;
            request.handler.rejected(retryAfterUs);
            removeIfDone(request);
        }
    }

    @Override
    public void fail(String requestId) {
        ActiveRequest request = requestById(requestId);
        if (request != null && !request.answered) {
            close(request);
            log.tell(EventLog.Kind.REQUEST_FAILED, () -> describe(request));
            counters.failed++;
            request.handler.failed();
            removeIfDone(request);
        }
    }

    @Override
    public void probe(String memberId) {
        counters.probes++;
        long sentUs = clock.now();
        backEnd.probe(
                memberId,
                result -> run(() -> {
                    long now = clock.now();
                    router.onProbe(now, memberId, result.outcome() == Outcome.OK, now - sentUs, result.report());
                }));
    }

    @Override
    public void setTimer(long inUs, String name) {
        deadlines.after(inUs, () -> run(() -> router.onTimer(clock.now(), name)));
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }

    /** Discovery is watched from the start, whether or not the module asks. */
    @Override
    public void subscribe() {}
}
