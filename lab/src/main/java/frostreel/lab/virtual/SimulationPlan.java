package frostreel.lab.virtual;

import frostreel.routing.Router;
import java.util.List;

/**
 * The parameters of a simulation without faults.
 *
 * @param zones number of zones, each with its own poolers and members of each group
 * @param groups number of replica groups
 * @param cores of each server
 * @param load work of the clients' requests as a share of the capacity of all servers
 * @param listLagUs least time, in microseconds, that a change takes to reach the poolers' endpoint lists
 * @param durationUs for how long clients send requests, in microseconds
 * @param clientRetries whether clients retry after a rejection
 * @param site the parameters of the deployment
 */
public record SimulationPlan(
        long seed,
        int zones,
        int poolersPerZone,
        int groups,
        int cores,
        double load,
        long listLagUs,
        long durationUs,
        boolean clientRetries,
        Site site) {
    /** A plan with the parameters of the usual site. */
    public SimulationPlan(
            long seed,
            int zones,
            int poolersPerZone,
            int groups,
            int cores,
            double load,
            long listLagUs,
            long durationUs,
            boolean clientRetries) {
        this(seed, zones, poolersPerZone, groups, cores, load, listLagUs, durationUs, clientRetries, Site.USUAL);
    }

    /**
     * A request class with its part in the load.
     *
     * @param share of all requests, 0 to 1
     * @param minWorkUs least CPU time of a request, in microseconds on a core of speed 1; {@code maxWorkUs} the most
     */
    public record RequestKind(Router.RequestClass requestClass, double share, double minWorkUs, double maxWorkUs) {
        double meanWorkUs() {
            return (minWorkUs + maxWorkUs) / 2;
        }
    }

    /** The request classes of a billing site. */
    public static final List<RequestKind> KINDS = List.of(
            kind("account-view", Router.Access.BOUNDED, 300, 1_000, 2, 0, 0.42, 27, 47),
            kind("history-lookup", Router.Access.ANY, 200, 600, 3, 0.2, 0.34, 27, 47),
            kind("arrears-report", Router.Access.ANY, 4_000, 8_000, 6, 0.2, 0.02, 450, 780),
            kind("payment-post", Router.Access.WRITE, 600, 3_000, 4, 0.3, 0.17, 45, 78),
            kind("receipt-view", Router.Access.SESSION, 300, 1_000, 2, 0, 0.05, 27, 47));

    private static RequestKind kind(
            String name,
            Router.Access access,
            long latencyObjectiveMs,
            long deadlineMs,
            double priorityWeight,
            double lateWeight,
            double share,
            double minWorkMs,
            double maxWorkMs) {
        boolean write = access == Router.Access.WRITE;
        return new RequestKind(
                new Router.RequestClass(
                        name,
                        access,
                        write ? Router.Idempotency.KEYED : Router.Idempotency.IDEMPOTENT,
                        Router.DeduplicationScope.GROUP,
                        write ? 3_000_000 : 0,
                        access == Router.Access.BOUNDED ? 800_000 : 0,
                        latencyObjectiveMs * 1000,
                        deadlineMs * 1000,
                        priorityWeight,
                        lateWeight),
                share,
                minWorkMs * 1000,
                maxWorkMs * 1000);
    }

    /** The settings of a pooler in a zone. */
    public Router.Settings settings(int zone, long poolerSeed) {
        Router.Settings common = site.settings();
        return new Router.Settings(
                poolerSeed,
                zones * poolersPerZone,
                zone,
                common.tickUs(),
                common.classes(),
                common.stalenessCheck(),
                common.listRole(),
                common.sessionTracking(),
                common.responsesCarryPositions(),
                common.limits(),
                common.rules());
    }

    /** The mean number of requests per second at one pooler. */
    double requestsPerPooler() {
        double meanWorkUs = site.kinds().stream()
                .mapToDouble(kind -> kind.share() * kind.meanWorkUs())
                .sum();
        return load * zones * site.membersPerZone() * groups * cores * 1e6 / meanWorkUs / (zones * poolersPerZone);
    }
}
