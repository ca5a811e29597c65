package frostreel.lab.virtual;

import frostreel.routing.Router.Access;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The upper bound of what any decisions can serve with the same servers: at every moment an omniscient router
 * knows each server's capacity, serves the requests of most weight for their work first, loses nothing to
 * queueing or uncertainty, and queues a write exactly until its group has a primary. Policies are compared with
 * it.
 */
public final class OptimalBound {
    private static final long US_PER_SECOND = 1_000_000;
    private static final long SAMPLE_US = 100_000;
    private static final int SAMPLES_PER_SECOND = (int) (US_PER_SECOND / SAMPLE_US);
    /** The mean part of a class's deadline for which a client waits. */
    private static final double MEAN_PATIENCE = 0.7;
    /** The seconds before are the poolers' start, and do not count. */
    private static final int FIRST_JUDGED_SECOND = 5;

    private static final int WINDOW_S = 10;

    /** The demand of one class in a second: its work in core seconds, and the weight of serving it. */
    private record Demand(double work, double weight) {}

    /** Of the writes in a second: the share that can be served at all, and the share of their weight. */
    private record WriteShares(double served, double weight) {
        static final WriteShares ALL = new WriteShares(1, 1);
    }

    private final SimulationPlan plan;
    private final List<Double> capacities = new ArrayList<>();
    /** By sample, then by group: whether the group had a primary. */
    private final List<boolean[]> hasPrimary = new ArrayList<>();

    /** Samples a simulation, which must not have run yet, while it runs. */
    public OptimalBound(SimulationPlan plan, Simulation simulation) {
        this.plan = plan;
        for (long atUs = 0; atUs < plan.durationUs(); atUs += SAMPLE_US) {
            simulation.at(atUs, () -> sample(simulation));
        }
    }

    private void sample(Simulation simulation) {
        capacities.add(simulation.capacity());
        boolean[] groups = new boolean[plan.groups()];
        for (int group = 0; group < groups.length; group++) {
            groups[group] = simulation.hasPrimary(group);
        }
        hasPrimary.add(groups);
    }

    /** The smallest share of the offered weight served in any ten consecutive seconds after the poolers' start. */
    public double worstTenSeconds() {
        double worst = 1;
        for (int first = FIRST_JUDGED_SECOND; first + WINDOW_S <= plan.durationUs() / US_PER_SECOND; first++) {
            double sum = 0;
            for (int second = first; second < first + WINDOW_S; second++) {
                sum += share(second);
            }
            worst = Math.min(worst, sum / WINDOW_S);
        }
        return worst;
    }

    /** The share of the weight offered in one second of the run that can be served, 0 to 1. */
    public double share(int second) {
        List<Demand> demands = new ArrayList<>();
        double requestsPerSecond = plan.requestsPerPooler() * plan.poolersPerZone() * plan.zones();
        double asked = 0;
        for (SimulationPlan.RequestKind kind : SimulationPlan.KINDS) {
            double requests = kind.share() * requestsPerSecond;
            double weight = kind.requestClass().priorityWeight();
            boolean isWrite = kind.requestClass().access() == Access.WRITE;
            WriteShares possible = isWrite ? writeShares(second, kind) : WriteShares.ALL;
            demands.add(new Demand(
                    requests * possible.served * kind.meanWorkUs() / 1e6, requests * possible.weight * weight));
            asked += requests * weight;
        }
        demands.sort(Comparator.comparingDouble(demand -> demand.work == 0 ? 0 : -demand.weight / demand.work));
        return weightThatFits(demands, meanCapacity(second)) / asked;
    }

    private double meanCapacity(int second) {
        double capacity = 0;
        for (int i = second * SAMPLES_PER_SECOND; i < (second + 1) * SAMPLES_PER_SECOND; i++) {
            capacity += capacities.get(i) / SAMPLES_PER_SECOND;
        }
        return capacity;
    }

    private static double weightThatFits(List<Demand> demands, double capacity) {
        double left = capacity;
        double weight = 0;
        for (Demand demand : demands) {
            double share = demand.work == 0 ? 0 : Math.min(1, left / demand.work);
            weight += demand.weight * share;
            left -= demand.work * share;
        }
        return weight;
    }

    private WriteShares writeShares(int second, SimulationPlan.RequestKind kind) {
        double served = 0;
        double weight = 0;
        int count = 0;
        for (int i = second * SAMPLES_PER_SECOND; i < (second + 1) * SAMPLES_PER_SECOND; i++) {
            for (int group = 0; group < plan.groups(); group++, count++) {
                long waitUs = waitForPrimaryUs(i, group);
                if (waitUs <= kind.requestClass().latencyObjectiveUs()) {
                    served++;
                    weight++;
                } else if (waitUs <= kind.requestClass().deadlineUs() * MEAN_PATIENCE) {
                    served++;
                    weight += kind.requestClass().lateWeight();
                }
            }
        }
        return new WriteShares(served / count, weight / count);
    }

    private long waitForPrimaryUs(int sample, int group) {
        int next = sample;
        while (next < hasPrimary.size() && !hasPrimary.get(next)[group]) {
            next++;
        }
        return (next - sample) * SAMPLE_US;
    }
}
