package frostreel.lab.virtual;

import frostreel.routing.Router;
import java.util.List;

/**
 * A run, before any fault.
 *
 * @param zones how many; each has its own poolers, and one member of each group
 * @param load what clients ask, as a share of what all servers can do
 * @param listLagUs how late a change reaches the poolers' lists
 * @param durationUs how long clients ask
 * @param site what the deployment states
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

    /** A class of requests: its part of all, and its work in microseconds of a core. */
    public record Kind(Router.RequestClass c, double share, double leastUs, double mostUs) {
        double meanUs() {
            return (leastUs + mostUs) / 2;
        }
    }

    /** The classes of a billing site: what they need, and by when. */
    public static final List<Kind> KINDS = List.of(
            kind("account-view", Router.Access.BOUNDED, 300, 1_000, 2, 0, 0.42, 27, 47),
            kind("history-lookup", Router.Access.ANY, 200, 600, 3, 0.2, 0.34, 27, 47),
            kind("arrears-report", Router.Access.ANY, 4_000, 8_000, 6, 0.2, 0.02, 450, 780),
            kind("payment-post", Router.Access.WRITE, 600, 3_000, 4, 0.3, 0.17, 45, 78),
            kind("receipt-view", Router.Access.SESSION, 300, 1_000, 2, 0, 0.05, 27, 47));

    private static Kind kind(
            String name,
            Router.Access access,
            long aimMs,
            long deadlineMs,
            double worth,
            double lateWorth,
            double share,
            double leastMs,
            double mostMs) {
        boolean write = access == Router.Access.WRITE;
        return new Kind(
                new Router.RequestClass(
                        name,
                        access,
                        write ? Router.Idempotency.KEYED : Router.Idempotency.IDEMPOTENT,
                        Router.DeduplicationScope.GROUP,
                        write ? 3_000_000 : 0,
                        access == Router.Access.BOUNDED ? 800_000 : 0,
                        aimMs * 1000,
                        deadlineMs * 1000,
                        worth,
                        lateWorth),
                share,
                leastMs * 1000,
                mostMs * 1000);
    }

    /** What a pooler of a zone is told. */
    public Router.Settings settings(int zone, long poolerSeed) {
        Router.Settings s = site.settings();
        return new Router.Settings(
                poolerSeed,
                zones * poolersPerZone,
                zone,
                s.tickUs(),
                s.classes(),
                s.stalenessCheck(),
                s.listRole(),
                s.sessionTracking(),
                s.positions(),
                s.limits(),
                s.rules());
    }

    /** Requests a second that one pooler is asked. */
    double perPooler() {
        double meanWorkUs =
                site.kinds().stream().mapToDouble(k -> k.share() * k.meanUs()).sum();
        return load * zones * site.members() * groups * cores * 1e6 / meanWorkUs / (zones * poolersPerZone);
    }
}
