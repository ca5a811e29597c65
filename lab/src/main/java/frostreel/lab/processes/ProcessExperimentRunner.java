package frostreel.lab.processes;

import frostreel.lab.report.Charts;
import frostreel.lab.report.Tables;
import frostreel.lab.rules.Rule;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.json.JSONArray;
import org.json.JSONObject;

/** Plays an experiment with processes, keeps what it showed, and says whether its checks hold. */
public final class ProcessExperimentRunner {
    private static final List<String> COLUMNS = List.of("second", "asked", "served", "worth");
    private final PrintWriter out;
    private final boolean live;

    /** {@code live}: a line a second, for whoever watches. */
    public ProcessExperimentRunner(PrintWriter out, boolean live) {
        this.out = out;
        this.live = live;
    }

    /** True where every check holds; {@code folder} is null to keep nothing. */
    public boolean run(ProcessExperiment experiment, long seed, Path jar, Path folder) throws Exception {
        Path work = folder == null ? Files.createTempDirectory("frostreel-processes") : Files.createDirectories(folder);
        Fleet fleet = new Fleet(
                experiment.plan(seed),
                experiment.poolers(),
                experiment.silentAfterMs(),
                experiment.operated(),
                jar,
                work,
                experiment.slackUs());
        // An interrupted run, too, ends all it started.
        Thread interrupted = new Thread(() -> end(fleet), "end");
        Runtime.getRuntime().addShutdownHook(interrupted);
        try {
            return play(experiment, seed, fleet, work, folder != null);
        } finally {
            Runtime.getRuntime().removeShutdownHook(interrupted);
            end(fleet);
            if (folder == null) {
                delete(work);
            }
        }
    }

    private static void end(Fleet fleet) {
        try {
            fleet.end();
        } catch (Exception e) {
            throw new IllegalStateException("the run did not end what it started", e);
        }
    }

    private boolean play(ProcessExperiment experiment, long seed, Fleet fleet, Path work, boolean keep)
            throws Exception {
        out.printf("%s, seed %d: starting %d poolers%n", experiment.name(), seed, experiment.poolers());
        out.flush();
        if (experiment.failsSystemCalls()) {
            fleet.preloadSystemFaults();
        }
        fleet.start();
        CountDownLatch over = new CountDownLatch(1);
        fleet.begin(experiment.faults());
        ViewWatch views = new ViewWatch(fleet, experiment.silentAfterMs() > 0 ? experiment.poolers() : 0);
        fleet.onLoop(() -> {
            fleet.at(experiment.durationS() * 1_000_000L, () -> fleet.load().whenAllEnded(over::countDown));
            return null;
        });
        for (int s = 0; !over.await(1, TimeUnit.SECONDS); s++) {
            if (live && s < experiment.durationS()) {
                int second = s;
                out.println(fleet.onLoop(() -> line(fleet.load().statistics(), second)));
                out.flush();
            }
        }
        views.close();
        long apart = apart(experiment, fleet);
        long blind = blind(experiment, fleet);
        fleet.judge();
        List<String> crashed = fleet.lifecycle().crashed();
        fleet.end();
        List<String> verdicts = new ArrayList<>();
        boolean good = judge(experiment, fleet, crashed, faults(work), apart, blind, verdicts);
        LoadStatistics load = fleet.load().statistics();
        out.printf(
                Locale.ROOT,
                "asked %d, served %d, refused %d, failed %d, unanswered %d, unplaced %d, "
                        + "retries %d; median %.1f ms, 99%% %.1f ms%n",
                load.asked,
                load.served(),
                load.rejected,
                load.failed,
                load.unanswered,
                load.unplaced,
                load.retries,
                load.latencies.getValueAtPercentile(50) / 1e3,
                load.latencies.getValueAtPercentile(99) / 1e3);
        fleet.invariants().rules().stream()
                .flatMap(r -> r.convictions().stream())
                .forEach(out::println);
        if (keep) {
            keep(experiment, seed, fleet, work, verdicts, good);
            if (experiment.silentAfterMs() > 0) {
                Files.writeString(work.resolve("views.csv"), Tables.csv(ViewWatch.COLUMNS, views.rows()));
            }
        }
        verdicts.forEach(out::println);
        out.println("verdict: " + (good ? "pass" : "fail"));
        out.flush();
        return good;
    }

    /** Poolers that do not see all others, at the run's end; 0 where the poolers see nobody by design. */
    private static long apart(ProcessExperiment experiment, Fleet fleet) throws IOException {
        long apart = 0;
        for (int i = 0; i < experiment.poolers() && experiment.silentAfterMs() > 0; i++) {
            apart += fleet.page(i, "fleet").contains(" here=" + experiment.poolers() + " ") ? 0 : 1;
        }
        return apart;
    }

    /** Poolers that do not hear discovery, at the run's end; 0 where nobody asks for it. */
    private static long blind(ProcessExperiment experiment, Fleet fleet) {
        long blind = 0;
        boolean asked = experiment.checks().stream().anyMatch(c -> c.kind().equals("blind"));
        for (int i = 0; i < experiment.poolers() && asked; i++) {
            blind += hears(fleet, i) ? 0 : 1;
        }
        return blind;
    }

    /** One that shows no page hears nobody. */
    private static boolean hears(Fleet fleet, int pooler) {
        try {
            return fleet.page(pooler, "health").contains("discovery=answering");
        } catch (IOException e) {
            return false;
        }
    }

    private static String line(LoadStatistics load, int s) {
        LoadStatistics.Second second = load.second(s);
        return String.format(
                Locale.ROOT,
                "%4d s  asked %5d  served %5d  worth %.3f",
                s,
                second.asked,
                second.served,
                load.weightShare(s, s + 1));
    }

    private static boolean judge(
            ProcessExperiment experiment,
            Fleet fleet,
            List<String> crashed,
            long faultsInLogs,
            long apart,
            long blind,
            List<String> verdicts) {
        boolean good = crashed.isEmpty() && fleet.load().statistics().foreign == 0;
        crashed.forEach(p -> verdicts.add("fail: " + p + " ended by itself"));
        if (fleet.load().statistics().foreign > 0) {
            verdicts.add("fail: " + fleet.load().statistics().foreign + " answers held what no server gave for them");
        }
        for (ProcessExperiment.Check c : experiment.checks()) {
            double value = switch (c.kind()) {
                case "rules" -> fleet.invariants().broken();
                case "worth" -> fleet.load().statistics().weightShare(c.fromS(), c.toS());
                case "apart" -> apart;
                case "blind" -> blind;
                case "unanswered" -> fleet.load().statistics().unanswered;
                case "atTheDoor" -> fleet.load().statistics().resent;
                case "killedOld" -> fleet.upgrades().killed();
                case "refusedCalls" -> fleet.operators().rejected();
                case "slowestStartS" -> fleet.lifecycle().slowestRestartUs() / 1e6;
                case "upgrades" -> fleet.upgrades().completed();
                default -> faultsInLogs;
            };
            boolean least = c.kind().equals("worth") || c.kind().equals("upgrades");
            boolean holds = least ? value >= c.bound() : value <= c.bound();
            good &= holds;
            verdicts.add(String.format(
                    Locale.ROOT,
                    "%s: %s%s is %.3f, at %s %.3f",
                    holds ? "pass" : "fail",
                    c.kind(),
                    c.toS() > 0 ? " of seconds " + c.fromS() + " to " + c.toS() : "",
                    value,
                    least ? "least" : "most",
                    c.bound()));
        }
        return good;
    }

    /** Lines of the poolers' logs that tell of a fault of the program. */
    private static long faults(Path work) throws IOException {
        long faults = 0;
        try (Stream<Path> files = Files.list(work)) {
            for (Path log : files.filter(f -> f.toString().endsWith(".log")).toList()) {
                faults += Files.readAllLines(log).stream()
                        .filter(l ->
                                l.startsWith("SEVERE") || l.startsWith("ERROR") || l.contains("Exception in thread"))
                        .count();
            }
        }
        return faults;
    }

    private static void keep(
            ProcessExperiment experiment, long seed, Fleet fleet, Path folder, List<String> verdicts, boolean good)
            throws IOException {
        LoadStatistics load = fleet.load().statistics();
        JSONArray rules = new JSONArray();
        for (Rule r : fleet.invariants().rules()) {
            rules.put(new JSONObject()
                    .put("rule", r.name())
                    .put("broken", r.broken())
                    .put("first", new JSONArray(r.convictions())));
        }
        JSONObject result = new JSONObject()
                .put("experiment", experiment.name())
                .put("seed", seed)
                .put("verdict", good ? "pass" : "fail")
                .put("checks", new JSONArray(verdicts))
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
                .put("rules", rules);
        Files.writeString(folder.resolve("result.json"), result.toString(2) + "\n");
        Files.write(folder.resolve("story.txt"), fleet.log());
        List<List<String>> rows = new ArrayList<>();
        double[] worth = new double[load.durationS()];
        for (int s = 0; s < worth.length; s++) {
            worth[s] = load.weightShare(s, s + 1);
            rows.add(List.of(
                    Integer.toString(s),
                    Long.toString(load.second(s).asked),
                    Long.toString(load.second(s).served),
                    String.format(Locale.ROOT, "%.3f", worth[s])));
        }
        Files.writeString(folder.resolve("seconds.csv"), Tables.csv(COLUMNS, rows));
        Files.writeString(folder.resolve("table.md"), Tables.markdown(COLUMNS, rows));
        Charts.bySecond(
                folder.resolve("worth.png"),
                experiment.name() + ": worth in time, by second of asking",
                "share of the worth asked for",
                Map.of("worth", worth));
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }
}
