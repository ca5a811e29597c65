package frostreel.lab.virtual;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Scheduler;
import frostreel.lab.rules.InvariantChecker;
import frostreel.lab.rules.RunListener.Answer;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The clients of a simulation: each pooler gets a Poisson process of requests, which clients may retry once
 * after a rejection.
 */
final class SimulatedClients {
    private static final long US_PER_SECOND = 1_000_000;
    private static final long MIN_RETRY_AFTER_US = 50_000;

    private final SimulationPlan plan;
    private final Scheduler scheduler;
    private final long startUs;
    private final PoolerFleet poolers;
    private final Cluster cluster;
    private final InvariantChecker invariants;
    private final RunStatistics statistics;
    /** By session: when its last write was answered to the client, 0 for never. */
    private final long[] lastWriteUs;

    private final PoolerDemand demand;
    private final RequestDraw draw;
    private final List<LostRead> lostReads = new ArrayList<>();
    private long lastId;

    /** The clients of a run that starts now. */
    SimulatedClients(
            SimulationPlan plan,
            Scheduler scheduler,
            PoolerFleet poolers,
            Cluster cluster,
            InvariantChecker invariants,
            RunStatistics statistics) {
        this.plan = plan;
        this.scheduler = scheduler;
        this.poolers = poolers;
        this.cluster = cluster;
        this.invariants = invariants;
        this.statistics = statistics;
        startUs = scheduler.now();
        lastWriteUs = new long[plan.site().sessions()];
        demand = new PoolerDemand(poolers.size());
        draw = new RequestDraw(plan);
    }

    /**
     * Distributes the requests unevenly over the poolers from the next request on: the first pooler gets so many
     * times as many as the last one, and the others fall geometrically between.
     */
    void skewDemand(double times) {
        demand.skew(times);
    }

    /** Schedules the next request at a pooler, which in turn schedules its successor until the end of the run. */
    void scheduleArrival(int pooler, SplittableRandom random) {
        double gapUs = -Math.log(1 - random.nextDouble()) * 1e6 / plan.requestsPerPooler() / demand.multiple(pooler);
        scheduler.after((long) gapUs, () -> {
            if (scheduler.now() - startUs < plan.durationUs()) {
                VirtualPooler serving = poolers.servingFor(pooler);
                if (serving != null) {
                    ask(serving, random);
                }
                scheduleArrival(pooler, random);
            }
        });
    }

    private int second() {
        return (int) ((scheduler.now() - startUs) / US_PER_SECOND);
    }

    private void ask(VirtualPooler pooler, SplittableRandom random) {
        ClientRequest request = draw.draw(pooler, random, scheduler.now(), second());
        statistics.requests++;
        statistics.recordAsked(
                request.second(),
                pooler.zone,
                request.classIndex(),
                requestClass(request).priorityWeight());
        submit(request, false);
    }

    private Router.RequestClass requestClass(ClientRequest request) {
        return plan.site().kinds().get(request.classIndex()).requestClass();
    }

    private void submit(ClientRequest request, boolean isRetry) {
        Router.RequestClass requestClass = requestClass(request);
        String id = Long.toString(++lastId, Character.MAX_RADIX);
        long nowUs = scheduler.now();
        long deadlineUs = nowUs + (long) (requestClass.deadlineUs() * request.patience());
        long wroteUs = lastWriteUs(request);
        invariants.requestTaken(nowUs, request.pooler().number, id, requestClass, deadlineUs);
        boolean sessionRead = requestClass.access() == Router.Access.SESSION;
        boolean lostCommit = sessionRead && !isTokenCarried() && cluster.isLost(request.group(), wroteUs);
        long primaryAgeUs = lostCommit ? primaryAgeUs(request.group()) : 0;
        boolean hasToken = sessionRead && isTokenCarried() && wroteUs > 0;
        RequestAttributes attributes = new RequestAttributes(
                id,
                request.classIndex(),
                request.session(),
                request.group(),
                deadlineUs,
                hasToken ? nowUs - wroteUs : 0,
                isRetry);
        SimulatedPayload payload = payload(request, requestClass, id, wroteUs);
        ClientHandler handler = new ClientHandler(request, requestClass, id, isRetry, lostCommit, primaryAgeUs);
        request.pooler().submit(attributes, payload, handler);
    }

    /** Whether clients send the age of their session's last write with each session read. */
    private boolean isTokenCarried() {
        return plan.site().settings().sessionTracking() == Router.SessionTracking.CARRIED;
    }

    /** When the session of a request last wrote, as its client or else its pooler knows; 0 for never. */
    private long lastWriteUs(ClientRequest request) {
        return isTokenCarried()
                ? lastWriteUs[request.session()]
                : request.pooler().lastCommitUs(request.session());
    }

    private SimulatedPayload payload(ClientRequest request, Router.RequestClass requestClass, String id, long wroteUs) {
        Router.Access access = requestClass.access();
        return new SimulatedPayload(
                id,
                request.workUs(),
                access == Router.Access.WRITE,
                request.session(),
                access == Router.Access.BOUNDED ? requestClass.stalenessBoundUs() : 0,
                requiredPositionUs(access, wroteUs, scheduler.now()));
    }

    private static long requiredPositionUs(Router.Access access, long wroteUs, long nowUs) {
        return switch (access) {
            case SESSION -> wroteUs;
            case FRESH -> nowUs;
            default -> 0;
        };
    }

    /** For how long a group has had its present primary, in microseconds; 0 where it has none. */
    private long primaryAgeUs(int group) {
        return cluster.all().stream()
                .filter(server -> server.group == group && server.primary())
                .mapToLong(server -> scheduler.now() - server.primarySinceUs())
                .findFirst()
                .orElse(0);
    }

    private void retry(ClientRequest request) {
        VirtualPooler serving = poolers.servingFor(request.pooler().number);
        if (serving != null) {
            submit(request.retryAt(serving), true);
        }
    }

    /** The reads of sessions whose last commit was lost, in the order of their answers. */
    List<LostRead> lostReads() {
        return lostReads;
    }

    /** Takes the answer to a request. */
    private final class ClientHandler implements ResponseHandler {
        private final ClientRequest request;
        private final Router.RequestClass requestClass;
        private final String id;
        private final boolean isRetry;
        private final boolean lostCommit;
        private final long primaryAgeUs;

        ClientHandler(
                ClientRequest request,
                Router.RequestClass requestClass,
                String id,
                boolean isRetry,
                boolean lostCommit,
                long primaryAgeUs) {
            this.request = request;
            this.requestClass = requestClass;
            this.id = id;
            this.isRetry = isRetry;
            this.lostCommit = lostCommit;
            this.primaryAgeUs = primaryAgeUs;
        }

        @Override
        public void served(byte[] answer) {
            statistics.served++;
            answered(Answer.SERVED);
            long latencyUs = scheduler.now() - request.askedUs();
            double share = latencyUs <= requestClass.latencyObjectiveUs() ? 1 : requestClass.lateWeight();
            statistics.recordServed(
                    request.second(),
                    request.pooler().zone,
                    request.classIndex(),
                    requestClass.priorityWeight() * share);
            if (requestClass.access() == Router.Access.WRITE) {
                lastWriteUs[request.session()] = scheduler.now();
            }
        }

        @Override
        public void rejected(long retryAfterUs) {
            statistics.rejected++;
            answered(Answer.REJECTED);
            if (request.mayRetry() && !isRetry) {
                statistics.retries++;
                scheduler.after(Math.max(retryAfterUs, MIN_RETRY_AFTER_US), () -> retry(request));
            }
        }

        @Override
        public void failed() {
            statistics.failed++;
            answered(Answer.FAILED);
        }

        private void answered(Answer answer) {
            invariants.requestAnswered(scheduler.now(), request.pooler().number, id, answer);
            if (lostCommit) {
                lostReads.add(new LostRead(request.session(), primaryAgeUs, answer));
            }
        }

        @Override
        public void cancelled() {
            throw new IllegalStateException("simulated clients never cancel");
        }

        @Override
        public boolean isClientConnected() {
            return true;
        }
    }
}
