package frostreel.routing;

import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.Member;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Report;
import frostreel.routing.Router.Request;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.State;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A router under test with a manual clock. Records the actions that the router requests, and fires its timers when a
 * test advances the clock.
 */
final class RouterHarness implements Router.Actions {
    static final int BOUNDED_READ = 0;
    static final int SESSION_READ = 1;
    static final int FRESH_READ = 2;
    static final int KEYED_WRITE = 3;
    static final int NON_IDEMPOTENT_WRITE = 4;
    static final int ANY_READ = 5;
    static final int KEYED_WRITE_ALL_ZONES = 6;
    static final int KEYED_WRITE_ONE_ZONE = 7;

    static final int GROUP = 1;
    static final long SESSION = 42;
    static final long START_US = 100_000_000;
    private static final long USUAL_DEADLINE_US = 4_000_000;
    private static final long USUAL_DURATION_US = 50_000;
    private static final long HEALTH_CHECK_DURATION_US = 1_000;

    /** An attempt that the router started; {@code number} is its number within the request, from 0. */
    record Attempt(String requestId, String member, long timeoutUs, int number) {}

    private record Timer(long dueUs, String name) {}

    final List<Attempt> attempts = new ArrayList<>();
    final List<String> rejected = new ArrayList<>();
    /** The Retry-After of each rejected request, in the order of {@link #rejected}. */
    final List<Long> retryAftersUs = new ArrayList<>();

    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> healthChecked = new ArrayList<>();
    int subscriptions;
    int timersSet;
    long nowUs = START_US;
    final Router router;
    private final List<Timer> timers = new ArrayList<>();

    RouterHarness(Router.Settings settings) {
        this(settings, PeerRoles.NONE);
    }

    /** A harness of one of the processes of a pooler, which share what they know of roles. */
    RouterHarness(Router.Settings settings, PeerRoles peerRoles) {
        router = new ChainRouter(settings, this, new NearestZonePolicy(settings.zone()), PeerCommits.NONE, peerRoles);
    }

    /** Starts with three members: a, listed as primary, and b are in the router's zone, c is in another. */
    static RouterHarness threeMembers() {
        return new SettingsBuilder().start(primary("a", 0), replica("b", 0), replica("c", 1));
    }

    /** A member that is listed as the primary of its group. */
    static Member primary(String id, int zone) {
        return new Member(id, zone, 0, GROUP, true, State.UP, 1, 0);
    }

    /** A member that is not listed as primary. */
    static Member replica(String id, int zone) {
        return new Member(id, zone, 0, GROUP, false, State.UP, 1, 0);
    }

    /** A copy of a member in another state. */
    static Member inState(Member member, State state) {
        return copy(member, state, 0);
    }

    /** A copy of a member that started at this time. */
    static Member startedAt(Member member, long startedUs) {
        return copy(member, State.UP, startedUs);
    }

    private static Member copy(Member member, State state, long startedUs) {
        return new Member(
                member.id(),
                member.zone(),
                member.kind(),
                member.group(),
                member.primary(),
                state,
                member.weight(),
                startedUs);
    }

    /** Submits a request of {@link #SESSION}, which has not written yet, with the default deadline. */
    void submit(String id, int requestClass) {
        submit(id, requestClass, 0, USUAL_DEADLINE_US);
    }

    /** Submits a request; {@code sinceWriteUs} is the age of the last write of its session, 0 for none. */
    void submit(String id, int requestClass, long sinceWriteUs, long deadlineInUs) {
        router.onRequest(
                nowUs, new Request(id, requestClass, SESSION, GROUP, nowUs + deadlineInUs, sinceWriteUs, false));
    }

    /** Submits a request of another session. */
    void submitForSession(long session, String id, int requestClass, long deadlineInUs) {
        router.onRequest(nowUs, new Request(id, requestClass, session, GROUP, nowUs + deadlineInUs, 0, false));
    }

    /** Submits a request that the client marked as a retry. */
    void submitRetry(String id, int requestClass) {
        router.onRequest(nowUs, new Request(id, requestClass, SESSION, GROUP, nowUs + USUAL_DEADLINE_US, 0, true));
    }

    /**
     * Submits requests one after another, named by a prefix and a number from 0, and advances the clock after each.
     *
     * @param end ends the newest attempt of a request, if it has one, after the interval
     * @return the number of requests that had an attempt
     */
    int submitInTurn(String prefix, int count, int requestClass, long intervalUs, Consumer<Attempt> end) {
        int attempted = 0;
        for (int i = 0; i < count; i++) {
            submit(prefix + i, requestClass);
            advance(intervalUs);
            Attempt attempt = lastAttempt(prefix + i);
            if (attempt != null) {
                end.accept(attempt);
                attempted++;
            }
        }
        return attempted;
    }

    /** Ends an attempt with an up-to-date response of a replica after the default duration. */
    void respondAsReplica(Attempt attempt) {
        respond(attempt, USUAL_DURATION_US, Role.REPLICA);
    }

    /** Ends the newest attempt of a request; OK also ends the request. */
    void complete(String id, Outcome outcome, Role role, long positionUs) {
        complete(lastAttempt(id), outcome, USUAL_DURATION_US, role, positionUs, null);
    }

    /** Ends the newest attempt of a request without a reported role or position. */
    void complete(String id, Outcome outcome) {
        complete(id, outcome, Role.UNKNOWN, 0);
    }

    /** Ends {@code times} attempts of a write in turn, each rejected by a member that reports to be a replica. */
    void rejectAsReplicas(String id, int times) {
        for (int i = 0; i < times; i++) {
            complete(id, Outcome.WRONG_ROLE_OR_STALE, Role.REPLICA, 0);
        }
    }

    /** Ends an attempt that took {@code tookUs}; OK also ends the request. */
    void complete(Attempt attempt, Outcome outcome, long tookUs, Role role, long positionUs, Report report) {
        router.onOutcome(
                nowUs,
                attempt.requestId,
                attempt.number,
                attempt.member,
                outcome,
                outcome == Outcome.OK,
                tookUs,
                role,
                positionUs,
                report);
    }

    /** Ends an attempt with an up-to-date response after {@code tookUs}. */
    void respond(Attempt attempt, long tookUs, Role role) {
        complete(attempt, Outcome.OK, tookUs, role, nowUs, null);
    }

    /** Completes a health check with a report of role and position. */
    void healthCheckSucceeded(String member, Role role, long positionUs) {
        healthCheckSucceeded(member, new Report(positionUs, role, Double.NaN, Double.NaN, Double.NaN));
    }

    /** Completes a health check with a report. */
    void healthCheckSucceeded(String member, Report report) {
        router.onHealthCheck(nowUs, member, true, HEALTH_CHECK_DURATION_US, report);
    }

    /** Fails a health check. */
    void healthCheckFailed(String member) {
        router.onHealthCheck(nowUs, member, false, HEALTH_CHECK_DURATION_US, null);
    }

    void updateMembers(ListKind kind, Member... members) {
        router.onMembers(nowUs, kind, List.of(members));
    }

    void clientDisconnected(String id) {
        router.onClientDisconnected(nowUs, id);
    }

    /** Whether the newest attempt of a request may still begin once it has its connection. */
    boolean mayStillBegin(String id) {
        return router.mayStillBegin(nowUs, id);
    }

    /** Whether a response of the newest attempt of a request with this role and position may be passed on. */
    boolean mayServe(String id, Role role, long positionUs) {
        return router.mayServe(nowUs, id, role, positionUs);
    }

    /** Advances the clock, firing timers in the order in which they are due. */
    void advance(long byUs) {
        long untilUs = nowUs + byUs;
        for (Timer next = earliestTimer(); next != null && next.dueUs <= untilUs; next = earliestTimer()) {
            timers.remove(next);
            nowUs = Math.max(nowUs, next.dueUs);
            router.onTimer(nowUs, next.name);
        }
        nowUs = untilUs;
    }

    /** The timer that is due next, the one set first if several are due at the same time; null if none is set. */
    private Timer earliestTimer() {
        Timer earliest = null;
        for (Timer timer : timers) {
            earliest = earliest == null || timer.dueUs < earliest.dueUs ? timer : earliest;
        }
        return earliest;
    }

    /** The newest attempt of a request, or null if it has none. */
    Attempt lastAttempt(String id) {
        Attempt last = null;
        for (Attempt attempt : attempts) {
            last = attempt.requestId.equals(id) ? attempt : last;
        }
        return last;
    }

    long attemptCount(String id) {
        return attempts.stream().filter(attempt -> attempt.requestId.equals(id)).count();
    }

    long attemptCountTo(String member) {
        return attempts.stream()
                .filter(attempt -> attempt.member.equals(member))
                .count();
    }

    @Override
    public void send(String requestId, String memberId, long timeoutUs) {
        attempts.add(new Attempt(requestId, memberId, timeoutUs, (int) attemptCount(requestId)));
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        rejected.add(requestId);
        retryAftersUs.add(retryAfterUs);
    }

    @Override
    public void fail(String requestId) {
        failed.add(requestId);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        cancelled.add(requestId + "/" + attempt);
    }

    @Override
    public void checkHealth(String memberId) {
        healthChecked.add(memberId);
    }

    @Override
    public void setTimer(long inUs, String name) {
        timersSet++;
        timers.add(new Timer(nowUs + inUs, name));
    }

    @Override
    public void log(String text) {}

    @Override
    public void subscribe() {
        subscriptions++;
    }
}
