package frostreel.lab.virtual;

import frostreel.lab.model.Job;
import frostreel.lab.model.Links;
import frostreel.lab.model.Scheduler;
import frostreel.lab.model.Server;
import frostreel.lab.rules.RunListener;
import frostreel.request.BackEnd;
import frostreel.request.Payload;
import frostreel.routing.Router;
import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import frostreel.util.SlotTable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The back end of a {@link VirtualPooler}: carries its attempts and health checks over the model's links. */
final class VirtualBackEnd implements BackEnd {
    private static final double HEALTH_CHECK_WORK_US = 300;
    private static final int MAX_ATTEMPTS_IN_FLIGHT = 1 << 19;

    private final int pooler;
    private final int zone;
    private final Scheduler scheduler;
    private final Links links;
    private final Map<String, Server> servers;
    private final RunListener runListener;
    private final Router.Settings settings;
    private final long connectTimeoutUs;
    private final ServerReports reports;
    private final IdleConnections idleConnections;
    private final KnownServers knownServers = new KnownServers();
    /** By session: its last commit through this pooler, including those whose answers were lost. */
    private final Map<Long, Long> commits = new HashMap<>();
    /** By zone: the number of attempts begun at its servers. */
    private final long[] attemptsTo;

    private final SlotTable<SimulatedAttempt> attempts = new SlotTable<>(MAX_ATTEMPTS_IN_FLIGHT);

    VirtualBackEnd(
            int pooler,
            int zone,
            int zones,
            Environment environment,
            Set<String> reportFields,
            Router.Settings settings) {
        this.pooler = pooler;
        this.zone = zone;
        this.settings = settings;
        scheduler = environment.scheduler();
        links = environment.links();
        servers = environment.servers();
        runListener = environment.listener();
        attemptsTo = new long[zones];
        connectTimeoutUs = settings.limits().connectTimeoutUs();
        reports = new ServerReports(settings.responsesCarryPositions(), reportFields);
        idleConnections = new IdleConnections(settings.limits().idleTimeoutUs());
    }

    /** Takes an entry of the endpoint list. */
    void updateEndpoint(Router.Member member) {
        knownServers.recordEndpoint(member);
    }

    /** The number of attempts begun at servers of a zone. */
    long attemptsTo(int serverZone) {
        return attemptsTo[serverZone];
    }

    /** The position of a session's last commit through this pooler, 0 for none. */
    long lastCommitUs(long session) {
        return commits.getOrDefault(session, 0L);
    }

    /** The process is killed: its attempts end without an outcome, and servers cancel them. */
    void endAll() {
        List<SimulatedAttempt> inFlight = new ArrayList<>();
        attempts.forEach(inFlight::add);
        inFlight.forEach(attempt -> {
            attempts.remove(attempt.handle);
            if (attempt.job != null) {
                attempt.server.cancel(attempt.job);
            }
        });
    }

    @Override
    public long start(String memberId, Payload payload, long timeoutUs, AttemptListener listener) {
        SimulatedAttempt attempt = new SimulatedAttempt(servers.get(memberId), (SimulatedPayload) payload, listener);
        attempt.handle = attempts.add(attempt);
        attemptsTo[attempt.server.zone]++;
        runListener.attemptSent(scheduler.now(), pooler, attempt.payload.id(), memberId);
        attempt.mayBeStale = knownServers.mayBeDemoted(attempt.server);
        if (idleConnections.take(memberId, scheduler.now())) {
            write(attempt);
        } else {
            connect(attempt, () -> write(attempt));
        }
        return attempt.handle;
    }

    /** Whether an attempt has neither ended nor been abandoned. */
    private boolean isInFlight(SimulatedAttempt attempt) {
        return attempts.get(attempt.handle) == attempt;
    }

    /** Opens a connection: it is established or refused after a round trip, or times out. */
    private void connect(SimulatedAttempt attempt, Runnable onConnected) {
        int to = attempt.server.zone;
        if (attempt.server.vanished() || !links.open(zone, to) || !links.open(to, zone)) {
            scheduler.after(connectTimeoutUs, () -> finish(attempt, Result.of(Outcome.CONNECT_FAILED)));
            return;
        }
        scheduler.after(links.delayUs(zone, to) + links.delayUs(to, zone), () -> {
            if (!attempt.server.up()) {
                finish(attempt, Result.of(Outcome.CONNECT_FAILED));
            } else if (isInFlight(attempt) && attempt.listener.mayBegin() && isInFlight(attempt)) {
                onConnected.run();
            } else {
                finish(attempt, Result.of(Outcome.NOT_SENT));
            }
        });
    }

    private void write(SimulatedAttempt attempt) {
        attempt.written = true;
        attempt.knewStart = knownServers.isStartKnown(attempt.server);
        if (links.open(zone, attempt.server.zone)) {
            long requiredUs = attempt.payload.write() ? 0 : attempt.payload.requiredAt(scheduler.now());
            scheduler.after(links.delayUs(zone, attempt.server.zone), () -> arrive(attempt, requiredUs));
        }
    }

    /** The attempt reaches its server; one that was abandoned meanwhile does not begin. */
    private void arrive(SimulatedAttempt attempt, long requiredUs) {
        if (!isInFlight(attempt)) {
            return;
        }
        boolean mayWait = settings.stalenessCheck() == Router.StalenessCheck.WAIT && !attempt.waitedForReplay;
        if (mayWait && requiredUs > attempt.server.appliedUs()) {
            attempt.waitedForReplay = true;
            scheduler.after(settings.limits().staleReadWaitUs(), () -> arrive(attempt, requiredUs));
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
        begin(attempt.server, attempt.job);
    }

    private void begin(Server server, Job job) {
        boolean wasOverloaded = server.overloaded();
        server.arrive(job);
        if (server.overloaded() && !wasOverloaded && server.overloadBrokeRule()) {
            runListener.serverOverloaded(scheduler.now(), server.id);
        }
    }

    /** The server has answered; a commit becomes known a little later even where its answer is lost. */
    private void sendAnswer(
            SimulatedAttempt attempt,
            long requiredUs,
            Outcome outcome,
            Role role,
            long positionUs,
            double utilization) {
        Server server = attempt.server;
        if (!links.open(server.zone, zone)) {
            return;
        }
        if (outcome == Outcome.OK && attempt.payload.write()) {
            scheduler.after(Router.KNOWN_AFTER_US, () -> recordCommit(attempt.payload, positionUs));
        }
        if (!server.faults().nextAnswerIsLost()) {
            scheduler.after(
                    links.delayUs(server.zone, zone),
                    () -> receiveAnswer(attempt, requiredUs, outcome, role, positionUs, utilization));
        }
    }

    private void receiveAnswer(
            SimulatedAttempt attempt,
            long requiredUs,
            Outcome outcome,
            Role role,
            long positionUs,
            double utilization) {
        if (!isInFlight(attempt)) {
            return;
        }
        if (outcome == Outcome.RESET) {
            finish(attempt, Result.of(outcome));
            return;
        }
        idleConnections.add(attempt.server.id, scheduler.now());
        boolean ok = outcome == Outcome.OK;
        boolean committed = ok && attempt.payload.write();
        if (ok && !committed && !attempt.mayBeStale) {
            long servedUs = role == Role.PRIMARY ? scheduler.now() : positionUs;
            runListener.readServed(scheduler.now(), attempt.payload.id(), servedUs, requiredUs);
        }
        if (role == Role.REPLICA) {
            knownServers.recordReplica(attempt.server, scheduler.now());
        }
        if (committed) {
            recordCommit(attempt.payload, positionUs);
        }
        long reportedUs = committed ? ServerReports.commitPosition(positionUs) : reports.position(positionUs);
        Router.Report report = reports.loadReport(role, positionUs, utilization);
        finish(attempt, new Result(outcome, role, reportedUs, report, ok ? new byte[0] : null));
    }

    private void recordCommit(SimulatedPayload write, long positionUs) {
        commits.merge(write.session(), positionUs, Math::max);
    }

    private void finish(SimulatedAttempt attempt, Result result) {
        if (attempts.remove(attempt.handle) != attempt) {
            return;
        }
        if (attempt.payload != null) {
            boolean mayHaveRun = !result.outcome().provesNotRun && result.outcome() != Outcome.OK;
            runListener.attemptEnded(scheduler.now(), pooler, attempt.payload.id(), result.outcome(), mayHaveRun);
        }
        attempt.listener.ended(result);
    }

    @Override
    public boolean hasBegun(long handle) {
        SimulatedAttempt attempt = attempts.get(handle);
        return attempt == null || attempt.written;
    }

    @Override
    public Abandoned abandon(long handle) {
        SimulatedAttempt attempt = attempts.remove(handle);
        if (attempt == null) {
            return Abandoned.ALREADY_ENDED;
        }
        Outcome outcome = attempt.written ? Outcome.TIMEOUT : Outcome.NOT_SENT;
        runListener.attemptEnded(scheduler.now(), pooler, attempt.payload.id(), outcome, attempt.written);
        if (attempt.job != null && links.open(zone, attempt.server.zone)) {
            scheduler.after(links.delayUs(zone, attempt.server.zone), () -> attempt.server.cancel(attempt.job));
        }
        return attempt.written ? Abandoned.MAY_HAVE_REACHED_SERVER : Abandoned.NOT_SENT;
    }

    @Override
    public void checkHealth(String memberId, AttemptListener listener) {
        SimulatedAttempt check = new SimulatedAttempt(servers.get(memberId), null, listener);
        check.handle = attempts.add(check);
        scheduler.after(connectTimeoutUs, () -> finish(check, Result.of(Outcome.TIMEOUT)));
        connect(check, () -> answerHealthCheck(check));
    }

    /** Answers a health check with the load before it, which its own small work adds to. */
    private void answerHealthCheck(SimulatedAttempt check) {
        Server server = check.server;
        Router.Report report = reports.loadReport(server.role(), server.reportedPositionUs(), server.utilization());
        Result result = new Result(Outcome.OK, Role.UNKNOWN, 0, report, null);
        boolean startKnown = knownServers.isStartKnown(server);
        Job work = new Job(HEALTH_CHECK_WORK_US, false, 0, startKnown, (outcome, role, positionUs, utilization) -> {});
        begin(server, work);
        finish(check, result);
    }
}
