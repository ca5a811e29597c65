package frostreel.lab.virtual;

import frostreel.lab.model.Cluster;
import frostreel.lab.model.Scheduler;
import frostreel.lab.rules.InvariantChecker;
import frostreel.lab.rules.RunListener.Answer;
import frostreel.request.RequestAttributes;
import frostreel.request.ResponseHandler;
import frostreel.routing.Router;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The clients of a simulation: each pooler gets a Poisson process of requests, which clients may retry once
 * after a rejection.
 */
final class SimulatedClients {
    private static final long US_PER_SECOND = 1_000_000;
    private static final long MIN_RETRY_AFTER_US = 50_000;
    /** The least part of a class's deadline for which a client waits. */
    private static final double MIN_PATIENCE = 0.4;

    /** The random part added to it, at most. */
    private static final double PATIENCE_SPREAD = 0.6;

    private final SimulationPlan plan;
    private final Scheduler scheduler;
    private final long startUs;
    private final PoolerFleet poolers;
    private final Cluster cluster;
    private final InvariantChecker invariants;
    private final RunStatistics statistics;
    /** By session: when its last write was answered to the client, 0 for never. */
    private final long[] lastWriteUs;
    /** By pooler: its rate of requests as a multiple of the mean. */
    private final double[] demand;

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
        demand = new double[poolers.size()];
        Arrays.fill(demand, 1);
    }

    /**
     * Distributes the requests unevenly over the poolers from the next request on: the first pooler gets so many
     * times as many as the last one, and the others fall geometrically between.
     */
    void skewDemand(double times) {
        double sum = 0;
        for (int i = 0; i < demand.length; i++) {
            demand[i] = Math.pow(times, -(double) i / Math.max(1, demand.length - 1));
            sum += demand[i];
        }
        for (int i = 0; i < demand.length; i++) {
            demand[i] *= demand.length / sum;
        }
    }

    /** Schedules the next request at a pooler, which in turn schedules its successor until the end of the run. */
    void scheduleArrival(int pooler, SplittableRandom random) {
        double gapUs = -Math.log(1 - random.nextDouble()) * 1e6 / plan.requestsPerPooler() / demand[pooler];
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
        int classIndex = drawClass(random);
        SimulationPlan.RequestKind kind = plan.site().kinds().get(classIndex);
        double workUs = kind.minWorkUs() + random.nextDouble() * (kind.maxWorkUs() - kind.minWorkUs());
        int session = random.nextInt(lastWriteUs.length);
        double patience = MIN_PATIENCE + PATIENCE_SPREAD * random.nextDouble();
        boolean mayRetry = random.nextBoolean() && plan.clientRetries();
        statistics.requests++;
        statistics.recordAsked(
                second(), pooler.zone, classIndex, kind.requestClass().priorityWeight());
        ClientRequest request = new ClientRequest(
                pooler,
                classIndex,
                session % plan.groups(),
                session,
                workUs,
                patience,
                scheduler.now(),
                second(),
                mayRetry);
        submit(request, false);
    }

    private int drawClass(SplittableRandom random) {
        List<SimulationPlan.RequestKind> kinds = plan.site().kinds();
        double draw = random.nextDouble();
        int index = 0;
        while (index < kinds.size() - 1 && draw >= kinds.get(index).share()) {
            draw -= kinds.get(index++).share();
        }
        return index;
    }

    private void submit(ClientRequest request, boolean isRetry) {
        Router.RequestClass requestClass =
                plan.site().kinds().get(request.classIndex()).requestClass();
        String id = Long.toString(++lastId, Character.MAX_RADIX);
        long nowUs = scheduler.now();
        long deadlineUs = nowUs + (long) (requestClass.deadlineUs() * request.patience());
        boolean carried = plan.site().settings().sessionTracking() == Router.SessionTracking.CARRIED;
        boolean sessionRead = requestClass.access() == Router.Access.SESSION;
        long wroteUs =
                carried ? lastWriteUs[request.session()] : request.pooler().lastCommitUs(request.session());
        invariants.requestTaken(nowUs, request.pooler().number, id, requestClass, deadlineUs);
        boolean lostCommit = sessionRead && !carried && cluster.isLost(request.group(), wroteUs);
        long primaryAgeUs = lostCommit ? primaryAgeUs(request.group()) : 0;
        RequestAttributes attributes = new RequestAttributes(
                id,
                request.classIndex(),
                request.session(),
                request.group(),
                deadlineUs,
                sessionRead && carried && wroteUs > 0 ? nowUs - wroteUs : 0,
                isRetry);
        SimulatedPayload payload = new SimulatedPayload(
                id,
                request.workUs(),
                requestClass.access() == Router.Access.WRITE,
                request.session(),
                requestClass.access() == Router.Access.BOUNDED ? requestClass.boundUs() : 0,
                requiredPositionUs(requestClass.access(), wroteUs, nowUs));
        request.pooler()
                .submit(attributes, payload, new ClientHandler(request, requestClass, id, isRetry, lostCommit, primaryAgeUs));
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
