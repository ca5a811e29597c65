package frostreel.lab.processes;

import frostreel.lab.virtual.SimulationPlan;
import frostreel.net.EventLoop;
import frostreel.routing.Router;
import frostreel.routing.Router.RequestClass;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Clients of the poolers: sessions whose requests arrive at random at a mean rate. Each request has a class and a
 * deadline, and is retried once where it is rejected. A load balancer sends all requests of a session to one
 * pooler while that is ready. Used on the event loop's thread alone.
 */
final class LoadGenerator implements PoolerTarget.RequestListener {
    private static final int SESSIONS = 500;
    private static final long US_PER_SECOND = 1_000_000;
    private static final long READINESS_INTERVAL_US = 100_000;
    private static final long MIN_RETRY_AFTER_US = 50_000;
    /** How long a client still waits for an answer after its deadline. */
    private static final long GRACE_US = 500_000;

    /** The DETAIL field of an error, in which a pooler states after how many milliseconds to retry. */
    private static final Pattern RETRY_AFTER_MS = Pattern.compile("\0D(\\d+)\0");

    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<PoolerTarget> targets;
    private final LoadStatements statements;
    private final double requestsPerSecond;
    private final boolean retries;
    private final LoadStatistics statistics;
    private long startUs;
    /** Requests that have not ended, including those that wait for their retry. */
    private int open;

    private Runnable onAllEnded;

    /**
     * A load that does not run yet.
     *
     * @param poolers where each pooler is reached
     * @param groups how many replica groups the sessions are spread over
     * @param retries whether clients retry rejected requests
     * @param durationS how long new requests arrive
     */
    LoadGenerator(
            EventLoop loop,
            SplittableRandom random,
            List<InetSocketAddress> poolers,
            int groups,
            double requestsPerSecond,
            boolean retries,
            int durationS) {
        this.loop = loop;
        this.random = random;
        this.requestsPerSecond = requestsPerSecond;
        this.retries = retries;
        statements = new LoadStatements(SESSIONS, groups);
        statistics = new LoadStatistics(durationS);
        targets = poolers.stream()
                .map(address -> new PoolerTarget(loop, address, this))
                .toList();
    }

    LoadStatistics statistics() {
        return statistics;
    }

    /** Notes that a pooler's process starts; {@code then} runs each time the pooler becomes ready. */
    void awaitReady(int pooler, Runnable then) {
        targets.get(pooler).awaitReady(then);
    }

    /** Sends requests from now on, for the run's duration. */
    void begin() {
        startUs = loop.clock().now();
        scheduleNextArrival();
    }

    /** Checks the ready poolers ten times a second from now on, as the load balancer does. */
    void watchReadiness() {
        targets.stream().filter(PoolerTarget::ready).forEach(PoolerTarget::checkReadiness);
        loop.deadlines().after(READINESS_INTERVAL_US, this::watchReadiness);
    }

    /** Runs a task once all requests have ended; to be called when no new ones arrive any more. */
    void whenAllEnded(Runnable then) {
        onAllEnded = then;
        requestsEnded(0);
    }

    /** The second of the run in which a moment lies. */
    private int second(long us) {
        return (int) ((us - startUs) / US_PER_SECOND);
    }

    private void scheduleNextArrival() {
        double gapUs = -Math.log(1 - random.nextDouble()) * US_PER_SECOND / requestsPerSecond;
        loop.deadlines().after((long) gapUs, () -> {
            long nowUs = loop.clock().now();
            if (second(nowUs) < statistics.durationS()) {
                LoadRequest request = new LoadRequest(drawClass(), random.nextInt(SESSIONS), nowUs, false);
                statistics.recordAsked(second(nowUs), request.requestClass().priorityWeight());
                begin(request);
                scheduleNextArrival();
            }
        });
    }

    private int drawClass() {
        List<SimulationPlan.RequestKind> kinds = SimulationPlan.KINDS;
        double draw = random.nextDouble();
        int index = 0;
        while (index < kinds.size() - 1 && draw >= kinds.get(index).share()) {
            draw -= kinds.get(index++).share();
        }
        return index;
    }

    private void begin(LoadRequest request) {
        open++;
        place(request);
    }

    private void requestsEnded(int count) {
        open -= count;
        if (open == 0 && onAllEnded != null) {
            onAllEnded.run();
            onAllEnded = null;
        }
    }

    /** Sends a request to its session's pooler, or to the next one that is ready. */
    private void place(LoadRequest request) {
        for (int i = 0; i < targets.size(); i++) {
            PoolerTarget target = targets.get((request.session + i) % targets.size());
            if (target.ready()) {
                long giveUpAfterUs = request.requestClass().deadlineUs() + GRACE_US;
                target.send(request, statements.next(request), giveUpAfterUs);
                return;
            }
        }
        statistics.unplaced++;
        requestsEnded(1);
    }

    @Override
    public void resend(LoadRequest request) {
        request.resent = true;
        statistics.resent++;
        place(request);
    }

    @Override
    public void unanswered(LoadRequest request) {
        statistics.unanswered++;
        requestsEnded(1);
    }

    @Override
    public void answered(LoadRequest request, LoadConnection.Answer answer) {
        if (answer.error() == null) {
            recordValue(request, answer.value());
        } else if (!ClientRecorder.isRejection(answer.error())) {
            statistics.failed++;
        } else {
            statistics.rejected++;
            if (retries && !request.retry) {
                retryLater(request, answer.error());
                return;
            }
        }
        requestsEnded(1);
    }

    /** Retries after the time that the error states; the request counts as open until then. */
    private void retryLater(LoadRequest request, byte[] error) {
        Matcher retryAfter = RETRY_AFTER_MS.matcher(new String(error, StandardCharsets.UTF_8));
        long retryAfterUs = retryAfter.find() ? Long.parseLong(retryAfter.group(1)) * 1000 : 0;
        statistics.retries++;
        loop.deadlines().after(Math.max(MIN_RETRY_AFTER_US, retryAfterUs), () -> {
            open--;
            begin(request.asRetry());
        });
    }

    private void recordValue(LoadRequest request, byte[] value) {
        if (value == null || !new String(value, StandardCharsets.US_ASCII).endsWith(request.id)) {
            statistics.foreign++;
            return;
        }
        RequestClass requestClass = request.requestClass();
        long nowUs = loop.clock().now();
        long latencyUs = nowUs - request.askedUs;
        double share = latencyUs <= requestClass.latencyObjectiveUs() ? 1 : requestClass.lateWeight();
        statistics.recordServed(second(request.askedUs), latencyUs, requestClass.priorityWeight() * share);
        if (requestClass.access() == Router.Access.WRITE) {
            statements.recordWrite(request, nowUs);
        }
    }
}
