package frostreel.lab.processes;

import frostreel.lab.report.Charts;
import frostreel.lab.report.Tables;
import frostreel.lab.report.Verdict;
import frostreel.lab.rules.Rule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/** Writes the results of a run: the totals, the log of its events, the figures of each second and a chart. */
final class ProcessRunFiles {
    private static final List<String> COLUMNS = List.of("second", "asked", "served", "worth");

    private ProcessRunFiles() {}

    static void write(Path folder, ProcessExperiment experiment, long seed, Fleet fleet, Verdict verdict)
            throws IOException {
        JSONObject result = result(experiment, seed, fleet, verdict);
        Files.writeString(folder.resolve("result.json"), result.toString(2) + "\n");
        Files.write(folder.resolve("story.txt"), fleet.log());
        writeSeconds(folder, experiment, fleet.load().statistics());
    }

    private static JSONObject result(ProcessExperiment experiment, long seed, Fleet fleet, Verdict verdict) {
        LoadStatistics load = fleet.load().statistics();
        return new JSONObject()
                .put("experiment", experiment.name())
                .put("seed", seed)
                .put("verdict", verdict.word())
                .put("checks", new JSONArray(verdict.lines()))
                .put("asked", load.asked)
                .put("served", load.served())
                .put("refused", load.rejected)
                .put("failed", load.failed)
                .put("unanswered", load.unanswered)
                .put("unplaced", load.unplaced)
                .put("retries", load.retries)
                .put("foreign", load.foreign)
                .put("medianUs", load.latencies.getValueAtPercentile(50))
                .put("p99Us", load.latencies.getValueAtPercentile(99))
                .put("rules", rules(fleet));
    }

    private static JSONArray rules(Fleet fleet) {
        JSONArray rules = new JSONArray();
        for (Rule rule : fleet.invariants().rules()) {
            rules.put(new JSONObject()
                    .put("rule", rule.name())
                    .put("broken", rule.broken())
                    .put("first", new JSONArray(rule.firstViolations())));
        }
        return rules;
    }

    private static void writeSeconds(Path folder, ProcessExperiment experiment, LoadStatistics load)
            throws IOException {
        List<List<String>> rows = new ArrayList<>();
        double[] shares = new double[load.durationS()];
        for (int second = 0; second < shares.length; second++) {
            shares[second] = load.weightShare(second, second + 1);
            rows.add(List.of(
                    Integer.toString(second),
                    Long.toString(load.second(second).asked),
                    Long.toString(load.second(second).served),
                    String.format(Locale.ROOT, "%.3f", shares[second])));
        }
        Files.writeString(folder.resolve("seconds.csv"), Tables.csv(COLUMNS, rows));
        Files.writeString(folder.resolve("table.md"), Tables.markdown(COLUMNS, rows));
        Charts.bySecond(
                folder.resolve("worth.png"),
                experiment.name() + ": worth in time, by second of asking",
                "share of the worth asked for",
                Map.of("worth", shares));
    }
}
