package frostreel.lab.virtual;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * What an all-knowing split of the same servers gets: at every moment it knows what each can do, fills them
 * with what is worth most for its work, loses nothing to queues or doubt, and holds a write exactly until its
 * group has a primary. No decisions can reach it; it is the measure that they are held against.
 */
public final class OptimalBound {
    private static final long SAMPLE_US = 100_000;
    private static final int SAMPLES = (int) (1_000_000 / SAMPLE_US);
    /** Of a class's time, what a client waits on the mean. */
    private static final double PATIENCE = 0.7;

    private final SimulationPlan plan;
    private final List<Double> capacities = new ArrayList<>();
    private final List<boolean[]> led = new ArrayList<>();

    /** Samples a world, from before its run on. */
    public OptimalBound(SimulationPlan plan, Simulation world) {
        this.plan = plan;
        for (long at = 0; at < plan.durationUs(); at += SAMPLE_US) {
            world.at(at, () -> {
                capacities.add(world.capacity());
                boolean[] now = new boolean[plan.groups()];
                for (int g = 0; g < now.length; g++) {
                    now[g] = world.led(g);
                }
                led.add(now);
            });
        }
    }

    /** The least share of the worth asked for that it gets in any ten seconds on end, from the fifth on. */
    public double worstTenSeconds() {
        double worst = 1;
        for (int s = 5; s + 10 <= plan.durationUs() / 1_000_000; s++) {
            double sum = 0;
            for (int i = s; i < s + 10; i++) {
                sum += share(i);
            }
            worst = Math.min(worst, sum / 10);
        }
        return worst;
    }

    /** The share that it gets of what is asked in one second. */
    public double share(int second) {
        record Demand(double work, double worth, double askedWorth) {}
        List<Demand> demands = new ArrayList<>();
        double rate = plan.perPooler() * plan.poolersPerZone() * plan.zones();
        double asked = 0;
        for (SimulationPlan.Kind k : SimulationPlan.KINDS) {
            double each = k.share() * rate;
            boolean write = k.c().access() == frostreel.routing.Router.Access.WRITE;
            double[] inTime = write ? writes(second, k) : new double[] {1, 1};
            demands.add(new Demand(
                    each * inTime[0] * k.meanUs() / 1e6,
                    each * inTime[1] * k.c().priorityWeight(),
                    each * k.c().priorityWeight()));
            asked += each * k.c().priorityWeight();
        }
        demands.sort(Comparator.comparingDouble(d -> d.work == 0 ? 0 : -d.worth / d.work));
        double left = 0;
        for (int i = second * SAMPLES; i < (second + 1) * SAMPLES; i++) {
            left += capacities.get(i) / SAMPLES;
        }
        double got = 0;
        for (Demand d : demands) {
            double fits = d.work == 0 ? 0 : Math.min(1, left / d.work);
            got += d.worth * fits;
            left -= d.work * fits;
        }
        return got / asked;
    }

    /** The share of a second's writes that are served at all, and their worth as a share. */
    private double[] writes(int second, SimulationPlan.Kind k) {
        double served = 0;
        double worth = 0;
        int n = 0;
        for (int i = second * SAMPLES; i < (second + 1) * SAMPLES; i++) {
            for (int g = 0; g < plan.groups(); g++, n++) {
                int j = i;
                while (j < led.size() && !led.get(j)[g]) {
                    j++;
                }
                long waitUs = (j - i) * SAMPLE_US;
                if (waitUs <= k.c().latencyObjectiveUs()) {
                    served++;
                    worth++;
                } else if (waitUs <= k.c().deadlineUs() * PATIENCE) {
                    served++;
                    worth += k.c().lateWeight();
                }
            }
        }
        return new double[] {served / n, worth / n};
    }
}
