package frostreel.lab.experiment;

import frostreel.lab.virtual.OptimalBound;
import frostreel.lab.virtual.Simulation;
import frostreel.lab.virtual.SimulationPlan;
import java.util.Arrays;

/** What one policy showed over all seeds played: means, or the largest where that is what counts. */
final class Outcome {
    final String policy;
    /** Recovered: this share of the all-knowing bound, for two seconds on end. */
    private static final double BACK = 0.95;

    private final int zones;
    private final double[] worstByZone;
    private final double[] worthByZone;
    double worth;
    double worstTen;
    double worstClass;
    double bound;
    double attempts;
    long fallen;
    double coldMultiple;
    long broken;
    double requestsASecond;
    /**
     * Seconds from the first loss until worth is back at what counts as recovered; the rest of the run if
     * never.
     */
    double backAfterS;

    int runs;
    /** By second: worth as a share, and the share of attempts that left their pooler's zone. */
    final double[] worthBySecond;

    final double[] spiltBySecond;

    Outcome(String policy, SimulationPlan plan) {
        this.policy = policy;
        zones = plan.zones();
        worstByZone = new double[zones];
        worthByZone = new double[zones];
        worthBySecond = new double[(int) (plan.durationUs() / 1_000_000)];
        spiltBySecond = new double[worthBySecond.length];
    }

    /** Plays one seed. */
    void play(Experiment experiment, SimulationPlan plan) {
        Simulation world = experiment.world(plan, policy);
        OptimalBound limit = new OptimalBound(plan, world);
        long[][] sent = new long[worthBySecond.length + 1][2];
        for (int s = 1; s <= worthBySecond.length; s++) {
            int second = s;
            world.at(s * 1_000_000L - 1, () -> sent[second] = sent(world));
        }
        long begun = System.nanoTime();
        world.run();
        requestsASecond += world.tally().requests() / ((System.nanoTime() - begun) / 1e9);
        runs++;
        backAfterS += backAfter(experiment.firstLossS(), world, limit);
        worth += world.tally().worth(5, worthBySecond.length, -1);
        worstTen += world.tally().worstTenSeconds(-1);
        worstClass += world.tally().worstClass();
        bound += limit.worstTenSeconds();
        attempts += (double) world.attempts() / world.tally().requests();
        fallen += world.fallen();
        coldMultiple = Math.max(coldMultiple, world.largestMultiple());
        broken += world.rules().broken() + world.strayExceptions();
        for (int z = 0; z < zones; z++) {
            worstByZone[z] += world.tally().worstTenSeconds(z);
            worthByZone[z] += world.tally().worth(5, worthBySecond.length, z);
        }
        for (int s = 0; s < worthBySecond.length; s++) {
            worthBySecond[s] += world.tally().worth(s, s + 1, -1);
            double all = sent[s + 1][0] - sent[s][0];
            spiltBySecond[s] += all == 0 ? 0 : (sent[s + 1][1] - sent[s][1]) / all;
        }
    }

    private double backAfter(int lossS, Simulation world, OptimalBound limit) {
        if (lossS < 0) {
            return 0;
        }
        for (int s = lossS + 1; s + 2 <= worthBySecond.length; s++) {
            double bound = (limit.share(s) + limit.share(s + 1)) / 2;
            if (world.tally().worth(s, s + 2, -1) >= BACK * bound) {
                return s - lossS;
            }
        }
        return worthBySecond.length - lossS;
    }

    private long[] sent(Simulation world) {
        long all = 0;
        long away = 0;
        for (int from = 0; from < zones; from++) {
            for (int to = 0; to < zones; to++) {
                all += world.sent(from, to);
                away += from == to ? 0 : world.sent(from, to);
            }
        }
        return new long[] {all, away};
    }

    /** Turns sums into means, once, when all seeds are played. */
    Outcome mean() {
        worth /= runs;
        worstTen /= runs;
        worstClass /= runs;
        bound /= runs;
        attempts /= runs;
        requestsASecond /= runs;
        backAfterS /= runs;
        for (double[] each : new double[][] {worstByZone, worthByZone, worthBySecond, spiltBySecond}) {
            Arrays.setAll(each, i -> each[i] / runs);
        }
        return this;
    }

    /** What a check looks at. */
    double value(Experiment.Check check) {
        return switch (check.kind()) {
            case "worth" -> check.zone() == Experiment.ALL_ZONES ? worth : worthByZone[check.zone()];
            case "worstTenSeconds" -> check.zone() == Experiment.ALL_ZONES ? worstTen : worstByZone[check.zone()];
            case "ofTheBound" -> (check.zone() == Experiment.ALL_ZONES ? worstTen : worstByZone[check.zone()]) / bound;
            case "fallen" -> fallen;
            case "coldMultiple" -> coldMultiple;
            default -> broken;
        };
    }
}
