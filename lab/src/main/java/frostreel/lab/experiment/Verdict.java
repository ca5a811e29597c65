package frostreel.lab.experiment;

import frostreel.lab.virtual.RunStatistics;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Whether an experiment's checks hold.
 *
 * @param lines one line a check and policy
 */
record Verdict(boolean passed, List<String> lines) {
    /** Kinds of checks whose bound is a maximum; that of all others is a minimum. */
    private static final Set<String> AT_MOST = Set.of("rules", "fallen", "coldMultiple");

    static Verdict of(Experiment experiment, List<PolicyOutcome> outcomes) {
        List<String> lines = new ArrayList<>();
        boolean passed = true;
        for (Experiment.Check check : experiment.checks()) {
            for (PolicyOutcome outcome : outcomes) {
                if (check.policy() != null && !check.policy().equals(outcome.policy)) {
                    continue;
                }
                double value = outcome.value(check);
                boolean atMost = AT_MOST.contains(check.kind());
                boolean holds = atMost ? value <= check.bound() : value >= check.bound();
                passed &= holds;
                lines.add(line(check, outcome, value, atMost, holds));
            }
        }
        return new Verdict(passed, List.copyOf(lines));
    }

    private static String line(
            Experiment.Check check, PolicyOutcome outcome, double value, boolean atMost, boolean holds) {
        return String.format(
                Locale.ROOT,
                "%s: %s of %s%s is %.3f, %s %.3f",
                holds ? "pass" : "fail",
                check.kind(),
                outcome.policy,
                check.zone() == RunStatistics.ALL_ZONES ? "" : " in zone " + check.zone(),
                value,
                atMost ? "at most" : "at least",
                check.bound());
    }

    String word() {
        return passed ? "pass" : "fail";
    }
}
