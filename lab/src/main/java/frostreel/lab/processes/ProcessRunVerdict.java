package frostreel.lab.processes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Whether a run's checks hold.
 *
 * @param lines one line a check, and one for each process that crashed
 */
record ProcessRunVerdict(boolean passed, List<String> lines) {
    /** Kinds of checks whose bound is a minimum; that of all others is a maximum. */
    private static final Set<String> AT_LEAST = Set.of("worth", "upgrades");

    static ProcessRunVerdict of(ProcessExperiment experiment, Fleet fleet, ProcessRunFindings findings) {
        List<String> lines = new ArrayList<>();
        long foreign = fleet.load().statistics().foreign;
        boolean passed = findings.crashed().isEmpty() && foreign == 0;
        findings.crashed().forEach(pooler -> lines.add("fail: " + pooler + " ended by itself"));
        if (foreign > 0) {
            lines.add("fail: " + foreign + " answers held what no server gave for them");
        }
        for (ProcessExperiment.Check check : experiment.checks()) {
            double value = value(check, fleet, findings);
            boolean atLeast = AT_LEAST.contains(check.kind());
            boolean holds = atLeast ? value >= check.bound() : value <= check.bound();
            passed &= holds;
            lines.add(line(check, value, atLeast, holds));
        }
        return new ProcessRunVerdict(passed, List.copyOf(lines));
    }

    private static double value(ProcessExperiment.Check check, Fleet fleet, ProcessRunFindings findings) {
        LoadStatistics load = fleet.load().statistics();
        return switch (check.kind()) {
            case "rules" -> fleet.invariants().broken();
            case "worth" -> load.weightShare(check.fromS(), check.toS());
            case "apart" -> findings.partitioned();
            case "blind" -> findings.withoutDiscovery();
            case "unanswered" -> load.unanswered;
            case "atTheDoor" -> load.resent;
            case "killedOld" -> fleet.upgrades().killed();
            case "refusedCalls" -> fleet.operators().rejected();
            case "slowestStartS" -> fleet.lifecycle().slowestRestartUs() / 1e6;
            case "upgrades" -> fleet.upgrades().completed();
            default -> findings.faultLines();
        };
    }

    private static String line(ProcessExperiment.Check check, double value, boolean atLeast, boolean holds) {
        return String.format(
                Locale.ROOT,
                "%s: %s%s is %.3f, at %s %.3f",
                holds ? "pass" : "fail",
                check.kind(),
                check.toS() > 0 ? " of seconds " + check.fromS() + " to " + check.toS() : "",
                value,
                atLeast ? "least" : "most",
                check.bound());
    }

    String word() {
        return passed ? "pass" : "fail";
    }
}
