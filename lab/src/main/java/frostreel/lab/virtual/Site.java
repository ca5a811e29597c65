package frostreel.lab.virtual;

import frostreel.lab.model.ServerParameters;
import frostreel.routing.Limits;
import frostreel.routing.Router;
import java.util.List;
import java.util.Set;

/**
 * The parameters of a deployment that do not depend on its size: its settings, and how its clients and servers
 * behave.
 *
 * @param kinds the request classes, in the order of the settings' classes
 * @param settings of every pooler, except for the seed, the zone and the number of poolers
 * @param reports the fields of servers' load reports, of {@code x0}, {@code x1} and {@code load_share}; empty for
 *     no load reports
 * @param membersPerZone members of each group in each zone
 * @param sessions number of sessions of all clients together
 */
public record Site(
        List<SimulationPlan.RequestKind> kinds,
        Router.Settings settings,
        ServerParameters serverParameters,
        Set<String> reports,
        int membersPerZone,
        int sessions) {
    /** The usual site, which is in service. */
    public static final Site USUAL = new Site(
            SimulationPlan.KINDS,
            new Router.Settings(
                    0,
                    0,
                    0,
                    1_000,
                    SimulationPlan.KINDS.stream()
                            .map(SimulationPlan.RequestKind::requestClass)
                            .toList(),
                    Router.StalenessCheck.REFUSE,
                    Router.ListRole.LATE,
                    Router.SessionTracking.CARRIED,
                    true,
                    Limits.builder()
                            .maxAttempts(10)
                            .healthChecks(Router.HealthChecks.REPORT)
                            .cancel(true)
                            .retryAfterAllowed(true)
                            .maxRetryAfterUs(2_000_000)
                            .connectTimeoutUs(250_000)
                            .staleReadWaitUs(50_000)
                            .idleTimeoutUs(30_000_000)
                            .build(),
                    new Router.Rules(20_000, 1_000_000, false, 0.22, 15_000_000, 3, 2_000_000)),
            ServerParameters.USUAL,
            Set.of("x0", "x1", "load_share"),
            1,
            500);
}
