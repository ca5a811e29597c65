package frostreel.lab.processes;

import frostreel.lab.report.Verdict;

/** Judges a run by its experiment's checks; a crashed process or a foreign answer fails every run. */
final class ProcessRunJudge {
    private ProcessRunJudge() {}

    static Verdict judge(ProcessExperiment experiment, Fleet fleet, ProcessRunFindings findings) {
        Verdict verdict = new Verdict();
        findings.crashed().forEach(pooler -> verdict.fail(pooler + " ended by itself"));
        long foreign = fleet.load().statistics().foreign;
        if (foreign > 0) {
            verdict.fail(foreign + " answers held what no server gave for them");
        }
        for (ProcessCheck check : experiment.checks()) {
            verdict.check(check.subject(), check.measure(fleet, findings), check.threshold());
        }
        return verdict;
    }
}
