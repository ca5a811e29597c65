package frostreel.lab.experiment;

import frostreel.lab.report.Charts;
import frostreel.lab.report.Tables;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/** Plays an experiment in virtual time, keeps what it showed, and says whether its checks hold. */
public final class Runner {
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
    private final PrintWriter out;

    public Runner(PrintWriter out) {
        this.out = out;
    }

    /** Seeds from the given first on; true where every check holds. */
    public boolean run(Experiment experiment, long firstSeed, int seeds, Path folder) throws IOException {
        List<Outcome> outcomes = new ArrayList<>();
        for (String policy : experiment.policies()) {
            Outcome outcome = new Outcome(policy, experiment.plan(firstSeed));
            for (int i = 0; i < seeds; i++) {
                outcome.play(experiment, experiment.plan(firstSeed + i));
            }
            outcomes.add(outcome.mean());
            out.printf(
                    Locale.ROOT,
                    "played %s: %d seeds, %.0f requests a second of real time%n",
                    policy,
                    seeds,
                    outcome.requestsASecond);
            out.flush();
        }
        List<String> verdicts = new ArrayList<>();
        boolean good = judge(experiment, outcomes, verdicts);
        if (folder != null) {
            keep(experiment, firstSeed, seeds, folder, outcomes, verdicts, good);
        }
        out.print(Tables.markdown(COLUMNS, rows(outcomes)));
        verdicts.forEach(out::println);
        out.println("verdict: " + (good ? "pass" : "fail"));
        out.flush();
        return good;
    }

    private static boolean judge(Experiment experiment, List<Outcome> outcomes, List<String> verdicts) {
        boolean good = true;
        for (Experiment.Check check : experiment.checks()) {
            for (Outcome o : outcomes) {
                if (check.policy() != null && !check.policy().equals(o.policy)) {
                    continue;
                }
                double value = o.value(check);
                boolean most = List.of("rules", "fallen", "coldMultiple").contains(check.kind());
                boolean holds = most ? value <= check.bound() : value >= check.bound();
                good &= holds;
                verdicts.add(String.format(
                        Locale.ROOT,
                        "%s: %s of %s%s is %.3f, %s %.3f",
                        holds ? "pass" : "fail",
                        check.kind(),
                        o.policy,
                        check.zone() < 0 ? "" : " in zone " + check.zone(),
                        value,
                        most ? "at most" : "at least",
                        check.bound()));
            }
        }
        return good;
    }

    private static List<List<String>> rows(List<Outcome> outcomes) {
        return outcomes.stream()
                .map(o -> List.of(
                        o.policy,
                        three(o.worth),
                        three(o.worstTen),
                        three(o.worstClass),
                        three(o.bound),
                        three(o.worstTen / o.bound),
                        three(o.backAfterS),
                        three(o.attempts),
                        Long.toString(o.fallen),
                        three(o.coldMultiple),
                        Long.toString(o.broken)))
                .toList();
    }

    private static String three(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }

    private static void keep(
            Experiment experiment,
            long firstSeed,
            int seeds,
            Path folder,
            List<Outcome> outcomes,
            List<String> verdicts,
            boolean good)
            throws IOException {
        Files.createDirectories(folder);
        JSONObject result = new JSONObject()
                .put("experiment", experiment.name())
                .put("firstSeed", firstSeed)
                .put("seeds", seeds)
                .put("verdict", good ? "pass" : "fail")
                .put("checks", new JSONArray(verdicts));
        for (Outcome o : outcomes) {
            result.append(
                    "policies",
                    new JSONObject()
                            .put("policy", o.policy)
                            .put("worth", o.worth)
                            .put("worstTenSeconds", o.worstTen)
                            .put("worstClass", o.worstClass)
                            .put("bound", o.bound)
                            .put("backAfterS", o.backAfterS)
                            .put("attempts", o.attempts)
                            .put("fallen", o.fallen)
                            .put("coldMultiple", o.coldMultiple)
                            .put("broken", o.broken));
        }
        Files.writeString(folder.resolve("result.json"), result.toString(2) + "\n");
        Files.writeString(folder.resolve("table.md"), Tables.markdown(COLUMNS, rows(outcomes)));
        Files.writeString(folder.resolve("table.csv"), Tables.csv(COLUMNS, rows(outcomes)));
        Map<String, double[]> worth = new LinkedHashMap<>();
        Map<String, double[]> spilt = new LinkedHashMap<>();
        List<String> head = new ArrayList<>(List.of("second"));
        List<List<String>> lines = new ArrayList<>();
        for (Outcome o : outcomes) {
            worth.put(o.policy, o.worthBySecond);
            spilt.put(o.policy, o.spiltBySecond);
            head.add("worth " + o.policy);
            head.add("spilt " + o.policy);
        }
        for (int s = 0; s < outcomes.get(0).worthBySecond.length; s++) {
            List<String> line = new ArrayList<>(List.of(Integer.toString(s)));
            for (Outcome o : outcomes) {
                line.add(three(o.worthBySecond[s]));
                line.add(three(o.spiltBySecond[s]));
            }
            lines.add(line);
        }
        Files.writeString(folder.resolve("seconds.csv"), Tables.csv(head, lines));
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
}
