package frostreel.lab.model;

import frostreel.routing.Router.Outcome;
import frostreel.routing.Router.Role;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * One database server: its cores and queue, its role and log, its warm-up and the overload that crashes it. It
 * knows no network. Owned by a {@link Cluster}; used by the scheduler's one thread.
 */
public final class Server {
    /** Unique in the deployment. */
    public final String id;

    public final int zone;
    public final int group;
    private final Scheduler scheduler;
    private final ServerParameters parameters;
    private final Cores cores;
    private final double speed;
    private final ReplicaLog log;
    private final WarmUpLoad warmUpLoad;
    private final ServerFaults faults;
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private final ArrayDeque<Job> inWork = new ArrayDeque<>();
    private boolean up = true;
    private boolean vanished;
    private boolean draining;
    private boolean overloaded;
    private long startedUs;

    /**
     * A running, warm replica that is up to date.
     *
     * @param cores how many requests it runs at once
     * @param speed of each core; requests state their work for a speed of 1
     */
    public Server(
            Scheduler scheduler, ServerParameters parameters, String id, int zone, int group, int cores, double speed) {
        this.scheduler = scheduler;
        this.parameters = parameters;
        this.id = id;
        this.zone = zone;
        this.group = group;
        this.cores = new Cores(scheduler, cores);
        this.speed = speed;
        log = new ReplicaLog(scheduler, parameters);
        warmUpLoad = new WarmUpLoad(parameters);
        faults = new ServerFaults(scheduler);
    }

    /** Whether its process runs, draining or not. */
    public boolean up() {
        return up;
    }

    /** Whether overload crashed it while it was warming up; such a server never starts again. */
    public boolean overloaded() {
        return overloaded;
    }

    /**
     * Whether its crash breaks the rule on cold servers: enough of the work came from senders that knew of its
     * start.
     */
    public boolean overloadBrokeRule() {
        return warmUpLoad.mostSendersKnew();
    }

    /** Whether it is its group's primary. */
    public boolean primary() {
        return log.primary();
    }

    /** Its present role. */
    public Role role() {
        return log.role();
    }

    /** When it last became primary, in Unix microseconds; 0 for never. */
    public long primarySinceUs() {
        return log.primarySinceUs();
    }

    /** The faults that are injected into it. */
    public ServerFaults faults() {
        return faults;
    }

    /** When it last started, in Unix microseconds; 0 for long ago. */
    public long startedUs() {
        return startedUs;
    }

    /** The largest load during warm-up, over the rule's window, as a multiple of the capacity at that time. */
    public double largestMultiple() {
        return warmUpLoad.largestMultiple();
    }

    /** Its present capacity, in cores of speed 1. */
    public double capacity() {
        return cores.count() * speed * warmth() / faults.slowdown();
    }

    /** The share of its full capacity, 0 to 1, that it has at its age. */
    private double warmth() {
        if (startedUs == 0) {
            return 1;
        }
        double share = (double) (scheduler.now() - startedUs) / parameters.warmAfterUs();
        return Math.min(1, parameters.coldFrom() + (1 - parameters.coldFrom()) * share);
    }

    /** Sets how many seconds of the log it applies per second from now on. */
    public void replayRate(double rate) {
        log.replayRate(rate);
    }

    /** Sets whether it receives the primary's log: not while the group has no primary, nor across a cut. */
    public void connectToLog(boolean isConnected) {
        log.connected(isConnected);
    }

    /** Makes it primary, or replica, by a handover that loses nothing. */
    public void promote(boolean isPrimary) {
        log.promote(isPrimary);
    }

    /** Takes over from a lost primary, with only those commits that it has applied. */
    public void succeedLostPrimary() {
        log.succeedLostPrimary();
    }

    /** Drops the commits after a position, which the log continues without, and returns them. */
    List<Long> dropCommitsAfter(long positionUs) {
        return log.dropAfter(positionUs);
    }

    /**
     * The position that it reports, in Unix microseconds: a new primary knows of nothing beyond the end of the
     * log that it inherited.
     */
    public long reportedPositionUs() {
        return log.reportedUs();
    }

    /** The time, in Unix microseconds, up to which it has applied every commit that still exists. */
    public long appliedUs() {
        return log.appliedUs();
    }

    /** Its machine is gone: its requests and connections get neither an answer nor a reset. */
    public void vanish() {
        vanished = true;
        stop();
    }

    /** Its process ends: its requests end with a connection reset. */
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
        cores.releaseAll();
    }

    /** Rejects new requests from now on, and completes those that it has. */
    public void drain() {
        draining = true;
    }

    /** Whether it is shutting down gracefully. */
    public boolean draining() {
        return draining;
    }

    /** Whether its machine is gone, so that connections get no reset. */
    public boolean vanished() {
        return vanished;
    }

    /** Starts it cold, at the position at which its log stopped; no effect once it was overloaded. */
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

    /** A request has arrived in full. */
    public void arrive(Job job) {
        if (!up) {
            job.over = true;
            if (!vanished) {
                job.listener.ended(Outcome.RESET, Role.UNKNOWN, 0, 0);
            }
        } else if (draining) {
            end(job, Outcome.REJECTED);
        } else if (faults.stalledForUs() > 0) {
            scheduler.after(faults.stalledForUs(), () -> {
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
        if (faults.nextRequestFails()) {
            end(job, Outcome.ERROR);
        } else if ((job.write && !log.primary()) || job.requiredPositionUs > log.appliedUs()) {
            end(job, Outcome.WRONG_ROLE_OR_STALE);
        } else if (cores.isAnyFree()) {
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
        cores.occupy();
        job.running = true;
        inWork.add(job);
        long durationUs = (long) (job.workUs / (speed * warmth() / faults.slowdown()));
        scheduler.after(durationUs, () -> finish(job));
    }

    private void finish(Job job) {
        if (faults.stalledForUs() > 0) {
            scheduler.after(faults.stalledForUs(), () -> finish(job));
        } else if (!job.over) {
            inWork.remove(job);
            cores.release();
            end(job, job.write && !log.primary() ? Outcome.ERROR : Outcome.OK);
            beginWaiting();
        }
    }

    private void beginWaiting() {
        while (cores.isAnyFree() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (!job.over) {
                begin(job);
            }
        }
    }

    /** Cancels a request: a waiting one never begins, a running one stops where the parameters allow that. */
    public void cancel(Job job) {
        if (!job.over && (parameters.cancels() || !job.running)) {
            job.over = true;
            if (job.running) {
                inWork.remove(job);
                cores.release();
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

    /** The share of its cores in use, 0 to 1: a moving average over about a tenth of a second. */
    public double utilization() {
        return cores.utilization();
    }
}
