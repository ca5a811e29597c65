package frostreel.lab.model;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** One database server: cores, a queue, a log position, and what makes it fall over. It knows no network. */
public final class Server {
    private static final double UTILIZATION_SPAN_US = 100_000;

    public final String id;
    public final int zone;
    public final int group;
    private final Scheduler scheduler;
    private final ServerParameters parameters;
    private final int cores;
    private final double speed;
    private final ReplicaLog log;
    private final WarmUpLoad warmUpLoad;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<Job> inWork = new ArrayDeque<>();
    private int busyCores;
    private double utilization;
    private long utilizationAtUs;
    private boolean up = true;
    private boolean vanished;
    private boolean draining;
    private boolean overloaded;
    private long startedUs;
    private long stalledUntilUs;
    private double slowdown = 1;
    private double failingShare;
    private double owedFailures;
    private double losingShare;
    private double owedLosses;

    /** A warm replica whose log is as far as the model's delay allows. */
    public Server(
            Scheduler scheduler, ServerParameters parameters, String id, int zone, int group, int cores, double speed) {
        this.scheduler = scheduler;
        this.parameters = parameters;
        this.id = id;
        this.zone = zone;
        this.group = group;
        this.cores = cores;
        this.speed = speed;
        log = new ReplicaLog(scheduler, parameters);
        warmUpLoad = new WarmUpLoad(parameters);
    }

    public boolean up() {
        return up;
    }

    /** Whether it was sent more than it could take while cold; it does not start again. */
    public boolean overloaded() {
        return overloaded;
    }

    /** Whether its fall broke the rule: most of the work came from senders that knew of its start. */
    public boolean overloadBrokeRule() {
        return warmUpLoad.mostSendersKnew();
    }

    public boolean primary() {
        return log.primary();
    }

    public Role role() {
        return log.role();
    }

    /** When it last became primary, 0 for never. */
    public long primarySinceUs() {
        return log.primarySinceUs();
    }

    /** It stands still: what comes and what is done waits so long. */
    public void stall(long us) {
        stalledUntilUs = scheduler.now() + us;
    }

    /** From now on this share of its answers is lost on the way. */
    public void loseAnswers(double share) {
        losingShare = share;
    }

    /** Whether the answer that it gives now is lost. */
    public boolean nextAnswerIsLost() {
        owedLosses += losingShare;
        boolean lost = owedLosses >= 1;
        owedLosses -= lost ? 1 : 0;
        return lost;
    }

    /** From now on this share of what comes ends at once, by an error. */
    public void failRequests(double share) {
        failingShare = share;
    }

    /** When it last started, 0 for long ago. */
    public long startedUs() {
        return startedUs;
    }

    /** The largest multiple of its present capacity that it was sent over the rule's window while cold. */
    public double largestMultiple() {
        return warmUpLoad.largestMultiple();
    }

    /** Cores' worth of work that it can do in a moment. */
    public double capacity() {
        return cores * speed * warmth() / slowdown;
    }

    /** The share of its full capacity that it has by its age. */
    private double warmth() {
        if (startedUs == 0) {
            return 1;
        }
        double share = (double) (scheduler.now() - startedUs) / parameters.warmAfterUs();
        return Math.min(1, parameters.coldFrom() + (1 - parameters.coldFrom()) * share);
    }

    /** Everything takes so many times as long from now on. */
    public void slowDown(double times) {
        slowdown = times;
    }

    /** Seconds of the log that it applies in a second from now on. */
    public void replayRate(double rate) {
        log.replayRate(rate);
    }

    /** Whether the primary's log reaches it: not while the group has none, nor across a cut. */
    public void connectToLog(boolean isFed) {
        log.connected(isFed);
    }

    /** It becomes primary, or replica, by a handover that loses nothing. */
    public void promote(boolean isPrimary) {
        log.promote(isPrimary);
    }

    /** It takes over from a primary that is gone, and has no more than it has applied. */
    public void succeedLostPrimary() {
        log.succeedLostPrimary();
    }

    /** Forgets the commits after that, and returns them: the log goes on without them. */
    List<Long> dropCommitsAfter(long afterUs) {
        return log.dropAfter(afterUs);
    }

    /** What it reports of how far it is; a primary that inherited its log knows of nothing beyond its end. */
    public long reportedPositionUs() {
        return log.reportedUs();
    }

    /** A time up to which it has applied every commit that there still is. */
    public long appliedUs() {
        return log.appliedUs();
    }

    /** Its machine is gone: it says nothing, and neither do its connections. */
    public void vanish() {
        vanished = true;
        stop();
    }

    /** Its process ends: what it held ends as a reset. */
    public void crash() {
        List<Job> held = new ArrayList<>(inWork);
        held.addAll(waiting);
        stop();
        held.forEach(job -> job.listener.ended(Outcome.RESET, Role.UNKNOWN, 0, 0));
    }

    private void stop() {
        log.stop();
        up = false;
        inWork.forEach(job -> job.over = true);
        waiting.forEach(job -> job.over = true);
        inWork.clear();
        waiting.clear();
        occupy(-busyCores);
    }

    /** From now on it rejects what comes, and finishes what it has. */
    public void drain() {
        draining = true;
    }

    public boolean draining() {
        return draining;
    }

    /** Whether it says nothing, not even that it is gone. */
    public boolean vanished() {
        return vanished;
    }

    /** It starts cold, and goes on from where its log stood. */
    public void start() {
        vanished = false;
        draining = false;
        if (!overloaded) {
            log.appliedUs();
            up = true;
            startedUs = scheduler.now();
            warmUpLoad.clear();
        }
    }

    /** A request's last byte has come. */
    public void arrive(Job job) {
        if (!up) {
            job.over = true;
            if (!vanished) {
                job.listener.ended(Outcome.RESET, Role.UNKNOWN, 0, 0);
            }
        } else if (draining) {
            end(job, Outcome.REJECTED);
        } else if (stalledUntilUs > scheduler.now()) {
            scheduler.after(stalledUntilUs - scheduler.now(), () -> {
                if (!job.over) {
                    arrive(job);
                }
            });
        } else if (startedUs != 0 && overloadedWhileCold(job)) {
            overloaded = true;
            end(job, Outcome.RESET);
            crash();
        } else {
            take(job);
        }
    }

    private void take(Job job) {
        owedFailures += failingShare;
        if (owedFailures >= 1) {
            owedFailures--;
            end(job, Outcome.ERROR);
        } else if ((job.write && !log.primary()) || job.requiredPositionUs > log.appliedUs()) {
            end(job, Outcome.WRONG_ROLE_OR_STALE);
        } else if (busyCores < cores) {
            begin(job);
        } else if (waiting.size() >= parameters.queue()) {
            end(job, Outcome.REJECTED);
        } else {
            waiting.add(job);
        }
    }

    private boolean overloadedWhileCold(Job job) {
        return warmth() < 1 && warmUpLoad.overloadedBy(job, scheduler.now(), capacity());
    }

    private void begin(Job job) {
        occupy(1);
        job.running = true;
        inWork.add(job);
        long durationUs = (long) (job.workUs / (speed * warmth() / slowdown));
        scheduler.after(durationUs, () -> finish(job));
    }

    private void finish(Job job) {
        if (stalledUntilUs > scheduler.now()) {
            scheduler.after(stalledUntilUs - scheduler.now(), () -> finish(job));
        } else if (!job.over) {
            inWork.remove(job);
            occupy(-1);
            end(job, job.write && !log.primary() ? Outcome.ERROR : Outcome.OK);
            beginWaiting();
        }
    }

    private void beginWaiting() {
        while (busyCores < cores && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (!job.over) {
                begin(job);
            }
        }
    }

    /** Its sender gave it up: a running one stops where that can be, a waiting one never begins. */
    public void cancel(Job job) {
        if (!job.over && (parameters.cancels() || !job.running)) {
            job.over = true;
            if (job.running) {
                inWork.remove(job);
                occupy(-1);
                beginWaiting();
            } else {
                waiting.remove(job);
            }
        }
    }

    private void end(Job job, Outcome outcome) {
        job.over = true;
        if (outcome == Outcome.OK && job.write) {
            log.commit();
        }
        job.listener.ended(outcome, role(), reportedPositionUs(), utilization());
    }

    private void occupy(int moreCores) {
        utilization();
        busyCores += moreCores;
    }

    /** Share of its cores in use, over about the last tenth of a second. */
    public double utilization() {
        double fade = Math.exp((utilizationAtUs - scheduler.now()) / UTILIZATION_SPAN_US);
        utilization = utilization * fade + (1 - fade) * busyCores / cores;
        utilizationAtUs = scheduler.now();
        return utilization;
    }
}
