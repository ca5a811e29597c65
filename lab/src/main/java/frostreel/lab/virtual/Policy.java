package frostreel.lab.virtual;

import frostreel.routing.ChainRouter;
import frostreel.routing.Router;
import frostreel.zones.ZoneFailoverPolicy;
import frostreel.zones.ZoneSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/** The zone policies that experiments compare, each as a factory of routers. */
public final class Policy {
    /** A spill limit, as a share of what a pooler's own zone serves, that is never reached. */
    private static final double UNBOUNDED = 1e6;

    private Policy() {}

    /** No zone policy: members of other zones merely cost more. */
    public static BiFunction<Router.Settings, Router.Actions, Router> plain() {
        return ChainRouter::new;
    }

    /** All load of a lost zone fails over to the next zone, without a limit. */
    public static BiFunction<Router.Settings, Router.Actions, Router> allToTheNext(SimulationPlan plan) {
        return tiers(plan, UNBOUNDED, UNBOUNDED);
    }

    /**
     * Two failover tiers, each with a limit: the next zone, then all others.
     *
     * @param nextSpill the limit of the first tier, and {@code restSpill} that of the second, as shares of what
     *     the pooler's own zone usually serves it
     */
    public static BiFunction<Router.Settings, Router.Actions, Router> tiers(
            SimulationPlan plan, double nextSpill, double restSpill) {
        return (settings, actions) -> {
            int own = settings.zone();
            int next = (own + 1) % plan.zones();
            List<ZoneSettings.Tier> tiers = new ArrayList<>();
            tiers.add(new ZoneSettings.Tier(List.of(next), nextSpill));
            if (plan.zones() > 2) {
                tiers.add(new ZoneSettings.Tier(List.of(), restSpill));
            }
            return new ChainRouter(
                    settings,
                    actions,
                    new ZoneFailoverPolicy(
                            settings,
                            new ZoneSettings(own, tiers, plan.zones() * plan.poolersPerZone()),
                            new SplittableRandom(settings.seed()).nextDouble()));
        };
    }
}
