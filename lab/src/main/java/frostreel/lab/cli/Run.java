package frostreel.lab.cli;

import frostreel.lab.experiment.Experiment;
import frostreel.lab.experiment.Runner;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plays one experiment file. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Plays an experiment in virtual time;"
                + " exit code 0 where all checks hold, 1 where one does not, 2 where the file is faulty.")
final class Run implements Callable<Integer> {
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

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        if (seeds < 1) {
            throw new ParameterException(spec.commandLine(), "--seeds must be 1 or more");
        }
        Experiment experiment = Experiment.read(file);
        long firstSeed = seed == null ? experiment.seed() : seed;
        Runner runner = new Runner(spec.commandLine().getOut());
        return ExitCodes.of(runner.run(experiment, firstSeed, seeds, folder));
    }
}
