package frostreel.lab.cli;

import frostreel.lab.experiment.Experiment;
import frostreel.lab.experiment.Runner;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays one experiment in virtual time. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Plays an experiment in virtual time;"
                + " exit code 0 where all checks hold, 1 where one does not, 2 where the file is faulty.")
final class Run extends LabCommand {
    @Parameters(paramLabel = "FILE", description = "An experiment, as experiments/zone-loss.xml.")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "The first seed; the file's where left out.")
    private Long seed;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "1",
            description = "How many seeds; the table has means.")
    private int seeds;

    @Option(names = "--out", paramLabel = "DIR", description = "Keeps result.json, tables and charts there.")
    private Path folder;

    @Override
    boolean play() throws Exception {
        if (seeds < 1) {
            throw usageError("--seeds must be 1 or more");
        }
        Experiment experiment = Experiment.read(file);
        long firstSeed = seed == null ? experiment.seed() : seed;
        return new Runner(out()).run(experiment, firstSeed, seeds, folder);
    }
}
