package frostreel.lab.virtual;

import frostreel.routing.Router.Access;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What an omniscient split of the same servers gets: at every moment it knows what each can do, fills them with
 * the requests of most weight for their work, loses nothing to queues or doubt, and holds a write exactly until
 * its group has a primary. No decisions can reach it; it is the measure that they are compared with.
 */
public final class OptimalBound {
    private static final long US_PER_SECOND = 1_000_000;
    private static final long SAMPLE_US = 100_000;
    private static final int SAMPLES_PER_SECOND = (int) (US_PER_SECOND / SAMPLE_US);
    /** Of a class's deadline, what a client waits on the mean. */
    private static final double MEAN_PATIENCE = 0.7;
    /** The first seconds belong to the poolers' start, and are not judged. */
    private static final int FIRST_JUDGED_SECOND = 5;

    private static final int WINDOW_S = 10;

    /** What one class asks for in a second: work, and the weight to be had for it. */
    private record Demand(double work, double weight) {}

    /** Of writes in a second: the share that can be served at all, and their weight as a share. */
    private record WriteShares(double served, double weight) {
        static final WriteShares ALL = new WriteShares(1, 1);
    }

    private final SimulationPlan plan;
    private final List<Double> capacities = new ArrayList<>();
    /** By sample and group: whether the group had a primary. */
    private final List<boolean[]> hasPrimary = new ArrayList<>();

    /** Samples a simulation that has not run yet. */
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

    /** The least share of the weight asked for in any ten seconds on end, behind the poolers' start. */
    public double worstTenSeconds() {
        double worst = 1;
        for (int s = FIRST_JUDGED_SECOND; s + WINDOW_S <= plan.durationUs() / US_PER_SECOND; s++) {
            double sum = 0;
            for (int i = s; i < s + WINDOW_S; i++) {
                sum += share(i);
            }
            worst = Math.min(worst, sum / WINDOW_S);
        }
        return worst;
    }

    /** The share that it gets of the weight asked for in one second. */
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
