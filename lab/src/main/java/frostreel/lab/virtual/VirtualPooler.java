package frostreel.lab.virtual;

import frostreel.broker.Broker;
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
import frostreel.time.Deadlines;
import frostreel.util.SlotTable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;

/**
 * One incarnation of a pooler: the program's own broker and decisions in virtual time, with the model's servers
 * and links in place of sockets.
 */
final class VirtualPooler implements BackEnd {
    /** An attempt of a request; or a health check, whose payload is null. */
    private static final class Attempt {
        final Server server;
        final SimulatedPayload payload;
        final AttemptListener listener;
        long handle;
        boolean written;
        /** Whether this pooler knew of the server's last start when it sent the attempt. */
        boolean knewStart;
        /** Whether its answer may be stale, as this pooler cannot know yet that the server was demoted. */
        boolean mayBeStale;

        /** Whether the server has already let it wait once for the replay of its log. */
        boolean waitedForReplay;
        /** Null until it arrives at the server. */
        Job job;

        Attempt(Server server, SimulatedPayload payload, AttemptListener listener) {
            this.server = server;
            this.payload = payload;
            this.listener = listener;
        }
    }

    private static final double HEALTH_CHECK_WORK_US = 300;
    private static final int MAX_ATTEMPTS_IN_FLIGHT = 1 << 19;
    private static final int MAX_OPEN_REQUESTS = 1 << 16;
    private static final long US_PER_MS = 1000;

    final int number;
    final int zone;
    final Counters counters = new Counters();
    /** By zone: the number of attempts begun at its servers. */
    final long[] sentTo;

    private final Scheduler scheduler;
    private final Links links;
    private final Map<String, Server> servers;
    private final RunListener runListener;
    private final Router.Settings settings;
    private final long connectTimeoutUs;
    private final Set<String> reportFields;
    private final Broker broker;
    private final Map<String, ArrayDeque<Long>> idleConnections = new HashMap<>();
    /** By server: its last start, according to the endpoint list. */
    private final Map<String, Long> startTimesUs = new HashMap<>();
    /** By server: when it last answered as a replica. */
    private final Map<String, Long> lastSeenReplicaUs = new HashMap<>();
    /** By session: its last commit through this pooler, including those whose answers were lost. */
    private final Map<Long, Long> commits = new HashMap<>();

    private final SlotTable<Attempt> attempts = new SlotTable<>(MAX_ATTEMPTS_IN_FLIGHT);
    /** The number of alarms set so far; only the newest one is valid. */
    private long alarms;

    VirtualPooler(
            int number,
            int zone,
            int zones,
            Scheduler scheduler,
            Links links,
            Map<String, Server> servers,
            RunListener runListener,
            Set<String> reportFields,
            Router.Settings settings,
            BiFunction<Router.Settings, Router.Actions, Router> routers) {
        this.number = number;
        this.zone = zone;
        this.scheduler = scheduler;
        this.links = links;
        this.servers = servers;
        this.runListener = runListener;
        sentTo = new long[zones];
        this.reportFields = reportFields;
        this.settings = settings;
        connectTimeoutUs = settings.limits().connectTimeoutUs();
        Deadlines[] deadlines = new Deadlines[1];
        deadlines[0] = new Deadlines(scheduler::now, us -> {
            long alarm = ++alarms;
            scheduler.after(us, () -> {
                if (alarm == alarms) {
                    deadlines[0].runDue();
                }
            });
        });
        broker = new Broker(scheduler::now, deadlines[0], counters, this, settings, MAX_OPEN_REQUESTS, routers);
    }

    void submit(RequestAttributes attributes, SimulatedPayload payload, ResponseHandler handler) {
        broker.submit(attributes, payload, handler);
    }

    /** Takes an update of the endpoint list. */
    void updateEndpoints(Router.ListKind kind, List<Router.Member> members) {
        members.forEach(member -> {
            runListener.endpointUpdated(scheduler.now(), number, member.id(), member.state());
            startTimesUs.put(member.id(), member.startedUs());
        });
        broker.updateMembers(kind, members);
    }

    /**
     * The position of a session's last commit through this pooler, 0 for none. A read of the session requires
     * data up to there, even where the commit was lost with its primary, since nobody is notified of the loss: a
     * replica may serve it only from beyond that position. The new primary may serve it at once, whatever
     * position it reports, since no server has newer data; a former primary may not, once it has answered as a
     * replica.
     */
    long lastCommitUs(long session) {
        return commits.getOrDefault(session, 0L);
    }

    /** Kills the process: its connections end, and no timer of it fires any more. */
    void kill() {
        alarms++; // Invalidates every alarm.
        List<Attempt> inFlight = new ArrayList<>();
        attempts.forEach(inFlight::add);
        inFlight.forEach(attempt -> {
            attempts.remove(attempt.handle);
            if (attempt.job != null) {
                attempt.server.cancel(attempt.job);
            }
        });
        runListener.poolerKilled(scheduler.now(), number);
    }

    @Override
    public long start(String memberId, Payload payload, long patienceUs, AttemptListener listener) {
        Attempt attempt = new Attempt(servers.get(memberId), (SimulatedPayload) payload, listener);
        attempt.handle = attempts.add(attempt);
        sentTo[attempt.server.zone]++;
        runListener.attemptSent(scheduler.now(), number, attempt.payload.id(), memberId);
        attempt.mayBeStale = attempt.server.primarySinceUs() > lastSeenReplicaUs.getOrDefault(memberId, 0L);
        ArrayDeque<Long> idleSinceUs = idleConnections.computeIfAbsent(memberId, id -> new ArrayDeque<>());
        idleSinceUs.removeIf(
                sinceUs -> scheduler.now() - sinceUs >= settings.limits().idleCloseUs());
        if (idleSinceUs.pollLast() != null) {
            write(attempt);
        } else {
            connect(attempt, () -> write(attempt));
        }
        return attempt.handle;
    }

    /** Whether an attempt has neither ended nor been abandoned. */
    private boolean isInFlight(Attempt attempt) {
        return attempts.get(attempt.handle) == attempt;
    }

    /** Opens a connection: it is established or refused after a round trip, or times out. */
    private void connect(Attempt attempt, Runnable then) {
        int to = attempt.server.zone;
        if (attempt.server.vanished() || !links.open(zone, to) || !links.open(to, zone)) {
            scheduler.after(connectTimeoutUs, () -> finish(attempt, Result.of(Outcome.CONNECT_FAILED)));
            return;
        }
        scheduler.after(links.delayUs(zone, to) + links.delayUs(to, zone), () -> {
            if (!attempt.server.up()) {
                finish(attempt, Result.of(Outcome.CONNECT_FAILED));
            } else if (isInFlight(attempt) && attempt.listener.mayBegin()) {
                then.run();
            } else {
                finish(attempt, Result.of(Outcome.NOT_SENT));
            }
        });
    }

    private void write(Attempt attempt) {
        attempt.written = true;
        attempt.knewStart = knowsStart(attempt.server);
        if (links.open(zone, attempt.server.zone)) {
            long requiredUs = attempt.payload.write() ? 0 : attempt.payload.requiredAt(scheduler.now());
            scheduler.after(links.delayUs(zone, attempt.server.zone), () -> arrive(attempt, requiredUs));
        }
    }

    /** The attempt reaches its server; one that was abandoned meanwhile does not begin. */
    private void arrive(Attempt attempt, long requiredUs) {
        if (!isInFlight(attempt)) {
            return;
        }
        boolean mayWait = settings.stalenessCheck() == Router.StalenessCheck.WAIT && !attempt.waitedForReplay;
        if (mayWait && requiredUs > attempt.server.appliedUs()) {
            attempt.waitedForReplay = true;
            scheduler.after(settings.limits().holdsForUs(), () -> arrive(attempt, requiredUs));
            return;
        }
        long checkedUs = settings.stalenessCheck() == Router.StalenessCheck.SILENT ? 0 : requiredUs;
        attempt.job = new Job(
                attempt.payload.workUs(),
                attempt.payload.write(),
                checkedUs,
                attempt.knewStart,
                (outcome, role, positionUs, utilization) ->
                        sendAnswer(attempt, requiredUs, outcome, role, positionUs, utilization));
        handTo(attempt.server, attempt.job);
    }

    /** The server has answered; a commit becomes known a little later even where its answer is lost. */
    private void sendAnswer(
            Attempt attempt, long requiredUs, Outcome outcome, Role role, long positionUs, double utilization) {
        Server server = attempt.server;
        if (!links.open(server.zone, zone)) {
            return;
        }
        if (outcome == Outcome.OK && attempt.payload.write()) {
            scheduler.after(Router.KNOWN_AFTER_US, () -> committed(attempt.payload, positionUs));
        }
        if (!server.faults().nextAnswerIsLost()) {
            scheduler.after(
                    links.delayUs(server.zone, zone),
                    () -> receiveAnswer(attempt, requiredUs, outcome, role, positionUs, utilization));
        }
    }

    private boolean knowsStart(Server server) {
        return startTimesUs.getOrDefault(server.id, 0L) == server.startedUs();
    }

    private void handTo(Server server, Job job) {
        boolean wasOverloaded = server.overloaded();
        server.arrive(job);
        if (server.overloaded() && !wasOverloaded && server.overloadBrokeRule()) {
            runListener.serverOverloaded(scheduler.now(), server.id);
        }
    }

    private void receiveAnswer(
            Attempt attempt, long requiredUs, Outcome outcome, Role role, long positionUs, double utilization) {
        if (!isInFlight(attempt)) {
            return;
        }
        if (outcome == Outcome.RESET) {
            finish(attempt, Result.of(outcome));
            return;
        }
        idleConnections.get(attempt.server.id).add(scheduler.now());
        boolean ok = outcome == Outcome.OK;
        if (ok && !attempt.payload.write() && !attempt.mayBeStale) {
            runListener.readServed(
                    scheduler.now(),
                    attempt.payload.id(),
                    role == Role.PRIMARY ? scheduler.now() : positionUs,
                    requiredUs);
        }
        if (role == Role.REPLICA) {
            lastSeenReplicaUs.put(attempt.server.id, scheduler.now());
        }
        if (ok && attempt.payload.write()) {
            committed(attempt.payload, positionUs);
        }
        long reportedUs = ok && attempt.payload.write() ? ceilMs(positionUs) : reportedPositionUs(positionUs);
        finish(
                attempt,
                new Result(outcome, role, reportedUs, report(role, positionUs, utilization), ok ? new byte[0] : null));
    }

    private void committed(SimulatedPayload write, long positionUs) {
        commits.merge(write.session(), positionUs, Math::max);
    }

    private long reportedPositionUs(long positionUs) {
        return settings.positions() ? floorMs(positionUs) : 0;
    }

    /** Servers report milliseconds: positions are rounded down, and commits are rounded up. */
    private static long floorMs(long us) {
        return us / US_PER_MS * US_PER_MS;
    }

    private static long ceilMs(long us) {
        return floorMs(us + US_PER_MS - 1);
    }

    private Router.Report report(Role role, long positionUs, double utilization) {
        return reportFields.isEmpty()
                ? null
                : new Router.Report(
                        reportFields.contains("x0") ? floorMs(positionUs) : 0,
                        reportFields.contains("x1") ? role : Role.UNKNOWN,
                        reportFields.contains("load_share") ? utilization : Double.NaN,
                        Double.NaN,
                        Double.NaN);
    }

    private void finish(Attempt attempt, Result result) {
        if (attempts.remove(attempt.handle) == attempt) {
            if (attempt.payload != null) {
                runListener.attemptEnded(
                        scheduler.now(),
                        number,
                        attempt.payload.id(),
                        result.outcome(),
                        !result.outcome().provesNotRun && result.outcome() != Outcome.OK);
            }
            attempt.listener.ended(result);
        }
    }

    @Override
    public boolean hasBegun(long handle) {
        Attempt attempt = attempts.get(handle);
        return attempt == null || attempt.written;
    }

    @Override
    public boolean abandon(long handle) {
        Attempt attempt = attempts.remove(handle);
        if (attempt == null) {
            return false;
        }
        runListener.attemptEnded(
                scheduler.now(),
                number,
                attempt.payload.id(),
                attempt.written ? Outcome.TIMEOUT : Outcome.NOT_SENT,
                attempt.written);
        if (attempt.job != null && links.open(zone, attempt.server.zone)) {
            scheduler.after(links.delayUs(zone, attempt.server.zone), () -> attempt.server.cancel(attempt.job));
        }
        return attempt.written;
    }

    @Override
    public void checkHealth(String memberId, AttemptListener listener) {
        Attempt attempt = new Attempt(servers.get(memberId), null, listener);
        attempt.handle = attempts.add(attempt);
        scheduler.after(connectTimeoutUs, () -> finish(attempt, Result.of(Outcome.TIMEOUT)));
        connect(attempt, () -> {
            Server server = attempt.server;
            Result report = new Result(
                    Outcome.OK,
                    Role.UNKNOWN,
                    0,
                    report(server.role(), server.reportedPositionUs(), server.utilization()),
                    null);
            handTo(
                    server,
                    new Job(
                            HEALTH_CHECK_WORK_US,
                            false,
                            0,
                            knowsStart(server),
                            (outcome, role, positionUs, utilization) -> {}));
            finish(attempt, report);
        });
    }
}
