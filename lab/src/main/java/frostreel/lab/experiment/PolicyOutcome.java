package frostreel.lab.experiment;

import frostreel.lab.virtual.OptimalBound;
import frostreel.lab.virtual.RunStatistics;
import frostreel.lab.virtual.Simulation;
import frostreel.lab.virtual.SimulationPlan;
import java.util.Arrays;

/** What one policy showed over all seeds played: means, or the largest where that is what counts. */
final class PolicyOutcome {
    private static final long US_PER_SECOND = 1_000_000;
    private static final double NS_PER_SECOND = 1e9;
    /** The first seconds belong to the poolers' start, and are not judged. */
    private static final int FIRST_JUDGED_SECOND = 5;
    /** Recovered: this share of the optimal bound, for some seconds on end. */
    private static final double RECOVERED_SHARE = 0.95;

    private static final int RECOVERED_S = 2;

    /** Attempts since the start: all of them, and those that left their pooler's zone. */
    private record AttemptCounts(long all, long leftZone) {
        static final AttemptCounts NONE = new AttemptCounts(0, 0);
    }

    final String policy;
    double weightShare;
    double worstTenSeconds;
    double worstClass;
    /** The optimal bound on the worst ten seconds. */
    double bound;
    /** Attempts a request. */
    double attempts;

    long overloadedServers;
    double largestMultiple;
    /** How often rules were broken, and exceptions that the program caught. */
    long violations;
    /** Of real time. */
    double requestsPerSecond;
    /** From the first loss until the weight share is back at the recovered one; the run's rest if never. */
    double recoveryS;
    /** By second of asking. */
    final double[] weightShareBySecond;
    /** By second: the share of attempts that left their pooler's zone. */
    final double[] leftZoneBySecond;

    private final int zones;
    private final double[] worstTenSecondsByZone;
    private final double[] weightShareByZone;
    private int runs;

    PolicyOutcome(String policy, SimulationPlan plan) {
        this.policy = policy;
        zones = plan.zones();
        worstTenSecondsByZone = new double[zones];
        weightShareByZone = new double[zones];
        weightShareBySecond = new double[(int) (plan.durationUs() / US_PER_SECOND)];
        leftZoneBySecond = new double[weightShareBySecond.length];
    }

    /** Plays one seed. */
    void play(Experiment experiment, SimulationPlan plan) {
        Simulation simulation = experiment.simulation(plan, policy);
        OptimalBound optimum = new OptimalBound(plan, simulation);
        AttemptCounts[] attemptsUntil = sampleAttempts(simulation);
        long startNs = System.nanoTime();
        simulation.run();
        double tookS = (System.nanoTime() - startNs) / NS_PER_SECOND;
        RunStatistics statistics = simulation.statistics();
        requestsPerSecond += statistics.requests() / tookS;
        runs++;
        recoveryS += recoveryS(experiment.firstLossS(), statistics, optimum);
        weightShare += statistics.weightShare(FIRST_JUDGED_SECOND, durationS(), RunStatistics.ALL_ZONES);
        worstTenSeconds += statistics.worstTenSeconds(RunStatistics.ALL_ZONES);
        worstClass += statistics.worstClass();
        bound += optimum.worstTenSeconds();
        attempts += (double) simulation.attempts() / statistics.requests();
        overloadedServers += simulation.overloadedServers();
        largestMultiple = Math.max(largestMultiple, simulation.largestMultiple());
        violations += simulation.invariants().broken() + simulation.strayExceptions();
        addByZone(statistics);
        addBySecond(statistics, attemptsUntil);
    }

    private int durationS() {
        return weightShareBySecond.length;
    }

    /** Has the attempts counted at the end of each second; the first entry is the start's. */
    private AttemptCounts[] sampleAttempts(Simulation simulation) {
        AttemptCounts[] until = new AttemptCounts[durationS() + 1];
        until[0] = AttemptCounts.NONE;
        for (int s = 1; s <= durationS(); s++) {
            int second = s;
            simulation.at(s * US_PER_SECOND - 1, () -> until[second] = countAttempts(simulation));
        }
        return until;
    }

    private AttemptCounts countAttempts(Simulation simulation) {
        long all = 0;
        long leftZone = 0;
        for (int from = 0; from < zones; from++) {
            for (int to = 0; to < zones; to++) {
                long count = simulation.attempts(from, to);
                all += count;
                leftZone += from == to ? 0 : count;
            }
        }
        return new AttemptCounts(all, leftZone);
    }

    private double recoveryS(int lossS, RunStatistics statistics, OptimalBound optimum) {
        if (lossS == Experiment.NO_LOSS) {
            return 0;
        }
        for (int s = lossS + 1; s + RECOVERED_S <= durationS(); s++) {
            double share = (optimum.share(s) + optimum.share(s + 1)) / RECOVERED_S;
            if (statistics.weightShare(s, s + RECOVERED_S, RunStatistics.ALL_ZONES) >= RECOVERED_SHARE * share) {
                return s - lossS;
            }
        }
        return durationS() - lossS;
    }

    private void addByZone(RunStatistics statistics) {
        for (int zone = 0; zone < zones; zone++) {
            worstTenSecondsByZone[zone] += statistics.worstTenSeconds(zone);
            weightShareByZone[zone] += statistics.weightShare(FIRST_JUDGED_SECOND, durationS(), zone);
        }
    }

    private void addBySecond(RunStatistics statistics, AttemptCounts[] attemptsUntil) {
        for (int s = 0; s < durationS(); s++) {
            weightShareBySecond[s] += statistics.weightShare(s, s + 1, RunStatistics.ALL_ZONES);
            double all = attemptsUntil[s + 1].all - attemptsUntil[s].all;
            long leftZone = attemptsUntil[s + 1].leftZone - attemptsUntil[s].leftZone;
            leftZoneBySecond[s] += all == 0 ? 0 : leftZone / all;
        }
    }

    /** Turns sums into means, once, when all seeds are played. */
    void average() {
        weightShare /= runs;
        worstTenSeconds /= runs;
        worstClass /= runs;
        bound /= runs;
        attempts /= runs;
        requestsPerSecond /= runs;
        recoveryS /= runs;
        for (double[] each :
                new double[][] {worstTenSecondsByZone, weightShareByZone, weightShareBySecond, leftZoneBySecond}) {
            Arrays.setAll(each, i -> each[i] / runs);
        }
    }

    /** The value that a check bounds. */
    double value(Experiment.Check check) {
        return switch (check.metric()) {
            case VIOLATIONS -> violations;
            case WEIGHT_SHARE -> weightShare(check.zone());
            case WORST_TEN_SECONDS -> worstTenSeconds(check.zone());
            case SHARE_OF_OPTIMUM -> worstTenSeconds(check.zone()) / bound;
            case OVERLOADED_SERVERS -> overloadedServers;
            case LARGEST_COLD_MULTIPLE -> largestMultiple;
        };
    }

    private double weightShare(int zone) {
        return zone == RunStatistics.ALL_ZONES ? weightShare : weightShareByZone[zone];
    }

    private double worstTenSeconds(int zone) {
        return zone == RunStatistics.ALL_ZONES ? worstTenSeconds : worstTenSecondsByZone[zone];
    }
}
