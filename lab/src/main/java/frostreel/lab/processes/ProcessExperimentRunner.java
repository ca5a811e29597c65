package frostreel.lab.processes;

import frostreel.lab.report.Tables;
import frostreel.lab.report.Verdict;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Plays an experiment with processes, keeps its results, and prints whether its checks hold. */
public final class ProcessExperimentRunner {
    private static final double US_PER_MS = 1e3;
    private static final long US_PER_SECOND = 1_000_000;
    private final PrintWriter out;
    private final boolean live;

    /** {@code live}: prints a line each second, for a user at a terminal. */
    public ProcessExperimentRunner(PrintWriter out, boolean live) {
        this.out = out;
        this.live = live;
    }

    /**
     * Plays the experiment and returns whether every check holds.
     *
     * @param jar the built program
     * @param folder takes results and logs; null to keep nothing
     */
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
        // An interrupted run ends all its processes, too.
        Thread onInterrupt = new Thread(() -> end(fleet), "end");
        Runtime.getRuntime().addShutdownHook(onInterrupt);
        try {
            return play(experiment, seed, fleet, work, folder != null);
        } finally {
            Runtime.getRuntime().removeShutdownHook(onInterrupt);
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
        CountDownLatch allAnswered = new CountDownLatch(1);
        fleet.begin(experiment.faults());
        MembershipWatch views = new MembershipWatch(fleet, experiment.silentAfterMs() > 0 ? experiment.poolers() : 0);
        fleet.onLoop(() -> {
            fleet.at(experiment.durationS() * US_PER_SECOND, () -> fleet.load().whenAllEnded(allAnswered::countDown));
            return null;
        });
        await(allAnswered, experiment, fleet);
        views.close();
        ProcessRunFindings findings = ProcessRunFindings.collect(experiment, fleet, work);
        Verdict verdict = ProcessRunJudge.judge(experiment, fleet, findings);
        printSummary(fleet);
        if (keep) {
            ProcessRunFiles.write(work, experiment, seed, fleet, verdict);
            if (experiment.silentAfterMs() > 0) {
                Files.writeString(work.resolve("views.csv"), Tables.csv(MembershipWatch.COLUMNS, views.rows()));
            }
        }
        verdict.print(out);
        return verdict.passed();
    }

    /** Waits until all requests have ended; a live run prints each second meanwhile. */
    private void await(CountDownLatch allAnswered, ProcessExperiment experiment, Fleet fleet) throws Exception {
        for (int s = 0; !allAnswered.await(1, TimeUnit.SECONDS); s++) {
            if (live && s < experiment.durationS()) {
                int second = s;
                out.println(fleet.onLoop(() -> line(fleet.load().statistics(), second)));
                out.flush();
            }
        }
    }

    private static String line(LoadStatistics load, int number) {
        LoadStatistics.Second second = load.second(number);
        return String.format(
                Locale.ROOT,
                "%4d s  asked %5d  served %5d  worth %.3f",
                number,
                second.asked,
                second.served,
                load.weightShare(number, number + 1));
    }

    private void printSummary(Fleet fleet) {
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
                load.latencies.getValueAtPercentile(50) / US_PER_MS,
                load.latencies.getValueAtPercentile(99) / US_PER_MS);
        fleet.invariants().rules().stream()
                .flatMap(rule -> rule.firstViolations().stream())
                .forEach(out::println);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            List<Path> deepestFirst = all.sorted(Comparator.reverseOrder()).toList();
            for (Path path : deepestFirst) {
                Files.delete(path);
            }
        }
    }
}
