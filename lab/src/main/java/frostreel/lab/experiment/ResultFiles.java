package frostreel.lab.experiment;

import frostreel.lab.report.Charts;
import frostreel.lab.report.Tables;
import frostreel.lab.report.Verdict;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/** Writes what an experiment showed: its result, the table of its policies, the figures of each second, charts. */
final class ResultFiles {
    private static final List<String> COLUMNS = List.of(
            "policy",
            "worth",
            "worst 10 s",
            "worst class",
            "bound 10 s",
            "of bound",
            "back after s",
            "attempts",
            "fallen",
            "cold multiple",
            "broken");

    private ResultFiles() {}

    /** The policies' figures as a table in Markdown. */
    static String table(List<PolicyOutcome> outcomes) {
        return Tables.markdown(COLUMNS, rows(outcomes));
    }

    /** Writes all files into a folder, which is made where it is missing. */
    static void write(
            Path folder,
            Experiment experiment,
            long firstSeed,
            int seeds,
            List<PolicyOutcome> outcomes,
            Verdict verdict)
            throws IOException {
        Files.createDirectories(folder);
        JSONObject result = result(experiment, firstSeed, seeds, outcomes, verdict);
        Files.writeString(folder.resolve("result.json"), result.toString(2) + "\n");
        Files.writeString(folder.resolve("table.md"), table(outcomes));
        Files.writeString(folder.resolve("table.csv"), Tables.csv(COLUMNS, rows(outcomes)));
        Files.writeString(folder.resolve("seconds.csv"), seconds(outcomes));
        writeCharts(folder, experiment, outcomes);
    }

    private static JSONObject result(
            Experiment experiment, long firstSeed, int seeds, List<PolicyOutcome> outcomes, Verdict verdict) {
        JSONObject result = new JSONObject()
                .put("experiment", experiment.name())
                .put("firstSeed", firstSeed)
                .put("seeds", seeds)
                .put("verdict", verdict.word())
                .put("checks", new JSONArray(verdict.lines()));
        for (PolicyOutcome outcome : outcomes) {
            result.append(
                    "policies",
                    new JSONObject()
                            .put("policy", outcome.policy)
                            .put("worth", outcome.weightShare)
                            .put("worstTenSeconds", outcome.worstTenSeconds)
                            .put("worstClass", outcome.worstClass)
                            .put("bound", outcome.bound)
                            .put("backAfterS", outcome.recoveryS)
                            .put("attempts", outcome.attempts)
                            .put("fallen", outcome.overloadedServers)
                            .put("coldMultiple", outcome.largestMultiple)
                            .put("broken", outcome.violations));
        }
        return result;
    }

    private static List<List<String>> rows(List<PolicyOutcome> outcomes) {
        return outcomes.stream()
                .map(outcome -> List.of(
                        outcome.policy,
                        threeDecimals(outcome.weightShare),
                        threeDecimals(outcome.worstTenSeconds),
                        threeDecimals(outcome.worstClass),
                        threeDecimals(outcome.bound),
                        threeDecimals(outcome.worstTenSeconds / outcome.bound),
                        threeDecimals(outcome.recoveryS),
                        threeDecimals(outcome.attempts),
                        Long.toString(outcome.overloadedServers),
                        threeDecimals(outcome.largestMultiple),
                        Long.toString(outcome.violations)))
                .toList();
    }

    private static String seconds(List<PolicyOutcome> outcomes) {
        List<String> columns = new ArrayList<>(List.of("second"));
        for (PolicyOutcome outcome : outcomes) {
            columns.add("worth " + outcome.policy);
            columns.add("spilt " + outcome.policy);
        }
        List<List<String>> rows = new ArrayList<>();
        for (int second = 0; second < outcomes.get(0).weightShareBySecond.length; second++) {
            List<String> row = new ArrayList<>(List.of(Integer.toString(second)));
            for (PolicyOutcome outcome : outcomes) {
                row.add(threeDecimals(outcome.weightShareBySecond[second]));
                row.add(threeDecimals(outcome.leftZoneBySecond[second]));
            }
            rows.add(row);
        }
        return Tables.csv(columns, rows);
    }

    private static void writeCharts(Path folder, Experiment experiment, List<PolicyOutcome> outcomes)
            throws IOException {
        Map<String, double[]> worth = new LinkedHashMap<>();
        Map<String, double[]> spilt = new LinkedHashMap<>();
        for (PolicyOutcome outcome : outcomes) {
            worth.put(outcome.policy, outcome.weightShareBySecond);
            spilt.put(outcome.policy, outcome.leftZoneBySecond);
        }
        Charts.bySecond(
                folder.resolve("worth.png"),
                experiment.name() + ": worth in time, by second of asking",
                "share of the worth asked for",
                worth);
        Charts.bySecond(
                folder.resolve("spilt.png"),
                experiment.name() + ": attempts that left their zone",
                "share of all attempts",
                spilt);
    }

    private static String threeDecimals(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
