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
        final RequestAttributes ask;
        final Payload payload;
        final ResponseHandler caller;
        long handle;
        String id;
        boolean answered;
        /** Its answer has begun, and goes on as it comes. */
        boolean passing;

        final Router.RequestClass rules;
        final int mostAttempts;
        int attempts;
        long inFlight = SlotTable.NONE;
        String memberId;
        long sentUs;
        /** How the last attempt ended, null while none has. */
        Outcome lastOutcome;
        /** When the first attempt was sent that may have run; {@code Long.MAX_VALUE} while none was. */
        long maybeRanUs = Long.MAX_VALUE;

        Deadlines.Deadline timeout;
        Deadlines.Deadline overdue;

        ActiveRequest(
                RequestAttributes ask,
                Payload payload,
                ResponseHandler caller,
                Router.RequestClass rules,
                int mostAttempts) {
            this.rules = rules;
            this.mostAttempts = mostAttempts;
            this.ask = ask;
            this.payload = payload;
            this.caller = caller;
        }

        /** From when on no attempt of it may begin: its deadline, or the end of what may be repeated. */
        long beginByUs() {
            if (maybeRanUs == Long.MAX_VALUE || rules.idempotency() == Router.Idempotency.IDEMPOTENT) {
                return ask.deadlineUs();
            }
            return rules.idempotency() == Router.Idempotency.NON_IDEMPOTENT
                    ? maybeRanUs
                    : Math.min(ask.deadlineUs(), maybeRanUs + rules.windowUs());
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
    private final Set<Integer> groups = new HashSet<>();
    private final Set<String> ids = new HashSet<>();
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private boolean inEvent;

    public Broker(
            Clock clock,
            Deadlines deadlines,
            Counters counters,
            BackEnd backEnd,
            Router.Settings settings,
            int maxOpen,
            BiFunction<Router.Settings, Router.Actions, Router> maker) {
        this(clock, deadlines, counters, EventLog.silent(), backEnd, settings, maxOpen, maker, WriteObserver.NONE);
    }

    /** {@code writeObserver}: is notified of the writes, for the processes that serve beside this one. */
    public Broker(
            Clock clock,
            Deadlines deadlines,
            Counters counters,
            EventLog log,
            BackEnd backEnd,
            Router.Settings settings,
            int maxOpen,
            BiFunction<Router.Settings, Router.Actions, Router> maker,
            WriteObserver writeObserver) {
        this.writeObserver = writeObserver;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.log = log;
        this.backEnd = backEnd;
        this.settings = settings;
        this.requests = new SlotTable<>(maxOpen);
        this.router = maker.apply(settings, this);
    }

    /**
     * Events are handed in one after another: an action taken inside one may cause the next, which must not
     * reach
     * the module before it has returned.
     */
    private void event(Runnable event) {
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
    public void settings(Router.Settings settings) {
        this.settings = settings;
        event(() -> router.onSettings(settings));
    }

    /** When to come back, as a refusal may tell it: the settings' most at most, 0 where they allow none. */
    public long retryAfterUs(long us) {
        Router.Limits limits = settings.limits();
        return limits.retryAfterAllowed() ? Math.min(us, limits.maxRetryAfterUs()) : 0;
    }

    /** Whether a request of that name is open, or an attempt of it still out: another would be a second. */
    public boolean holds(String id) {
        return ids.contains(id);
    }

    /** Takes a request; its caller may be answered before this returns. */
    public long submit(RequestAttributes ask, Payload payload, ResponseHandler caller) {
        counters.requests++;
        ActiveRequest r = new ActiveRequest(
                ask,
                payload,
                caller,
                settings.classes().get(ask.cls()),
                settings.limits().maxAttempts());
        r.handle = requests.add(r);
        if (r.handle == SlotTable.NONE || !groups.contains(ask.group())) {
            requests.remove(r.handle);
            counters.refused++;
            caller.refused(0);
            return SlotTable.NONE;
        }
        ids.add(ask.id());
        r.id = Long.toString(r.handle);
        r.overdue = deadlines.at(
                ask.deadlineUs() + (long) (settings.rules().answerSlackUs() * OVERDUE_SHARE),
                () -> event(() -> overdue(r)));
        event(() -> router.onRequest(
                clock.now(),
                new Router.Request(
                        r.id,
                        ask.cls(),
                        ask.session(),
                        ask.group(),
                        ask.deadlineUs(),
                        ask.sinceWriteUs(),
                        ask.repeated())));
        return r.handle;
    }

    /** The caller went away; a stale handle does nothing. */
    public void gone(long handle) {
        event(() -> {
            ActiveRequest r = requests.get(handle);
            if (r != null && r.passing) {
                counters.longBroken++;
                backEnd.abandon(r.inFlight);
                r.inFlight = SlotTable.NONE;
                release(r);
            } else if (r != null) {
                left(r);
            }
        });
    }

    private void left(ActiveRequest r) {
        if (!r.answered) {
            counters.clientsGone++;
            log.tell(EventLog.Kind.REQUEST_WITHDRAWN, () -> story(r) + ": its client has gone");
            leave(r);
        }
    }

    /**
     * The caller withdraws its request, and gets its one answer; nothing is done where it has that, or the
     * beginning of it, already.
     */
    public void cancelled(long handle) {
        event(() -> {
            ActiveRequest r = requests.get(handle);
            if (r != null && !r.answered) {
                counters.clientsCancelled++;
                log.tell(EventLog.Kind.REQUEST_WITHDRAWN, () -> story(r) + ": cancelled by its client");
                leave(r);
                r.caller.cancelled();
            }
        });
    }

    /** Nobody wants it any more: an attempt that has not begun never does, whatever the module may cancel. */
    private void leave(ActiveRequest r) {
        close(r);
        router.onClientDisconnected(clock.now(), r.id);
        if (r.inFlight != SlotTable.NONE && !backEnd.begun(r.inFlight)) {
            stop(r, r.attempts - 1, Outcome.CANCELLED);
        }
        release(r);
    }

    public void members(Router.ListKind kind, List<Router.Member> members) {
        members.forEach(m -> groups.add(m.group()));
        event(() -> router.onMembers(clock.now(), kind, members));
    }

    /** Requests taken and not yet answered. */
    public int open() {
        int[] open = {0};
        requests.forEach(r -> open[0] += r.answered ? 0 : 1);
        return open[0];
    }

    /** What is known of a request, for the log: its own id, its attempts and its time. */
    private String story(ActiveRequest r) {
        return "request " + r.ask.id() + " of class " + r.rules.name() + ", attempts " + r.attempts
                + (r.attempts == 0
                        ? ""
                        : ", last to " + r.memberId
                                + (r.inFlight != SlotTable.NONE ? " and out" : " ended " + r.lastOutcome))
                + ", left " + (r.ask.deadlineUs() - clock.now()) / 1000 + " ms";
    }

    // ---- What ends a request. ----

    private void close(ActiveRequest r) {
        r.answered = true;
        deadlines.cancel(r.overdue);
    }

    /** An answered request keeps its slot until its attempt has ended. */
    private void release(ActiveRequest r) {
        if (r.answered && r.inFlight == SlotTable.NONE) {
            requests.remove(r.handle);
            ids.remove(r.ask.id());
        }
    }

    private void overdue(ActiveRequest r) {
        if (!r.answered) {
            counters.overdue++;
            log.tell(EventLog.Kind.REQUEST_OVERDUE, () -> story(r) + ": left open by the decisions");
            close(r);
            r.caller.failed();
            router.onClientDisconnected(clock.now(), r.id);
            release(r);
        }
    }

    /** Looked at right before an attempt's first byte, as what its client did may stand unread until then. */
    private boolean mayBegin(ActiveRequest r) {
        if (r.answered || clock.now() >= r.beginByUs()) {
            return false;
        }
        boolean waits = r.caller.waits();
        if (!waits) {
            event(() -> left(r));
        }
        return waits && !r.answered;
    }

    private void ended(ActiveRequest r, int attempt, BackEnd.Result result) {
        long now = clock.now();
        deadlines.cancel(r.timeout);
        r.inFlight = SlotTable.NONE;
        counters.outcome(result.outcome());
        r.lastOutcome = result.outcome();
        if (result.outcome() != Outcome.OK) {
            log.tell(EventLog.Kind.ATTEMPT_FAILED, () -> story(r));
        }
        if (!result.outcome().provesNotRun) {
            r.maybeRanUs = Math.min(r.maybeRanUs, r.sentUs);
        }
        if (r.passing) {
            if (result.outcome() == Outcome.OK) {
                r.caller.served(result.answer());
            } else {
                counters.longBroken++;
                r.caller.broken();
            }
            release(r);
            return;
        }
        settle(now, r, result.outcome(), result.positionUs());
        if (result.outcome() == Outcome.OK && !r.answered) {
            close(r);
            counters.served++;
            r.caller.served(result.answer());
        }
        router.onOutcome(
                now,
                r.id,
                attempt,
                r.memberId,
                result.outcome(),
                r.answered,
                now - r.sentUs,
                result.role(),
                result.positionUs(),
                result.report());
        release(r);
    }

    /** Before the answer: its client may read through another process as soon as it has that. */
    private void settle(long now, ActiveRequest r, Outcome outcome, long positionUs) {
        if (r.rules.access() == Router.Access.WRITE) {
            writeObserver.onEnded(now, r.ask.session(), r.ask.deadlineUs(), outcome, positionUs);
        }
    }

    /** An answer that has begun is the final one: the module hears of the time to its first bytes. */
    private BackEnd.ResponseStream begins(ActiveRequest r, int attempt, BackEnd.ResponseSource from) {
        if (r.answered || attempt != r.attempts - 1) {
            return null;
        }
        long now = clock.now();
        close(r);
        deadlines.cancel(r.timeout);
        r.passing = true;
        counters.served++;
        counters.longAnswers++;
        settle(now, r, Outcome.OK, 0);
        BackEnd.ResponseStream passage = r.caller.begins(from);
        event(() -> router.onOutcome(
                now, r.id, attempt, r.memberId, Outcome.OK, true, now - r.sentUs, Router.Role.UNKNOWN, 0, null));
        return passage;
    }

    // ---- What the module asks for; on a slot that was freed or used again nothing is done. ----

    private ActiveRequest entry(String requestId) {
        return requests.get(Long.parseLong(requestId));
    }

    @Override
    public void send(String requestId, String memberId, long timeoutUs) {
        ActiveRequest r = entry(requestId);
        if (r == null || r.answered) {
            return;
        }
        int attempt = r.attempts++;
        long now = clock.now();
        long left = Math.min(timeoutUs, r.ask.deadlineUs() - now);
        // Never two attempts in flight, none past the limit, the deadline or the repeats' end, none for a
        // client that has gone, whatever is asked for.
        if (r.inFlight != SlotTable.NONE || attempt >= r.mostAttempts || left <= 0 || !mayBegin(r)) {
            event(() -> router.onOutcome(
                    clock.now(),
                    r.id,
                    attempt,
                    memberId,
                    Outcome.NOT_SENT,
                    r.answered,
                    0,
                    Router.Role.UNKNOWN,
                    0,
                    null));
            return;
        }
        counters.attempts++;
        r.memberId = memberId;
        r.sentUs = now;
        if (r.rules.access() == Router.Access.WRITE) {
            writeObserver.onSent(now, r.ask.session(), r.ask.deadlineUs());
        }
        r.inFlight = backEnd.start(memberId, r.payload, left, new BackEnd.AttemptListener() {
            @Override
            public void ended(BackEnd.Result result) {
                event(() -> Broker.this.ended(r, attempt, result));
            }

            @Override
            public BackEnd.ResponseStream begins(BackEnd.ResponseSource from) {
                return Broker.this.begins(r, attempt, from);
            }

            @Override
            public boolean mayBegin() {
                return router.mayStillBegin(clock.now(), r.id) && Broker.this.mayBegin(r);
            }
        });
        long beginsIn = Math.min(left, r.beginByUs() - now);
        r.timeout = deadlines.after(
                beginsIn,
                () -> event(() -> {
                    if (beginsIn < left && backEnd.begun(r.inFlight)) {
                        r.timeout =
                                deadlines.after(left - beginsIn, () -> event(() -> stop(r, attempt, Outcome.TIMEOUT)));
                    } else {
                        stop(r, attempt, Outcome.TIMEOUT);
                    }
                }));
    }

    /** An attempt that never reached its server is moot: that proves that it never ran. */
    private void stop(ActiveRequest r, int attempt, Outcome outcome) {
        if (r.inFlight != SlotTable.NONE && attempt == r.attempts - 1 && !r.passing) {
            boolean reached = backEnd.abandon(r.inFlight);
            ended(r, attempt, BackEnd.Result.of(reached ? outcome : Outcome.NOT_SENT));
        }
    }

    @Override
    public void cancel(String requestId, int attempt) {
        ActiveRequest r = entry(requestId);
        if (r != null) {
            event(() -> stop(r, attempt, Outcome.CANCELLED));
        }
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        ActiveRequest r = entry(requestId);
        if (r != null && !r.answered) {
            close(r);
            log.tell(
                    EventLog.Kind.REQUEST_REFUSED, () -> story(r) + ": to come back in " + retryAfterUs / 1000 + " ms");
            counters.refused++;
            r.caller.refused(retryAfterUs);
            release(r);
        }
    }

    @Override
    public void fail(String requestId) {
        ActiveRequest r = entry(requestId);
        if (r != null && !r.answered) {
            close(r);
            log.tell(EventLog.Kind.REQUEST_FAILED, () -> story(r));
            counters.failed++;
            r.caller.failed();
            release(r);
        }
    }

    @Override
    public void probe(String memberId) {
        counters.probes++;
        long sentUs = clock.now();
        backEnd.probe(
                memberId,
                result -> event(() -> {
                    long now = clock.now();
                    router.onProbe(now, memberId, result.outcome() == Outcome.OK, now - sentUs, result.report());
                }));
    }

    @Override
    public void setTimer(long inUs, String name) {
        deadlines.after(inUs, () -> event(() -> router.onTimer(clock.now(), name)));
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }

    /** Discovery is watched from the start, whether or not the module asks. */
    @Override
    public void subscribe() {}
}
