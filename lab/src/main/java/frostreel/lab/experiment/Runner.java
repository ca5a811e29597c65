package frostreel.lab.experiment;

import frostreel.lab.report.Verdict;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Plays an experiment in virtual time, keeps what it showed, and says whether its checks hold. */
public final class Runner {
    private final PrintWriter out;

    /** {@code out}: takes a line for each policy played, the table and the verdict. */
    public Runner(PrintWriter out) {
        this.out = out;
    }

    /**
     * Plays every policy on the same seeds and returns whether every check holds.
     *
     * @param firstSeed the first of {@code seeds} consecutive seeds
     * @param folder takes the results; null to keep nothing
     */
    public boolean run(Experiment experiment, long firstSeed, int seeds, Path folder) throws IOException {
        List<PolicyOutcome> outcomes = new ArrayList<>();
        for (String policy : experiment.policies()) {
            outcomes.add(play(experiment, policy, firstSeed, seeds));
        }
        Verdict verdict = PolicyJudge.judge(experiment, outcomes);
        if (folder != null) {
            ResultFiles.write(folder, experiment, firstSeed, seeds, outcomes, verdict);
        }
        out.print(ResultFiles.table(outcomes));
        verdict.print(out);
        return verdict.passed();
    }

    private PolicyOutcome play(Experiment experiment, String policy, long firstSeed, int seeds) {
        PolicyOutcome outcome = new PolicyOutcome(policy, experiment.plan(firstSeed));
        for (int i = 0; i < seeds; i++) {
            outcome.play(experiment, experiment.plan(firstSeed + i));
        }
        outcome.average();
        out.printf(
                Locale.ROOT,
                "played %s: %d seeds, %.0f requests a second of real time%n",
                policy,
                seeds,
                outcome.requestsPerSecond);
        out.flush();
        return outcome;
    }
}
