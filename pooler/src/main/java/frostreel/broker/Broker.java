package frostreel.broker;

import frostreel.log.EventLog;
import frostreel.operation.RecentRequestIds;
import frostreel.operation.WriteObserver;
import frostreel.request.BackEnd;
import frostreel.request.Payload;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.routing.Limits;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.stats.Counters;
import frostreel.time.Clock;
import frostreel.time.Deadlines;
import frostreel.util.BufferMemory;
import frostreel.util.SlotTable;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.logging.Logger;

/**
 * Owns the active requests. It passes events to the {@link Router}, which makes the decisions, and executes its
 * actions. It is independent of the protocol: a front end submits opaque payloads, and a {@link BackEnd} reports
 * outcomes. Used only on the I/O thread.
 */
public final class Broker implements Router.Actions {
    /**
     * Fraction of the settings' response slack after which the broker fails a request that the router left open past
     * its deadline. The rest of the slack is for sending the response to the client.
     */
    private static final double OVERDUE_SHARE = 0.75;

    private static final Logger LOG = Logger.getLogger(Broker.class.getName());
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final EventLog log;
    private final BackEnd backEnd;
    private final Router router;
    private final RequestTable requests;
    private final EventQueue events;
    private final AttemptRunner attempts;
    private final Set<Integer> knownGroups = new HashSet<>();
    private Router.Settings settings;

    /** Creates a broker that does not log individual requests and does not report writes to other processes. */
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
                BufferMemory.ofThisProcess(),
                backEnd,
                settings,
                maxRequests,
                routerFactory,
                WriteObserver.NONE,
                RecentRequestIds.ofSingleProcess());
    }

    /**
     * Creates a broker and, with the factory, its router.
     *
     * @param buffers counts the memory of active requests
     * @param maxRequests the maximum number of active requests; more are rejected
     * @param writeObserver observes write attempts on behalf of the pooler's other processes
     * @param recentIds the ids of requests that must not run again
     */
    public Broker(
            Clock clock,
            Deadlines deadlines,
            Counters counters,
            EventLog log,
            BufferMemory buffers,
            BackEnd backEnd,
            Router.Settings settings,
            int maxRequests,
            BiFunction<Router.Settings, Router.Actions, Router> routerFactory,
            WriteObserver writeObserver,
            RecentRequestIds recentIds) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        this.log = log;
        this.backEnd = backEnd;
        this.settings = settings;
        requests = new RequestTable(maxRequests, buffers, recentIds);
        events = new EventQueue(counters);
        router = routerFactory.apply(settings, this);
        attempts = new AttemptRunner(
                clock,
                deadlines,
                counters,
                log,
                backEnd,
                router,
                writeObserver,
                requests,
                events,
                this::withdrawAfterDisconnect);
    }

    // ---- Events from the front end and from discovery. ----

    /** Applies new settings to future requests; active requests keep theirs. */
    public void updateSettings(Router.Settings settings) {
        this.settings = settings;
        events.run(() -> router.onSettings(settings));
    }

    /** Limits a Retry-After to the maximum of the settings; 0 if they disable Retry-After. */
    public long retryAfterUs(long wantedUs) {
        Limits limits = settings.limits();
        return limits.retryAfterAllowed() ? Math.min(wantedUs, limits.maxRetryAfterUs()) : 0;
    }

    /** Whether a request to which a client gave this id is active; a second one would be a hedged request. */
    public boolean isActive(String clientRequestId) {
        return requests.containsClientRequestId(clientRequestId);
    }

    /**
     * Whether a request of this class with this id must not run, as one with the same id may have run before, through
     * any process of the pooler.
     */
    public boolean mustNotRunAgain(String clientRequestId, int classIndex) {
        Router.Idempotency idempotency = settings.classes().get(classIndex).idempotency();
        return idempotency != Router.Idempotency.IDEMPOTENT && requests.mayHaveRun(clientRequestId);
    }

    /**
     * Accepts or rejects a request. Its handler may be called before this method returns.
     *
     * @return the handle for {@link #onClientDisconnected} and {@link #onClientCancelled}; {@link SlotTable#NONE} if
     *     the broker itself rejected the request, because it is full or the replica group is unknown. If the router
     *     rejected the request during this call, the handle is already stale.
     */
    public long submit(RequestAttributes attributes, Payload payload, ResponseHandler handler) {
        counters.requestsSubmitted++;
        ActiveRequest request = new ActiveRequest(
                attributes,
                payload,
                handler,
                settings.classes().get(attributes.classIndex()),
                settings.limits().maxAttempts());
        if (!requests.reserveSlot(request) || !knownGroups.contains(attributes.group())) {
            requests.freeSlot(request);
            counters.requestsRejected++;
            handler.rejected(0);
            return SlotTable.NONE;
        }
        requests.open(request);
        request.overdueTimeout =
                deadlines.at(overdueAtUs(attributes.deadlineUs()), () -> events.run(() -> onOverdue(request)));
        events.run(() -> router.onRequest(
                clock.now(),
                new Router.Request(
                        request.routerId,
                        attributes.classIndex(),
                        attributes.session(),
                        attributes.group(),
                        attributes.deadlineUs(),
                        attributes.sinceWriteUs(),
                        attributes.repeated())));
        return request.handle;
    }

    private long overdueAtUs(long deadlineUs) {
        return deadlineUs + (long) (settings.rules().responseSlackUs() * OVERDUE_SHARE);
    }

    /** The client has disconnected; its handler is no longer called. A stale handle is ignored. */
    public void onClientDisconnected(long handle) {
        events.run(() -> {
            ActiveRequest request = requests.get(handle);
            if (request == null) {
                return;
            }
            if (request.streaming) {
                abortStream(request);
            } else {
                withdrawAfterDisconnect(request);
            }
        });
    }

    private void abortStream(ActiveRequest request) {
        counters.streamedResponsesBroken++;
        backEnd.abandon(request.attemptHandle);
        request.attemptHandle = SlotTable.NONE;
        requests.removeIfDone(request);
    }

    private void withdrawAfterDisconnect(ActiveRequest request) {
        if (!request.closed) {
            counters.requestsAbandoned++;
            log.record(EventLog.Kind.REQUEST_CANCELLED, () -> describe(request) + ": client disconnected");
            withdraw(request);
        }
    }

    /**
     * The client cancels its request, which ends as cancelled. Ignored if the request is closed, as it also is once a
     * long response has begun, or if the handle is stale.
     */
    public void onClientCancelled(long handle) {
        events.run(() -> {
            ActiveRequest request = requests.get(handle);
            if (request != null && !request.closed) {
                counters.requestsCancelled++;
                log.record(EventLog.Kind.REQUEST_CANCELLED, () -> describe(request) + ": cancelled by client");
                withdraw(request);
                request.handler.cancelled();
            }
        });
    }

    /** Closes the request and stops its attempt if that has not begun, even if the settings disable cancelling. */
    private void withdraw(ActiveRequest request) {
        request.markClosed(deadlines);
        // Cancelled or disconnected, the router needs to know only that no response is wanted.
        router.onClientDisconnected(clock.now(), request.routerId);
        if (request.hasAttemptInFlight() && !backEnd.hasBegun(request.attemptHandle)) {
            attempts.stopLatest(request, Outcome.CANCELLED);
        }
        requests.removeIfDone(request);
    }

    /** Passes an endpoint list or an endpoint list update to the router, or reports that discovery failed. */
    public void updateMembers(Router.ListKind kind, List<Router.Member> members) {
        members.forEach(member -> knownGroups.add(member.group()));
        events.run(() -> router.onMembers(clock.now(), kind, members));
    }

    /** Number of requests that are not yet closed. */
    public int openRequests() {
        return requests.countOpen();
    }

    private String describe(ActiveRequest request) {
        return request.describe(clock.now());
    }

    // ---- Overdue requests. ----

    private void onOverdue(ActiveRequest request) {
        if (!request.closed) {
            counters.requestsOverdue++;
            log.record(EventLog.Kind.REQUEST_OVERDUE, () -> describe(request) + ": not answered by the router");
            request.markClosed(deadlines);
            request.handler.failed();
            // The router needs to know only that no response is wanted any longer.
            router.onClientDisconnected(clock.now(), request.routerId);
            requests.removeIfDone(request);
        }
    }

    // ---- Actions of the router; ignored for requests that were removed, and all but cancel also for closed ones. ----

    @Override
    public void send(String requestId, String memberId, long timeoutUs) {
        ActiveRequest request = requests.byRouterId(requestId);
        if (request != null && !request.closed) {
            attempts.start(request, memberId, timeoutUs);
        }
    }

    @Override
    public void cancel(String requestId, int attempt) {
        ActiveRequest request = requests.byRouterId(requestId);
        if (request != null) {
            events.run(() -> attempts.stop(request, attempt, Outcome.CANCELLED));
        }
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        ActiveRequest request = requests.byRouterId(requestId);
        if (request != null && !request.closed) {
            request.markClosed(deadlines);
            log.record(
                    EventLog.Kind.REQUEST_REJECTED,
                    () -> describe(request) + ": retry after " + retryAfterUs / 1000 + " ms");
            counters.requestsRejected++;
            request.handler.rejected(retryAfterUs);
            requests.removeIfDone(request);
        }
    }

    @Override
    public void fail(String requestId) {
        ActiveRequest request = requests.byRouterId(requestId);
        if (request != null && !request.closed) {
            request.markClosed(deadlines);
            log.record(EventLog.Kind.REQUEST_FAILED, () -> describe(request));
            counters.requestsFailed++;
            request.handler.failed();
            requests.removeIfDone(request);
        }
    }

    @Override
    public void checkHealth(String memberId) {
        counters.healthChecksSent++;
        long sentUs = clock.now();
        backEnd.checkHealth(
                memberId,
                result -> events.run(() -> {
                    long now = clock.now();
                    router.onHealthCheck(now, memberId, result.outcome() == Outcome.OK, now - sentUs, result.report());
                }));
    }

    @Override
    public void setTimer(long inUs, String name) {
        deadlines.after(inUs, () -> events.run(() -> router.onTimer(clock.now(), name)));
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }

    /** Does nothing, as the pooler subscribes to discovery by itself at startup. */
    @Override
    public void subscribe() {}
}
