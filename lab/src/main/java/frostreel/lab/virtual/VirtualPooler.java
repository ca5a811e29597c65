package frostreel.lab.virtual;

import frostreel.broker.Broker;
import frostreel.broker.Deadlines;
import frostreel.broker.SlotTable;
import frostreel.lab.model.Job;
import frostreel.lab.model.Links;
import frostreel.lab.model.Scheduler;
import frostreel.lab.model.Server;
import frostreel.lab.rules.RunListener;
import frostreel.request.BackEnd;
import frostreel.request.Payload;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.stats.Counters;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * The program's own broker and decisions on virtual time; in place of sockets, the model's servers and links.
 */
final class VirtualPooler implements BackEnd {
    /**
     * What a request costs a server, and what it must see; handed through the broker as its bytes would be.
     */
    record Order(String id, double workUs, boolean write, long session, long boundUs, long sinceUs) implements Payload {
        @Override
        public byte[] forServer(long patienceUs) {
            throw new UnsupportedOperationException("the model takes the order itself");
        }

        /** The position that a server must have for it at a moment, 0 for any. */
        long needAt(long nowUs) {
            return boundUs > 0 ? nowUs - boundUs : sinceUs;
        }
    }

    private final class Attempt {
        final Server server;
        final Order order;
        final AttemptListener sink;
        long handle;
        boolean linked;
        boolean written;
        /** Whether this pooler had been told of its server's last start when it was sent. */
        boolean told;
        /** It may be too old: nothing has told this pooler yet that the server leads no more. */
        boolean excused;

        boolean held;
        Job job;

        Attempt(Server server, Order order, AttemptListener sink) {
            this.server = server;
            this.order = order;
            this.sink = sink;
        }
    }

    private static final double PROBE_WORK_US = 300;
    /** What an answer tells counts as known so long after it was written, also where nobody waits for it. */
    private static final long KNOWN_AFTER_US = 100_000;

    final int number;
    final int zone;
    final Broker broker;
    final Counters counters = new Counters();
    /** Attempts begun to each zone. */
    final long[] sentTo;

    private final Scheduler kernel;
    private final Links links;
    private final Map<String, Server> servers;
    private final RunListener listener;
    private final Router.Settings settings;
    private final long connectTimeoutUs;
    private final Set<String> reports;
    private final Map<String, ArrayDeque<Long>> idle = new HashMap<>();
    /** The servers' last starts as told, and when each last said to be a replica. */
    private final Map<String, Long> bornUs = new HashMap<>();

    private final Map<String, Long> replicasAtUs = new HashMap<>();
    /** The commits of sessions' writes that this pooler was answered, or would have been. */
    private final Map<Long, Long> commits = new HashMap<>();

    private final SlotTable<Attempt> attempts = new SlotTable<>(1 << 19);
    private long alarms;

    VirtualPooler(
            int number,
            int zone,
            int zones,
            Scheduler kernel,
            Links links,
            Map<String, Server> servers,
            RunListener listener,
            Set<String> reports,
            Router.Settings settings,
            BiFunction<Router.Settings, Router.Actions, Router> maker) {
        this.number = number;
        this.zone = zone;
        this.kernel = kernel;
        this.links = links;
        this.servers = servers;
        this.listener = listener;
        sentTo = new long[zones];
        this.reports = reports;
        this.settings = settings;
        connectTimeoutUs = settings.limits().connectTimeoutUs();
        Deadlines[] deadlines = new Deadlines[1];
        deadlines[0] = new Deadlines(kernel::now, us -> {
            long alarm = ++alarms;
            kernel.after(us, () -> {
                if (alarm == alarms) {
                    deadlines[0].runDue();
                }
            });
        });
        broker = new Broker(kernel::now, deadlines[0], counters, this, settings, 1 << 16, maker);
    }

    void submit(RequestAttributes ask, Order order, ResponseHandler caller) {
        broker.submit(ask, order, caller);
    }

    void told(Router.ListKind kind, List<Router.Member> members) {
        members.forEach(m -> {
            listener.endpointUpdated(kernel.now(), number, m.id(), m.state());
            bornUs.put(m.id(), m.startedUs());
        });
        broker.updateMembers(kind, members);
    }

    /**
     * The last commit of a session's writes that it answered, 0 for none. A read of the session is owed
     * data up to there, also where that commit was lost with its primary, as nobody is told so: a replica may
     * answer only from beyond it. The new primary may, from its first moment on, whatever position it
     * tells, as a primary is the newest there is; one that leads no more may not, once it has said so.
     */
    long commit(long session) {
        return commits.getOrDefault(session, 0L);
    }

    /** Its process is killed: its connections end, and nothing runs any more. */
    void die() {
        alarms++;
        List<Attempt> out = new ArrayList<>();
        attempts.forEach(out::add);
        out.forEach(a -> {
            attempts.remove(a.handle);
            if (a.job != null) {
                a.server.cancel(a.job);
            }
        });
        listener.poolerKilled(kernel.now(), number);
    }

    @Override
    public long start(String memberId, Payload payload, long patienceUs, AttemptListener sink) {
        Attempt a = new Attempt(servers.get(memberId), (Order) payload, sink);
        a.handle = attempts.add(a);
        sentTo[a.server.zone]++;
        listener.attemptSent(kernel.now(), number, a.order.id, memberId);
        a.excused = a.server.ledSinceUs() > replicasAtUs.getOrDefault(memberId, 0L);
        ArrayDeque<Long> free = idle.computeIfAbsent(memberId, id -> new ArrayDeque<>());
        free.removeIf(since -> kernel.now() - since >= settings.limits().idleCloseUs());
        if (free.pollLast() != null) {
            write(a);
        } else {
            connect(a, () -> write(a));
        }
        return a.handle;
    }

    private boolean out(Attempt a) {
        return attempts.get(a.handle) == a;
    }

    /** A connection comes up after a round trip, is refused after one, or says nothing. */
    private void connect(Attempt a, Runnable then) {
        int to = a.server.zone;
        if (a.server.vanished() || !links.open(zone, to) || !links.open(to, zone)) {
            kernel.after(connectTimeoutUs, () -> finish(a, Result.of(Outcome.CONNECT_FAILED)));
            return;
        }
        kernel.after(links.delayUs(zone, to) + links.delayUs(to, zone), () -> {
            if (!a.server.up()) {
                finish(a, Result.of(Outcome.CONNECT_FAILED));
            } else if (out(a) && a.sink.mayBegin()) {
                then.run();
            } else {
                finish(a, Result.of(Outcome.NOT_SENT));
            }
        });
    }

    private void write(Attempt a) {
        a.linked = true;
        a.written = true;
        a.told = knowsStart(a.server);
        if (links.open(zone, a.server.zone)) {
            long needUs = a.order.write ? 0 : a.order.needAt(kernel.now());
            kernel.after(links.delayUs(zone, a.server.zone), () -> arrive(a, needUs));
        }
    }

    /** At the server; one that its pooler gave up meanwhile is not begun. */
    private void arrive(Attempt a, long needUs) {
        if (!out(a)) {
            return;
        }
        if (settings.stalenessCheck() == Router.StalenessCheck.WAIT && !a.held && needUs > a.server.applied()) {
            a.held = true;
            kernel.after(settings.limits().holdsForUs(), () -> arrive(a, needUs));
            return;
        }
        long checkedUs = settings.stalenessCheck() == Router.StalenessCheck.SILENT ? 0 : needUs;
        a.job = new Job(a.order.workUs, a.order.write, checkedUs, a.told, (outcome, role, positionUs, util) -> {
            if (links.open(a.server.zone, zone)) {
                if (outcome == Outcome.OK && a.order.write) {
                    kernel.after(KNOWN_AFTER_US, () -> committed(a.order, positionUs));
                }
            }
            if (links.open(a.server.zone, zone) && !a.server.losesAnswer()) {
                kernel.after(
                        links.delayUs(a.server.zone, zone), () -> answer(a, needUs, outcome, role, positionUs, util));
            }
        });
        hand(a.server, a.job);
    }

    private boolean knowsStart(Server s) {
        return bornUs.getOrDefault(s.id, 0L) == s.bornUs();
    }

    private void hand(Server s, Job job) {
        boolean fallen = s.fallen();
        s.arrive(job);
        if (s.fallen() && !fallen && s.pushed()) {
            listener.serverOverloaded(kernel.now(), s.id);
        }
    }

    private void answer(Attempt a, long needUs, Outcome outcome, Role role, long positionUs, double util) {
        if (!out(a)) {
            return;
        }
        if (outcome == Outcome.RESET) {
            finish(a, Result.of(outcome));
            return;
        }
        idle.get(a.server.id).add(kernel.now());
        boolean ok = outcome == Outcome.OK;
        if (ok && !a.order.write && !a.excused) {
            listener.readServed(kernel.now(), a.order.id, role == Role.PRIMARY ? kernel.now() : positionUs, needUs);
        }
        if (role == Role.REPLICA) {
            replicasAtUs.put(a.server.id, kernel.now());
        }
        if (ok && a.order.write) {
            committed(a.order, positionUs);
        }
        long told = ok && a.order.write ? ceilMs(positionUs) : settings.positions() ? floorMs(positionUs) : 0;
        finish(a, new Result(outcome, role, told, report(role, positionUs, util), ok ? new byte[0] : null));
    }

    private void committed(Order write, long positionUs) {
        commits.merge(write.session, positionUs, Math::max);
    }

    /** Positions are told in milliseconds: what a server has, rounded down, and commits, up. */
    private static long floorMs(long us) {
        return us / 1000 * 1000;
    }

    private static long ceilMs(long us) {
        return floorMs(us + 999);
    }

    private Router.Report report(Role role, long positionUs, double util) {
        return reports.isEmpty()
                ? null
                : new Router.Report(
                        reports.contains("x0") ? floorMs(positionUs) : 0,
                        reports.contains("x1") ? role : Role.UNKNOWN,
                        reports.contains("load_share") ? util : Double.NaN,
                        Double.NaN,
                        Double.NaN);
    }

    private void finish(Attempt a, Result result) {
        if (attempts.remove(a.handle) == a) {
            if (a.order != null) {
                listener.attemptEnded(
                        kernel.now(),
                        number,
                        a.order.id,
                        result.outcome(),
                        !result.outcome().provesNotRun && result.outcome() != Outcome.OK);
            }
            a.sink.ended(result);
        }
    }

    @Override
    public boolean hasBegun(long attempt) {
        Attempt a = attempts.get(attempt);
        return a == null || a.written;
    }

    @Override
    public boolean abandon(long attempt) {
        Attempt a = attempts.remove(attempt);
        if (a == null) {
            return false;
        }
        listener.attemptEnded(
                kernel.now(), number, a.order.id, a.written ? Outcome.TIMEOUT : Outcome.NOT_SENT, a.written);
        if (a.job != null && links.open(zone, a.server.zone)) {
            kernel.after(links.delayUs(zone, a.server.zone), () -> a.server.cancel(a.job));
        }
        return a.written;
    }

    @Override
    public void probe(String memberId, AttemptListener sink) {
        Attempt a = new Attempt(servers.get(memberId), null, sink);
        a.handle = attempts.add(a);
        kernel.after(connectTimeoutUs, () -> finish(a, Result.of(Outcome.TIMEOUT)));
        connect(a, () -> {
            Server s = a.server;
            Result report = new Result(Outcome.OK, Role.UNKNOWN, 0, report(s.role(), s.position(), s.util()), null);
            hand(s, new Job(PROBE_WORK_US, false, 0, knowsStart(s), (outcome, role, positionUs, util) -> {}));
            finish(a, report);
        });
    }
}
