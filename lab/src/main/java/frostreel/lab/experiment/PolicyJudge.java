package frostreel.lab.experiment;

import frostreel.lab.report.Verdict;
import frostreel.lab.virtual.RunStatistics;
import java.util.List;

/** Judges what the policies of an experiment showed by its checks. */
final class PolicyJudge {
    private PolicyJudge() {}

    static Verdict judge(Experiment experiment, List<PolicyOutcome> outcomes) {
        Verdict verdict = new Verdict();
        for (Experiment.Check check : experiment.checks()) {
            outcomes.stream()
                    .filter(outcome -> check.policy() == null || check.policy().equals(outcome.policy))
                    .forEach(
                            outcome -> verdict.check(subject(check, outcome), outcome.value(check), check.threshold()));
        }
        return verdict;
    }

    private static String subject(Experiment.Check check, PolicyOutcome outcome) {
        String zone = check.zone() == RunStatistics.ALL_ZONES ? "" : " in zone " + check.zone();
        return check.metric().xmlName() + " of " + outcome.policy + zone;
    }
}
