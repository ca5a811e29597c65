package frostreel.lab.processes;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The state of a fleet at the end of its run, beyond what was counted during it.
 *
 * @param partitioned poolers that do not see all others; 0 where poolers see nobody by design
 * @param withoutDiscovery poolers that do not hear discovery; 0 where no check asks for it
 * @param crashed names of the poolers whose process ended by itself
 * @param faultLines lines of the poolers' logs that report a fault of the program
 */
record ProcessRunFindings(long partitioned, long withoutDiscovery, List<String> crashed, long faultLines) {
    /** Examines the running poolers, checks the invariants, ends the fleet, and reads the logs. */
    static ProcessRunFindings collect(ProcessExperiment experiment, Fleet fleet, Path logs) throws Exception {
        long partitioned = partitioned(experiment, fleet);
        long withoutDiscovery = withoutDiscovery(experiment, fleet);
        fleet.judge();
        List<String> crashed = fleet.lifecycle().crashed();
        fleet.end();
        return new ProcessRunFindings(partitioned, withoutDiscovery, crashed, faultLines(logs));
    }

    private static long partitioned(ProcessExperiment experiment, Fleet fleet) throws IOException {
        if (experiment.silentAfterMs() == 0) {
            return 0;
        }
        String allPresent = " present=" + experiment.poolers() + " ";
        long partitioned = 0;
        for (int i = 0; i < experiment.poolers(); i++) {
            partitioned += fleet.page(i, "fleet").contains(allPresent) ? 0 : 1;
        }
        return partitioned;
    }

    private static long withoutDiscovery(ProcessExperiment experiment, Fleet fleet) {
        boolean asked =
                experiment.checks().stream().anyMatch(check -> check.metric() == ProcessMetric.WITHOUT_DISCOVERY);
        return asked
                ? IntStream.range(0, experiment.poolers())
                        .filter(pooler -> !hearsDiscovery(fleet, pooler))
                        .count()
                : 0;
    }

    /** A pooler that shows no page does not hear discovery either. */
    private static boolean hearsDiscovery(Fleet fleet, int pooler) {
        try {
            return fleet.page(pooler, "health").contains("discovery=answering");
        } catch (IOException e) {
            return false;
        }
    }

    private static long faultLines(Path folder) throws IOException {
        long count = 0;
        try (Stream<Path> files = Files.list(folder)) {
            for (Path log :
                    files.filter(file -> file.toString().endsWith(".log")).toList()) {
                count += Files.readAllLines(log).stream()
                        .filter(ProcessRunFindings::reportsFault)
                        .count();
            }
        }
        return count;
    }

    private static boolean reportsFault(String line) {
        return line.startsWith("SEVERE") || line.startsWith("ERROR") || line.contains("Exception in thread");
    }
}
