package frostreel.routing;

import frostreel.routing.Router.Access;
import frostreel.routing.Router.DeduplicationScope;
import frostreel.routing.Router.Idempotency;
import frostreel.routing.Router.ListKind;
import frostreel.routing.Router.ListRole;
import frostreel.routing.Router.Member;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Report;
import frostreel.routing.Router.Request;
import frostreel.routing.Router.RequestClass;
import frostreel.routing.Router.Role;
import frostreel.routing.Router.SessionTracking;
import frostreel.routing.Router.StalenessCheck;
import frostreel.routing.Router.State;
import java.util.ArrayList;
import java.util.List;

/** A router under test, a clock to move by hand, and a record of what the router asked for. */
final class Recorder implements Router.Actions {
    static final int SAFE_READ = 0;
    static final int SESSION = 1;
    static final int FRESH = 2;
    static final int KEYED = 3;
    static final int UNSAFE = 4;
    static final int ANY = 5;
    static final int KEYED_ANYWHERE = 6;
    static final int KEYED_IN_ZONE = 7;

    record Sent(String request, String member, long timeoutUs, int attempt) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<Long> advice = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> probed = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    int subscriptions;
    int timersSet;
    private final List<String> timers = new ArrayList<>();
    private final List<Long> due = new ArrayList<>();
    long now = 100_000_000;
    Router router;

    /** The settings a test may vary. */
    static final class Setup {
        StalenessCheck stalenessCheck = StalenessCheck.SILENT;
        ListRole listRole = ListRole.LATE;
        SessionTracking sessionTracking = SessionTracking.CARRIED;
        Router.Probes probes = Router.Probes.REPORT;
        boolean cancel = true;
        boolean advice = true;
        boolean subscribe;
        boolean onlyDraining;
        int maxAttempts = 8;
        long seed = 7;
        int zone;
        int instances;
        int concurrentRequestLimit;

        Recorder start(Member... members) {
            Recorder r = new Recorder();
            r.router = new ChainRouter(settings(), r);
            r.router.onMembers(r.now, ListKind.CACHED, List.of(members));
            return r;
        }

        Router.Settings settings() {
            List<RequestClass> classes = List.of(
                    kind("bounded", Access.BOUNDED, Idempotency.IDEMPOTENT, DeduplicationScope.GROUP, 0),
                    kind("session", Access.SESSION, Idempotency.IDEMPOTENT, DeduplicationScope.GROUP, 0),
                    kind("fresh", Access.FRESH, Idempotency.IDEMPOTENT, DeduplicationScope.GROUP, 0),
                    kind("keyed", Access.WRITE, Idempotency.KEYED, DeduplicationScope.GROUP, 0.5),
                    kind("unsafe", Access.WRITE, Idempotency.NON_IDEMPOTENT, DeduplicationScope.GROUP, 0.5),
                    kind("any", Access.ANY, Idempotency.IDEMPOTENT, DeduplicationScope.GROUP, 0),
                    kind("keyed anywhere", Access.WRITE, Idempotency.KEYED, DeduplicationScope.ALL, 0.5),
                    kind("keyed in its zone", Access.WRITE, Idempotency.KEYED, DeduplicationScope.ZONE, 0.5));
            return new Router.Settings(
                    seed,
                    instances,
                    zone,
                    5_000,
                    classes,
                    stalenessCheck,
                    listRole,
                    sessionTracking,
                    true,
                    new Router.Limits(
                            maxAttempts,
                            probes,
                            cancel,
                            advice,
                            2_000_000,
                            subscribe,
                            10_000_000,
                            250_000,
                            50_000,
                            30_000_000,
                            1,
                            concurrentRequestLimit),
                    new Router.Rules(20_000, 500_000, onlyDraining, 0.2, 18_000_000, 3, 2_000_000));
        }

        private static RequestClass kind(
                String name, Access access, Idempotency repeat, DeduplicationScope scope, double late) {
            return new RequestClass(name, access, repeat, scope, 3_000_000, 800_000, 600_000, 5_000_000, 2, late);
        }
    }

    static Member up(String id, int zone, boolean primary) {
        return new Member(id, zone, 0, 1, primary, State.UP, 1, 0);
    }

    static Member with(Member m, State state, long startedUs) {
        return new Member(m.id(), m.zone(), m.kind(), m.group(), m.primary(), state, m.weight(), startedUs);
    }

    /** A group of three: a is listed as primary; b is a replica in the router's zone, c in another. */
    static Recorder trio() {
        return new Setup().start(up("a", 0, true), up("b", 0, false), up("c", 1, false));
    }

    void ask(String id, int cls) {
        ask(id, cls, 0, 4_000_000);
    }

    void ask(String id, int cls, long sinceWriteUs, long leftUs) {
        router.onRequest(now, new Request(id, cls, 42, 1, now + leftUs, sinceWriteUs, false));
    }

    void repeat(String id, int cls) {
        router.onRequest(now, new Request(id, cls, 42, 1, now + 4_000_000, 0, true));
    }

    /** Ends the newest attempt of a request; OK closes it. */
    void end(String id, Outcome outcome, Role role, long positionUs) {
        Sent s = last(id);
        router.onOutcome(now, id, s.attempt, s.member, outcome, outcome == Outcome.OK, 50_000, role, positionUs, null);
    }

    void end(String id, Outcome outcome) {
        end(id, outcome, Role.UNKNOWN, 0);
    }

    void probeOk(String member, Role role, long positionUs) {
        router.onProbe(now, member, true, 1_000, new Report(positionUs, role, Double.NaN, Double.NaN, Double.NaN));
    }

    void list(ListKind kind, Member... members) {
        router.onMembers(now, kind, List.of(members));
    }

    /** Lets time pass, firing what timers fall due. */
    void pass(long us) {
        long until = now + us;
        while (true) {
            int next = -1;
            for (int i = 0; i < due.size(); i++) {
                if (due.get(i) <= until && (next < 0 || due.get(i) < due.get(next))) {
                    next = i;
                }
            }
            if (next < 0) {
                now = until;
                return;
            }
            now = Math.max(now, due.remove(next));
            router.onTimer(now, timers.remove(next));
        }
    }

    Sent last(String id) {
        Sent found = null;
        for (Sent s : sent) {
            found = s.request.equals(id) ? s : found;
        }
        return found;
    }

    long count(String id) {
        return sent.stream().filter(s -> s.request.equals(id)).count();
    }

    long countTo(String member) {
        return sent.stream().filter(s -> s.member.equals(member)).count();
    }

    @Override
    public void send(String requestId, String memberId, long timeoutUs) {
        sent.add(new Sent(requestId, memberId, timeoutUs, (int) count(requestId)));
    }

    @Override
    public void reject(String requestId, long retryAfterUs) {
        refused.add(requestId);
        advice.add(retryAfterUs);
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
    public void probe(String memberId) {
        probed.add(memberId);
    }

    @Override
    public void setTimer(long inUs, String name) {
        timersSet++;
        timers.add(name);
        due.add(now + inUs);
    }

    @Override
    public void log(String text) {
        log.add(text);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }
}
